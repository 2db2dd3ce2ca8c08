// Package picker chooses the replica of a shard that a request goes to, from
// what replies reported of each backend server. It does no input or output.
package picker

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/framer"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

const (
	// defaultService is the service time assumed of a server that has not answered yet.
	defaultService = 5 * time.Millisecond
	// domainDistance and regionDistance are round trips that a farther replica costs.
	domainDistance = 2 * time.Millisecond
	regionDistance = 24 * time.Millisecond
	// serviceSmoothing is the weight of a new service time in the average.
	serviceSmoothing = 0.1
	// loadLifetime is how long a reported load counts.
	loadLifetime = time.Second
	// ejectAfter is how many failures in a row eject a server.
	ejectAfter = 3
	// silenceFactor times its service time is how long a server that was given up
	// must have taken for that to count as a failure: it may be frozen.
	silenceFactor = 2
	// ejectTime is how long the first ejection lasts; each further one doubles it.
	ejectTime = time.Second
	// maxEjectTime bounds an ejection.
	maxEjectTime = 30 * time.Second
	// drainMemory is how long a server that said it is leaving is avoided.
	drainMemory = 10 * time.Minute
	// staleAfter is how long a far server may go unheard of, by its own replies
	// or by a daemon of its failure domain, before others are preferred: it may
	// have begun to leave while this daemon was cut off from it.
	staleAfter = 3 * time.Second
	// backoffTime is how long a server that shed a request is avoided.
	backoffTime = 20 * time.Millisecond
)

// Policy names a way of choosing.
type Policy string

// The policies; random is kept as a baseline.
const (
	PolicyLoadAware Policy = "loadAware"
	PolicyRandom    Policy = "random"
)

// Config is where the chooser stands and how it chooses.
type Config struct {
	FailureDomain string
	Region        string
	Policy        Policy
	Rand          *rand.Rand
	// Direct means that requests go straight to the servers, so that the measured
	// times include the way, and that the candidates are kept current by the
	// platform, so that silence of a far server is no sign that it has begun to leave.
	Direct bool
	// MaxEjection bounds an ejection; zero leaves maxEjectTime.
	MaxEjection time.Duration
}

// server is what is known of one backend server.
type server struct {
	// outstanding counts this daemon's unanswered requests; never negative.
	outstanding int
	// service is the smoothed time from sending to reply, without the reported queue.
	service time.Duration
	load    framer.Load
	loadAt  time.Time
	// heardAt is when the server last replied, in whatever way.
	heardAt time.Time
	// way is the round trip to the server that measured times include.
	way time.Duration
	// serviceAt is when service was last measured.
	serviceAt time.Time
	// silentSince is when the first request was sent that got no reply yet; zero
	// if there is none. A request that was given up counts on.
	silentSince time.Time
	// avoidUntil is how long a server that was silent is taken to stay so.
	avoidUntil time.Time
	// knownAt is when the server was first a candidate.
	knownAt time.Time
	// shedding is the smoothed share of requests that it refused or failed, from 0
	// to 1, and sheddingAt is when it was last measured.
	shedding   float64
	sheddingAt time.Time
	// failures counts failures in a row.
	failures     int
	ejections    int
	ejectedUntil time.Time
	backoffUntil time.Time
	// drainingAt is zero unless the server said that it is leaving.
	drainingAt time.Time
}

// Picker chooses replicas. It is safe for concurrent use.
type Picker struct {
	mu      sync.Mutex
	config  Config
	servers map[string]*server
	// domains is when each failure domain's daemons last agreed on which servers are leaving.
	domains map[string]time.Time
}

// New returns a picker that knows nothing of any server.
func New(config Config) *Picker {
	return &Picker{config: config, servers: map[string]*server{}, domains: map[string]time.Time{}}
}

// Pick returns the best candidate within the rule's locality that is not
// excluded, and counts a request as outstanding at it.
func (p *Picker) Pick(now time.Time, rule declarer.TrafficRule, candidates []planner.Searcher, excluded []string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable := p.usable(now, rule, candidates, excluded)
	if len(usable) == 0 {
		return "", false
	}
	best := usable[p.config.Rand.IntN(len(usable))]
	if p.config.Policy == PolicyLoadAware {
		best = p.leastCost(now, usable, best)
	}
	p.get(best.Key()).sending(now, p.way(best))
	return best.Key(), true
}

// Release ends a request that Pick counted.
func (p *Picker) Release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.get(address)
	s.outstanding = max(0, s.outstanding-1)
}

// RecordReply learns from a whole reply.
func (p *Picker) RecordReply(now time.Time, address string, took time.Duration, load framer.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.get(address)
	s.failures = 0
	s.ejections = 0
	s.heard(now, 0)
	s.noteLoad(now, load)
	if p.config.Direct {
		s.took(now, took)
		return
	}
	took = withoutQueue(took, load)
	if s.service == 0 {
		s.service = took
		return
	}
	s.service += time.Duration(serviceSmoothing * float64(took-s.service))
}

// withoutQueue takes the reported queue out of a measured time.
func withoutQueue(took time.Duration, load framer.Load) time.Duration {
	waiting := load.InFlight + load.Queued
	if load.Slots == 0 || waiting <= load.Slots {
		return took
	}
	return took * time.Duration(load.Slots) / time.Duration(waiting)
}

// RecordAbandoned learns from a request that was given up after the elapsed time, since
// another replica was faster; without it a straggler would never look slow.
func (p *Picker) RecordAbandoned(now time.Time, address string, elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.get(address)
	if p.config.Direct {
		s.gaveUp(now)
		return
	}
	if elapsed <= s.service {
		return
	}
	if elapsed > silenceFactor*s.service {
		p.fail(now, s)
	}
	s.service += time.Duration(serviceSmoothing * float64(elapsed-s.service))
}

// RecordRefusal learns from a server that did not run a request for lack of room.
func (p *Picker) RecordRefusal(now time.Time, address string, load framer.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.get(address)
	s.heard(now, 1)
	s.noteLoad(now, load)
	s.backoffUntil = now.Add(backoffTime)
}

func (p *Picker) maxEject() time.Duration {
	if p.config.MaxEjection > 0 {
		return p.config.MaxEjection
	}
	return maxEjectTime
}

// RecordFailure learns from a request that got no usable reply.
func (p *Picker) RecordFailure(now time.Time, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.get(address)
	s.refusal(now, 1)
	p.fail(now, s)
}

func (p *Picker) fail(now time.Time, s *server) {
	s.failures++
	if s.failures < ejectAfter {
		return
	}
	span := min(ejectTime<<min(s.ejections, 8), p.maxEject())
	s.ejections++
	s.failures = 0
	s.ejectedUntil = now.Add(span)
}

// MarkDraining marks a server that said it is leaving, since the given time.
// It reports whether that is news.
func (p *Picker) MarkDraining(since time.Time, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.get(address)
	if !s.drainingAt.IsZero() {
		return false
	}
	s.drainingAt = since
	return true
}

// DrainingServers returns when each server that is leaving said so.
func (p *Picker) DrainingServers(now time.Time) map[string]time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]time.Time{}
	for address, s := range p.servers {
		if s.isDraining(now) {
			out[address] = s.drainingAt
		}
	}
	return out
}

// IsDraining reports whether a server said that it is leaving.
func (p *Picker) IsDraining(now time.Time, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.get(address).isDraining(now)
}

func (s *server) isDraining(now time.Time) bool {
	return !s.drainingAt.IsZero() && now.Sub(s.drainingAt) < drainMemory
}

func (s *server) noteLoad(now time.Time, load framer.Load) {
	if load.Slots == 0 {
		return
	}
	s.heardAt = now
	s.load = load
	s.loadAt = now
}

func (p *Picker) get(address string) *server {
	s, ok := p.servers[address]
	if !ok {
		s = &server{}
		p.servers[address] = s
	}
	return s
}

// usable returns the candidates that may be tried. Ejected and backed-off
// servers come back when they are all that is left, so that ejection never
// removes the last replica of a shard.
func (p *Picker) usable(now time.Time, rule declarer.TrafficRule, candidates []planner.Searcher, excluded []string) []planner.Searcher {
	var usable, spare []planner.Searcher
	for _, c := range candidates {
		if slices.Contains(excluded, c.Key()) || !p.within(rule.Locality, c) {
			continue
		}
		s := p.get(c.Key())
		if s.knownAt.IsZero() {
			s.knownAt = now
		}
		switch {
		case s.isDraining(now):
		case now.Before(s.ejectedUntil) || now.Before(s.backoffUntil) || p.isStale(now, s, c):
			spare = append(spare, c)
		default:
			usable = append(usable, c)
		}
	}
	if len(usable) == 0 {
		return spare
	}
	return usable
}

// isStale reports whether nothing was heard lately of a server in another failure domain.
func (p *Picker) isStale(now time.Time, s *server, c planner.Searcher) bool {
	if p.config.Direct || c.FailureDomain == p.config.FailureDomain {
		return false
	}
	return now.Sub(s.heardAt) > staleAfter && now.Sub(p.domains[c.FailureDomain]) > staleAfter
}

// RecordDomainSync notes that a daemon of a failure domain agrees with this one on
// which servers are leaving.
func (p *Picker) RecordDomainSync(now time.Time, failureDomain string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.domains[failureDomain] = now
}

// ServersToProbe returns those of the servers that have not replied for so long, and
// that are not known to be leaving.
func (p *Picker) ServersToProbe(now time.Time, servers []string, span time.Duration) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, address := range servers {
		if s := p.get(address); now.Sub(s.heardAt) > span && !s.isDraining(now) {
			out = append(out, address)
		}
	}
	return out
}

// RecordProbe learns from a reply to a probe.
func (p *Picker) RecordProbe(now time.Time, address string, load framer.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.get(address).noteLoad(now, load)
}

func (p *Picker) within(locality declarer.Locality, c planner.Searcher) bool {
	switch locality {
	case declarer.LocalityFailureDomain:
		return c.FailureDomain == p.config.FailureDomain
	case declarer.LocalityRegion:
		return c.Region == p.config.Region
	case declarer.LocalityAny:
		return true
	default:
		return true
	}
}

func (p *Picker) distance(c planner.Searcher) time.Duration {
	switch {
	case c.FailureDomain == p.config.FailureDomain:
		return 0
	case c.Region == p.config.Region:
		return domainDistance
	default:
		return regionDistance
	}
}

// Forget drops what is known of servers that are not in keep. A server that is
// leaving stays known, since a lagging list may name it once more.
func (p *Picker) Forget(now time.Time, keep map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, s := range p.servers {
		if !keep[address] && s.outstanding == 0 && !s.isDraining(now) {
			delete(p.servers, address)
		}
	}
}
