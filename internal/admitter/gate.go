package admitter

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// adjustInterval is the time between adjustments of the admitted share.
	adjustInterval = 100 * time.Millisecond
	// minIntervalRequests is the number of shard requests that an interval needs to
	// be considered overloaded.
	minIntervalRequests = 50
	// overloadRefusalRate is the fraction of refused shard requests above which an
	// interval is considered overloaded.
	overloadRefusalRate = 0.005
	// maxShareDecrease bounds the relative decrease of the admitted share per
	// interval. Below this bound, the decrease equals the refusal rate.
	maxShareDecrease = 0.3
	// initialShareIncrease is the increase of the admitted share in the first
	// interval without overload. It doubles with each consecutive one, so that the
	// gate recovers quickly from a short stall.
	initialShareIncrease = 0.005
	// maxIncreaseDoublings bounds how often the increase doubles.
	maxIncreaseDoublings = 5
	// minAdmittedShare keeps some requests flowing, so that the end of an overload
	// is detected.
	minAdmittedShare = 0.05
	// trafficDecay is the factor applied to the traffic counts after each interval.
	trafficDecay = 0.8
)

// Gate sheds whole requests at the entry while backend servers are overloaded. It
// sheds the lowest priority first, before any shard request is sent. It is safe for
// concurrent use.
type Gate struct {
	mu sync.Mutex
	// admittedShare is the fraction of all traffic that is admitted, from
	// minAdmittedShare to 1.
	admittedShare float64
	// traffic holds the decaying request counts by priority.
	traffic map[int]float64
	// ended and refused count the shard requests of the current interval.
	ended   int
	refused int
	// intervalsWithoutOverload is the number of consecutive intervals without overload.
	intervalsWithoutOverload int
	nextAdjustment           time.Time
	rng                      *rand.Rand
}

// NewGate returns a gate that admits all traffic.
func NewGate(rng *rand.Rand) *Gate {
	return &Gate{admittedShare: 1, traffic: map[int]float64{}, rng: rng}
}

// Admit counts a request of the given priority and reports whether it is admitted.
func (g *Gate) Admit(now time.Time, priority int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.adjust(now)
	g.traffic[priority]++
	if g.admittedShare >= 1 {
		return true
	}
	return g.rank(priority) < g.admittedShare
}

// rank returns the position in [0, 1] of a request among recent traffic, highest
// priority first. Positions within the same priority are random.
func (g *Gate) rank(priority int) float64 {
	var above, own, total float64
	for p, n := range g.traffic {
		total += n
		switch {
		case p > priority:
			above += n
		case p == priority:
			own = n
		}
	}
	return (above + g.rng.Float64()*own) / total
}

// RecordResult counts a shard request that ended; refused is true if it was refused
// for lack of capacity.
func (g *Gate) RecordResult(refused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended++
	if refused {
		g.refused++
	}
}

// AdmittedShare returns the fraction of traffic that is admitted.
func (g *Gate) AdmittedShare() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admittedShare
}

// adjust updates the admitted share once per adjustInterval.
func (g *Gate) adjust(now time.Time) {
	if now.Before(g.nextAdjustment) {
		return
	}
	g.nextAdjustment = now.Add(adjustInterval)
	refused := float64(g.refused) / float64(max(1, g.ended))
	if g.ended >= minIntervalRequests && refused > overloadRefusalRate {
		g.admittedShare = max(minAdmittedShare, g.admittedShare*(1-min(maxShareDecrease, refused)))
		g.intervalsWithoutOverload = 0
	} else {
		g.admittedShare = min(1, g.admittedShare+initialShareIncrease*float64(int(1)<<min(g.intervalsWithoutOverload, maxIncreaseDoublings)))
		g.intervalsWithoutOverload++
	}
	g.ended, g.refused = 0, 0
	for p := range g.traffic {
		g.traffic[p] *= trafficDecay
	}
}
