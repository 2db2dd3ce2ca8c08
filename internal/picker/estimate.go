package picker

import (
	"math"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/internal/reporter"
)

const (
	// directServiceTimeSmoothing is the weight of a new sample in the moving average
	// of the service time if requests are sent directly (Config.Direct).
	directServiceTimeSmoothing = 0.2
	// outlierFactor caps a sample at this multiple of the average service time, so
	// that a pause of the server is not mistaken for slowness.
	outlierFactor = 3
	// serviceTimeHalfLife is the time without new samples in which the difference to
	// the fastest replica decays by half, so that a server that was slow is tried
	// again.
	serviceTimeHalfLife = 1500 * time.Millisecond
	// pauseFactor is the number of service times that a server may take to reply
	// before it is considered paused.
	pauseFactor = 3
	// maxAvoidance bounds how long an unresponsive server is avoided before it is
	// tried again.
	maxAvoidance = time.Second
	// warmUpFactor is the ratio of the service time of a server that has just
	// started to its normal service time.
	warmUpFactor = 1.6
	// refusalRateSmoothing is the weight of one reply in the refusal rate.
	refusalRateSmoothing = 0.15
	// refusalRateHalfLife is the time without new samples in which the refusal rate
	// decays by half.
	refusalRateHalfLife = 2 * time.Second
	// maxHalfLifeFactor bounds the random factor by which the half-lives are longer for
	// a server that other daemons reported. The daemons then try it again one after
	// the other, and the first of them report whether it has recovered.
	maxHalfLifeFactor = 4
	// sharedTTL is how long a report of other daemons affects the estimates of a server.
	// It is longer than the longest half-life.
	sharedTTL = 15 * time.Second
	// retryCost is the cost of a refused request: it needs a retry, which comes from
	// a scarce budget and mostly goes to another region.
	retryCost = 60 * time.Millisecond
	// sharedRetryCost replaces retryCost for a server that other daemons reported: the
	// refusal rate is then known well enough to leave the only replica with an open
	// connection.
	sharedRetryCost = 150 * time.Millisecond
	// sparePenalty keeps requests away from searchers whose connections are meant
	// for other daemons, unless all other searchers are paused, ejected or refusing.
	// sharedSparePenalty replaces it for a shard of which other daemons reported a
	// searcher: the daemon's own samples are then not all that speaks against it.
	sparePenalty       = 100 * time.Millisecond
	sharedSparePenalty = 40 * time.Millisecond
	// unavailableAfter is how long a server must have left a request unanswered to
	// be considered unavailable; queries do not wait for a shard whose replicas all
	// are. It is longer than the pauses of searchers.
	unavailableAfter = 700 * time.Millisecond
	// maxRefusalRate keeps the cost of a server that refuses every request finite.
	maxRefusalRate = 0.9
)

// recordSent records a request that is being sent.
func (s *serverState) recordSent(now time.Time, includedRTT time.Duration) {
	s.includedRTT = includedRTT
	s.outstanding++
	if s.unansweredSince.IsZero() {
		s.unansweredSince = now
	}
}

// recordReply records a reply; refused is 1 if the request was refused, else 0.
func (s *serverState) recordReply(now time.Time, refused float64) {
	s.avoidUntil = time.Time{}
	s.unansweredSince = time.Time{}
	if s.outstanding > 0 {
		s.unansweredSince = now
	}
	s.updateRefusalRate(now, refused)
}

func (s *serverState) updateRefusalRate(now time.Time, refused float64) {
	s.refusalRate += refusalRateSmoothing * (refused - s.refusalRate)
	s.refusalRateAt = now
}

// recordServiceTime adds a sample to the service time. The latency includes the
// network round trip.
func (s *serverState) recordServiceTime(now time.Time, latency time.Duration) {
	latency = max(0, latency-s.includedRTT)
	s.serviceTimeAt = now
	if s.serviceTime == 0 {
		s.serviceTime = latency
		return
	}
	latency = min(latency, outlierFactor*s.serviceTime)
	s.serviceTime += time.Duration(directServiceTimeSmoothing * float64(latency-s.serviceTime))
}

// RecordShared records what other daemons observed of a server that deviates, each
// request like one of this daemon's own, and the typical service time of all servers.
func (p *Picker) RecordShared(now time.Time, key string, o reporter.Observation, typical time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(key)
	if n := o.Answered + o.Failed; n > 0 {
		weight := sharedWeight(refusalRateSmoothing, n)
		s.refusalRate += weight * (float64(o.Failed)/float64(n) - s.refusalRate)
		s.refusalRateAt = now
	}
	if o.Answered > 0 && s.serviceTime > 0 {
		s.serviceTime += time.Duration(sharedWeight(directServiceTimeSmoothing, o.Answered) * float64(o.ServiceTime-s.serviceTime))
	} else if o.Answered > 0 {
		s.serviceTime = o.ServiceTime
	}
	if o.Answered > 0 {
		s.serviceTimeAt = now
	}
	s.sharedAt, s.typicalServiceTime = now, typical
	s.halfLifeFactor = 1 + (maxHalfLifeFactor-1)*p.config.Rand.Float64()
}

// isShared reports whether other daemons have reported the server a short time ago.
func (s *serverState) isShared(now time.Time) bool { return now.Sub(s.sharedAt) < sharedTTL }

// halfLife returns a half-life for a server's measurements, which is longer if other
// daemons have reported it, too.
func (s *serverState) halfLife(now time.Time, usual time.Duration) time.Duration {
	if !s.isShared(now) {
		return usual
	}
	return time.Duration(s.halfLifeFactor * float64(usual))
}

// sharedWeight returns the weight of the mean of n samples in a moving average with
// the given smoothing.
func sharedWeight(smoothing float64, n int) float64 {
	return 1 - math.Pow(1-smoothing, float64(n))
}

// ServiceTimeSample returns the service time of a measured latency, to be shared with
// other daemons. Like a sample of this daemon's own average it is capped, so that a
// pause of the server is not mistaken for slowness.
func (p *Picker) ServiceTimeSample(c planner.Searcher, latency time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	sample := max(0, latency-p.includedRTT(c))
	if usual := p.state(c.Key()).serviceTime; usual > 0 {
		return min(sample, outlierFactor*usual)
	}
	return sample
}

// recordAbandoned records that a request was abandoned. A server that has been
// unresponsive for some time is as likely as not to stay so for the same time again.
func (s *serverState) recordAbandoned(now time.Time) {
	if s.outstanding == 0 && s.unansweredSince.IsZero() {
		return
	}
	if unanswered := now.Sub(s.unansweredSince); unanswered > s.includedRTT+pauseFactor*max(s.serviceTime, defaultServiceTime) {
		s.avoidUntil = now.Add(min(unanswered, maxAvoidance))
	}
}

// decay returns the remaining weight of a measurement of the given age.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// baseline is what the costs of a shard's replicas are relative to.
type baseline struct {
	// serviceTime is the lowest service time of the replicas.
	serviceTime time.Duration
	// sparePenalty is the cost that is added for a spare replica.
	sparePenalty time.Duration
}

// baselineOf returns the baseline of a shard's usable replicas. Where no service time
// is known, measured or typical, it is defaultServiceTime.
func (p *Picker) baselineOf(now time.Time, usable []planner.Searcher) baseline {
	b := baseline{sparePenalty: sparePenalty}
	lower := func(d time.Duration) {
		if d > 0 && (b.serviceTime == 0 || d < b.serviceTime) {
			b.serviceTime = d
		}
	}
	for _, c := range usable {
		s := p.state(c.Key())
		lower(s.serviceTime)
		if s.isShared(now) {
			// Otherwise a replica that was never used would be taken to be as slow as the
			// only one that was.
			lower(s.typicalServiceTime)
			b.sparePenalty = sharedSparePenalty
		}
	}
	if b.serviceTime == 0 {
		b.serviceTime = defaultServiceTime
	}
	return b
}

// lowestCost returns the usable server with the lowest expected time. first wins ties.
func (p *Picker) lowestCost(now time.Time, usable []planner.Searcher, first planner.Searcher) planner.Searcher {
	base := p.baselineOf(now, usable)
	best, bestCost := first, p.cost(now, first, base)
	for _, c := range usable {
		if cost := p.cost(now, c, base); cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best
}

// cost returns the expected time of one more request to c: the network round
// trip, queueing and service time, the remaining pause, and the expected cost of a
// retry after a refusal. A spare searcher also has the baseline's penalty added.
func (p *Picker) cost(now time.Time, c planner.Searcher, base baseline) time.Duration {
	s := p.state(c.Key())
	service := p.expectedServiceTime(now, s, base.serviceTime)
	if now.Sub(s.firstSeenAt) < c.WarmUp {
		service = time.Duration(warmUpFactor * float64(service))
	}
	pending, slots := s.outstanding, max(1, s.load.Slots, c.Slots)
	if now.Sub(s.loadAt) < loadReportTTL {
		pending = max(pending, s.load.InFlight+s.load.Queued)
	}
	cost := p.networkRTT(c) + service + service*time.Duration(pending)/time.Duration(slots)
	if c.Spare {
		cost += base.sparePenalty
	}
	if s.outstanding > 0 && !s.unansweredSince.IsZero() {
		cost += max(0, now.Sub(s.unansweredSince)-s.includedRTT-pauseFactor*service)
	}
	cost += max(0, s.avoidUntil.Sub(now))
	refusalRate := min(maxRefusalRate, s.refusalRate*decay(now.Sub(s.refusalRateAt), s.halfLife(now, refusalRateHalfLife)))
	return cost + time.Duration(float64(s.retryCost(now))*refusalRate/(1-refusalRate))
}

// retryCost returns the cost of a refusal by the server.
func (s *serverState) retryCost(now time.Time) time.Duration {
	if s.isShared(now) {
		return sharedRetryCost
	}
	return retryCost
}

// expectedServiceTime returns the service time to expect of a server. With direct
// requests, an old measurement decays towards that of the fastest replica.
func (p *Picker) expectedServiceTime(now time.Time, s *serverState, minServiceTime time.Duration) time.Duration {
	switch {
	case s.serviceTime == 0 && p.config.Direct:
		return minServiceTime
	case s.serviceTime == 0:
		return defaultServiceTime
	case p.config.Direct:
		return minServiceTime + time.Duration(float64(s.serviceTime-minServiceTime)*decay(now.Sub(s.serviceTimeAt), s.halfLife(now, serviceTimeHalfLife)))
	default:
		return s.serviceTime
	}
}

// includedRTT returns the network round-trip time included in the measured times
// of a server.
func (p *Picker) includedRTT(c planner.Searcher) time.Duration {
	if !p.config.Direct {
		return 0
	}
	return p.networkRTT(c)
}

// AllUnavailable reports whether every candidate is ejected, draining or has left
// a request unanswered for unavailableAfter, so that none is likely to reply soon.
func (p *Picker) AllUnavailable(now time.Time, candidates []planner.Searcher) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range candidates {
		s := p.state(c.Key())
		unanswered := !s.unansweredSince.IsZero() && now.Sub(s.unansweredSince) >= unavailableAfter
		if !unanswered && !now.Before(s.ejectedUntil) && !s.isDraining(now) {
			return false
		}
	}
	return true
}
