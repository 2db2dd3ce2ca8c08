package admitter

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// gateInterval is the time from one adjustment of the admitted share to the next.
	gateInterval = 100 * time.Millisecond
	// gateMinRequests is how many shard requests an interval needs to count.
	gateMinRequests = 50
	// overloadShare is the share of refused shard requests that means overload.
	overloadShare = 0.005
	// maxDecrease bounds what the admitted share loses per interval; below it
	// loses the refused share.
	maxDecrease = 0.3
	// gateIncrease is what it gains in the first interval without overload; each
	// further one in a row doubles that, so that a short stall is soon forgotten.
	gateIncrease = 0.005
	// maxDoublings bounds the doubling.
	maxDoublings = 5
	// gateFloor keeps some requests coming, so that the end of an overload is seen.
	gateFloor = 0.05
	// trafficDecay is what an interval leaves of the traffic counted before.
	trafficDecay = 0.8
)

// Gate refuses whole requests at the entry while backend servers are
// overloaded: the lowest priority first, before any shard request is sent.
// It is safe for concurrent use.
type Gate struct {
	mu sync.Mutex
	// admitted is the share of all traffic that is let in, from gateFloor to 1.
	admitted float64
	// traffic counts recent requests by priority.
	traffic map[int]float64
	ended   int
	refused int
	// clean counts intervals without overload in a row.
	clean    int
	adjustAt time.Time
	rng      *rand.Rand
}

// NewGate returns an open gate.
func NewGate(rng *rand.Rand) *Gate {
	return &Gate{admitted: 1, traffic: map[int]float64{}, rng: rng}
}

// Admit reports whether a request of the priority may start.
func (g *Gate) Admit(now time.Time, priority int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.adjust(now)
	g.traffic[priority]++
	if g.admitted >= 1 {
		return true
	}
	return g.rank(priority) < g.admitted
}

// rank places a request in [0, 1] among recent traffic, highest priority first.
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

// RecordResult counts a shard request that ended, refused for lack of room or not.
func (g *Gate) RecordResult(refused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended++
	if refused {
		g.refused++
	}
}

// AdmittedShare returns the share of traffic that is let in.
func (g *Gate) AdmittedShare() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitted
}

func (g *Gate) adjust(now time.Time) {
	if now.Before(g.adjustAt) {
		return
	}
	g.adjustAt = now.Add(gateInterval)
	refused := float64(g.refused) / float64(max(1, g.ended))
	if g.ended >= gateMinRequests && refused > overloadShare {
		g.admitted = max(gateFloor, g.admitted*(1-min(maxDecrease, refused)))
		g.clean = 0
	} else {
		g.admitted = min(1, g.admitted+gateIncrease*float64(int(1)<<min(g.clean, maxDoublings)))
		g.clean++
	}
	g.ended, g.refused = 0, 0
	for p := range g.traffic {
		g.traffic[p] *= trafficDecay
	}
}
