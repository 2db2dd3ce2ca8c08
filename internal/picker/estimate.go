package picker

import (
	"math"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/planner"
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
	// retryCost is the cost of a refused request: it needs a retry, which comes from
	// a scarce budget and mostly goes to another region.
	retryCost = 60 * time.Millisecond
	// sparePenalty keeps requests away from searchers whose connections are meant
	// for other daemons, unless all other searchers are paused, ejected or refusing.
	sparePenalty = 100 * time.Millisecond
	// unavailableAfter is how long a server must have left a request unanswered to
	// be considered unavailable; requests do not wait for a shard whose replicas all
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

// lowestCost returns the usable server with the lowest expected time. first wins ties.
func (p *Picker) lowestCost(now time.Time, usable []planner.Searcher, first planner.Searcher) planner.Searcher {
	minServiceTime := p.minServiceTime(usable)
	best, bestCost := first, p.cost(now, first, minServiceTime)
	for _, c := range usable {
		if cost := p.cost(now, c, minServiceTime); cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best
}

// minServiceTime returns the lowest measured service time of the servers, or
// defaultServiceTime if none has been measured.
func (p *Picker) minServiceTime(servers []planner.Searcher) time.Duration {
	least := time.Duration(0)
	for _, c := range servers {
		if s := p.state(c.Key()); s.serviceTime > 0 && (least == 0 || s.serviceTime < least) {
			least = s.serviceTime
		}
	}
	if least == 0 {
		return defaultServiceTime
	}
	return least
}

// cost returns the expected time of one more request to c: the network round
// trip, queueing and service time, the remaining pause, and the expected cost of a
// retry after a refusal. A spare searcher also has sparePenalty added.
func (p *Picker) cost(now time.Time, c planner.Searcher, minServiceTime time.Duration) time.Duration {
	s := p.state(c.Key())
	service := p.expectedServiceTime(now, s, minServiceTime)
	if now.Sub(s.firstSeenAt) < c.WarmUp {
		service = time.Duration(warmUpFactor * float64(service))
	}
	pending, slots := s.outstanding, max(1, s.load.Slots, c.Slots)
	if now.Sub(s.loadAt) < loadReportTTL {
		pending = max(pending, s.load.InFlight+s.load.Queued)
	}
	cost := p.networkRTT(c) + p.sparePenalty(c) + service + service*time.Duration(pending)/time.Duration(slots)
	if s.outstanding > 0 && !s.unansweredSince.IsZero() {
		cost += max(0, now.Sub(s.unansweredSince)-s.includedRTT-pauseFactor*service)
	}
	cost += max(0, s.avoidUntil.Sub(now))
	refusalRate := min(maxRefusalRate, s.refusalRate*decay(now.Sub(s.refusalRateAt), refusalRateHalfLife))
	return cost + time.Duration(float64(retryCost)*refusalRate/(1-refusalRate))
}

func (p *Picker) sparePenalty(c planner.Searcher) time.Duration {
	if c.Spare {
		return sparePenalty
	}
	return 0
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
		return minServiceTime + time.Duration(float64(s.serviceTime-minServiceTime)*decay(now.Sub(s.serviceTimeAt), serviceTimeHalfLife))
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
