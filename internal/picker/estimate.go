package picker

import (
	"math"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/planner"
)

const (
	// directSmoothing is the weight of a new service time that was measured directly.
	directSmoothing = 0.2
	// outlierFactor times the service time is the most that one measurement counts,
	// so that a pause of the server does not look like slowness.
	outlierFactor = 3
	// serviceHalfLife is how soon half of the difference to the best replica is
	// forgotten while nothing new is measured, so that a server that was slow is
	// tried again.
	serviceHalfLife = 1500 * time.Millisecond
	// patience times its service time is how long a server may say nothing before
	// it counts as paused.
	patience = 3
	// maxAvoid bounds how long a silent server is avoided before it is tried again.
	maxAvoid = time.Second
	// warmUpFactor is how much longer work takes at a server that has just started.
	warmUpFactor = 1.6
	// sheddingSmoothing is the weight of one reply in the share of refusals.
	sheddingSmoothing = 0.15
	// sheddingHalfLife is how soon half of it is forgotten while nothing is sent.
	sheddingHalfLife = 2 * time.Second
	// retryCost is what a refused request costs: a repeat from a scarce budget,
	// mostly in another region.
	retryCost = 60 * time.Millisecond
	// spareCost keeps requests from searchers whose connections are meant for other
	// daemons, unless the rest is paused, ejected or refuses.
	spareCost = 100 * time.Millisecond
	// deadAfter is how long all replicas of a shard must have failed or been silent
	// for nobody to wait for them: longer than searchers pause.
	deadAfter = 700 * time.Millisecond
	// maxShedding keeps the cost of a server that refuses everything finite.
	maxShedding = 0.9
)

// sending notes a request that goes out.
func (s *server) sending(now time.Time, way time.Duration) {
	s.way = way
	s.outstanding++
	if s.silentSince.IsZero() {
		s.silentSince = now
	}
}

// heard notes a reply, refused (1) or not (0).
func (s *server) heard(now time.Time, refused float64) {
	s.avoidUntil = time.Time{}
	s.silentSince = time.Time{}
	if s.outstanding > 0 {
		s.silentSince = now
	}
	s.refusal(now, refused)
}

func (s *server) refusal(now time.Time, refused float64) {
	s.shedding += sheddingSmoothing * (refused - s.shedding)
	s.sheddingAt = now
}

// took learns a service time that includes the way.
func (s *server) took(now time.Time, took time.Duration) {
	took = max(0, took-s.way)
	s.serviceAt = now
	if s.service == 0 {
		s.service = took
		return
	}
	took = min(took, outlierFactor*s.service)
	s.service += time.Duration(directSmoothing * float64(took-s.service))
}

// gaveUp notes that a request was given up. A server that has been silent for
// some time is as likely as not to stay silent for as long again.
func (s *server) gaveUp(now time.Time) {
	if s.outstanding == 0 && s.silentSince.IsZero() {
		return
	}
	if silent := now.Sub(s.silentSince); silent > s.way+patience*max(s.service, defaultService) {
		s.avoidUntil = now.Add(min(silent, maxAvoid))
	}
}

// fade is what is left of a measurement after a time without a new one.
func fade(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// leastCost returns the usable server with the least expected time; first breaks ties.
func (p *Picker) leastCost(now time.Time, usable []planner.Searcher, first planner.Searcher) planner.Searcher {
	fastest := p.fastest(usable)
	best, bestCost := first, p.cost(now, first, fastest)
	for _, c := range usable {
		if cost := p.cost(now, c, fastest); cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best
}

// fastest is the least service time that is known of any of the servers.
func (p *Picker) fastest(servers []planner.Searcher) time.Duration {
	least := time.Duration(0)
	for _, c := range servers {
		if s := p.get(c.Key()); s.service > 0 && (least == 0 || s.service < least) {
			least = s.service
		}
	}
	if least == 0 {
		return defaultService
	}
	return least
}

// cost is the expected time of one more request at c: distance, queue and
// service, what is left of a pause, and the repeat that a refusal would cost.
func (p *Picker) cost(now time.Time, c planner.Searcher, fastest time.Duration) time.Duration {
	s := p.get(c.Key())
	service := p.serviceOf(now, s, fastest)
	if now.Sub(s.knownAt) < c.WarmUp {
		service = time.Duration(warmUpFactor * float64(service))
	}
	busy, slots := s.outstanding, max(1, s.load.Slots, c.Slots)
	if now.Sub(s.loadAt) < loadLifetime {
		busy = max(busy, s.load.InFlight+s.load.Queued)
	}
	cost := p.distance(c) + p.spareCost(c) + service + service*time.Duration(busy)/time.Duration(slots)
	if s.outstanding > 0 && !s.silentSince.IsZero() {
		cost += max(0, now.Sub(s.silentSince)-s.way-patience*service)
	}
	cost += max(0, s.avoidUntil.Sub(now))
	shedding := min(maxShedding, s.shedding*fade(now.Sub(s.sheddingAt), sheddingHalfLife))
	return cost + time.Duration(float64(retryCost)*shedding/(1-shedding))
}

func (p *Picker) spareCost(c planner.Searcher) time.Duration {
	if c.Fallback {
		return spareCost
	}
	return 0
}

// serviceOf is the service time to expect of a server.
func (p *Picker) serviceOf(now time.Time, s *server, fastest time.Duration) time.Duration {
	switch {
	case s.service == 0 && p.config.Direct:
		return fastest
	case s.service == 0:
		return defaultService
	case p.config.Direct:
		return fastest + time.Duration(float64(s.service-fastest)*fade(now.Sub(s.serviceAt), serviceHalfLife))
	default:
		return s.service
	}
}

// way is the round trip that measured times of a server include.
func (p *Picker) way(c planner.Searcher) time.Duration {
	if !p.config.Direct {
		return 0
	}
	return p.distance(c)
}

// AllUnavailable reports whether every candidate has failed again and again or said
// nothing for some time, so that none is likely to answer soon.
func (p *Picker) AllUnavailable(now time.Time, candidates []planner.Searcher) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range candidates {
		s := p.get(c.Key())
		silent := !s.silentSince.IsZero() && now.Sub(s.silentSince) >= deadAfter
		if !silent && !now.Before(s.ejectedUntil) && !s.isDraining(now) {
			return false
		}
	}
	return true
}
