// Package picker selects the replica that serves a shard request, based on the
// latency, load and failures observed for each backend server. It performs no I/O.
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
	// defaultServiceTime is the service time assumed for a server that has not replied yet.
	defaultServiceTime = 5 * time.Millisecond
	// crossDomainRTT and crossRegionRTT are the round-trip times added to the cost
	// of a replica in another failure domain or another region.
	crossDomainRTT = 2 * time.Millisecond
	crossRegionRTT = 24 * time.Millisecond
	// serviceTimeSmoothing is the weight of a new sample in the moving average of
	// the service time.
	serviceTimeSmoothing = 0.1
	// loadReportTTL is how long a load report is used.
	loadReportTTL = time.Second
	// ejectionThreshold is the number of consecutive failures that eject a server.
	ejectionThreshold = 3
	// abandonedFailureFactor is the number of service times after which an abandoned
	// request counts as a failure, because the server may be frozen.
	abandonedFailureFactor = 2
	// baseEjectionTime is the duration of the first ejection; it doubles with each
	// consecutive ejection.
	baseEjectionTime = time.Second
	// maxEjectionTime is the default upper bound on the duration of an ejection.
	maxEjectionTime = 30 * time.Second
	// drainingTTL is how long a server is excluded after it announced that it is draining.
	drainingTTL = 10 * time.Minute
	// staleTimeout is how long a server in another failure domain may go without a
	// reply of its own and without contact from a daemon of its domain before other
	// servers are preferred: it may have started draining while this daemon was
	// partitioned from it.
	staleTimeout = 3 * time.Second
	// refusalBackoff is how long a server is avoided after it shed a request.
	refusalBackoff = 20 * time.Millisecond
)

// Policy selects the replica selection algorithm.
type Policy string

// The selection policies. PolicyRandom serves as a baseline for benchmarks.
const (
	PolicyLoadAware Policy = "loadAware"
	PolicyRandom    Policy = "random"
)

// Config holds the location of the picker and its selection settings.
type Config struct {
	FailureDomain string
	Region        string
	Policy        Policy
	Rand          *rand.Rand
	// Direct is set when requests are sent directly to the servers instead of
	// through gateways. Measured times then include the network round trip. The
	// platform keeps the candidate list current, so the lack of recent replies from
	// a remote server does not suggest that it is draining.
	Direct bool
	// MaxEjection bounds the duration of an ejection; zero selects maxEjectionTime.
	MaxEjection time.Duration
}

// serverState holds the observations of one backend server.
type serverState struct {
	// outstanding is the number of unanswered requests of this daemon. It is never negative.
	outstanding int
	// serviceTime is the moving average of the time from sending to reply, without
	// the reported queueing time.
	serviceTime time.Duration
	// load is the last load report, received at loadAt.
	load   framer.Load
	loadAt time.Time
	// lastReplyAt is the time of the last reply, to a request or a probe, that
	// carried a load report.
	lastReplyAt time.Time
	// includedRTT is the network round-trip time included in measured times.
	includedRTT time.Duration
	// serviceTimeAt is the time of the last serviceTime sample.
	serviceTimeAt time.Time
	// sharedAt is when other daemons last reported this server; zero if they never did.
	// typicalServiceTime is the service time of most servers at that time, and
	// halfLifeFactor, at least one, multiplies the half-lives of serviceTime and
	// refusalRate. Both apply until sharedTTL later.
	sharedAt           time.Time
	typicalServiceTime time.Duration
	halfLifeFactor     float64
	// unansweredSince is the time since which the server has left requests
	// unanswered: the send time of the first such request or the last reply,
	// whichever is later. It is zero if there are none. Abandoned requests count.
	unansweredSince time.Time
	// avoidUntil is the time until which an unresponsive server is expected to stay
	// unresponsive.
	avoidUntil time.Time
	// firstSeenAt is when the server first was a candidate.
	firstSeenAt time.Time
	// refusalRate is the moving average of the fraction of requests that the server
	// refused or failed, from 0 to 1; refusalRateAt is the time of its last sample.
	refusalRate          float64
	refusalRateAt        time.Time
	consecutiveFailures  int
	consecutiveEjections int
	ejectedUntil         time.Time
	backoffUntil         time.Time
	// drainingAt is the time as of which the server is draining, or zero if it has
	// not announced that.
	drainingAt time.Time
	// isLeaving means that the server is about to exit: drainingAt is then not older than
	// the last Forget that kept the server.
	isLeaving bool
}

// Picker selects replicas. It is safe for concurrent use.
type Picker struct {
	mu      sync.Mutex
	config  Config
	servers map[string]*serverState
	// domainSyncedAt maps a failure domain to the last time that one of its daemons
	// and this one had the same list of draining servers.
	domainSyncedAt map[string]time.Time
}

// New returns a picker without any observations.
func New(config Config) *Picker {
	return &Picker{config: config, servers: map[string]*serverState{}, domainSyncedAt: map[string]time.Time{}}
}

// Pick returns the best candidate within the rule's locality that is not
// excluded and counts one outstanding request for it. It returns false if no
// candidate is eligible.
func (p *Picker) Pick(now time.Time, rule declarer.TrafficRule, candidates []planner.Searcher, excluded []string) (string, bool) {
	return p.PickAllowed(now, rule, candidates, excluded, func(string) bool { return true })
}

// PickAllowed is like Pick but asks allow for the candidate it would return, and goes
// on to the next best if that is not allowed. allow must not call the picker.
func (p *Picker) PickAllowed(now time.Time, rule declarer.TrafficRule, candidates []planner.Searcher, excluded []string, allow func(key string) bool) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		usable := p.usable(now, rule, candidates, excluded)
		if len(usable) == 0 {
			return "", false
		}
		best := usable[p.config.Rand.IntN(len(usable))]
		if p.config.Policy == PolicyLoadAware {
			best = p.lowestCost(now, usable, best)
		}
		if key := best.Key(); allow(key) {
			p.state(key).recordSent(now, p.includedRTT(best))
			return key, true
		}
		excluded = append(slices.Clip(excluded), best.Key())
	}
}

// Withdraw ends one outstanding request, counted by Pick at the given time, that was
// not sent.
func (p *Picker) Withdraw(pickedAt time.Time, key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(key)
	s.outstanding = max(0, s.outstanding-1)
	if s.outstanding == 0 && s.unansweredSince.Equal(pickedAt) {
		s.unansweredSince = time.Time{}
	}
}

// Release ends one outstanding request counted by Pick.
func (p *Picker) Release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(address)
	s.outstanding = max(0, s.outstanding-1)
}

// RecordReply records a complete reply with its latency and load report.
func (p *Picker) RecordReply(now time.Time, address string, latency time.Duration, load framer.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(address)
	s.consecutiveFailures = 0
	s.consecutiveEjections = 0
	s.recordReply(now, 0)
	s.recordLoad(now, load)
	if p.config.Direct {
		s.recordServiceTime(now, latency)
		return
	}
	latency = withoutQueueing(latency, load)
	if s.serviceTime == 0 {
		s.serviceTime = latency
		return
	}
	s.serviceTime += time.Duration(serviceTimeSmoothing * float64(latency-s.serviceTime))
}

// withoutQueueing scales a measured latency down by the queueing that the server
// reported.
func withoutQueueing(latency time.Duration, load framer.Load) time.Duration {
	pending := load.InFlight + load.Queued
	if load.Slots == 0 || pending <= load.Slots {
		return latency
	}
	return latency * time.Duration(load.Slots) / time.Duration(pending)
}

// RecordAbandoned records a request that was abandoned after the elapsed time
// because another replica replied first. Otherwise a straggler would never be
// measured as slow.
func (p *Picker) RecordAbandoned(now time.Time, address string, elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(address)
	if p.config.Direct {
		s.recordAbandoned(now)
		return
	}
	if elapsed <= s.serviceTime {
		return
	}
	if elapsed > abandonedFailureFactor*s.serviceTime {
		p.countFailure(now, s)
	}
	s.serviceTime += time.Duration(serviceTimeSmoothing * float64(elapsed-s.serviceTime))
}

// RecordRefusal records that a server rejected a request without running it
// because it had no capacity.
func (p *Picker) RecordRefusal(now time.Time, address string, load framer.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(address)
	s.recordReply(now, 1)
	s.recordLoad(now, load)
	s.backoffUntil = now.Add(refusalBackoff)
}

func (p *Picker) maxEjection() time.Duration {
	if p.config.MaxEjection > 0 {
		return p.config.MaxEjection
	}
	return maxEjectionTime
}

// RecordFailure records a request without a usable reply.
func (p *Picker) RecordFailure(now time.Time, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(address)
	s.updateRefusalRate(now, 1)
	p.countFailure(now, s)
}

// countFailure counts a failure and ejects the server after ejectionThreshold
// consecutive ones.
func (p *Picker) countFailure(now time.Time, s *serverState) {
	s.consecutiveFailures++
	if s.consecutiveFailures < ejectionThreshold {
		return
	}
	duration := min(baseEjectionTime<<min(s.consecutiveEjections, 8), p.maxEjection())
	s.consecutiveEjections++
	s.consecutiveFailures = 0
	s.ejectedUntil = now.Add(duration)
}

func (s *serverState) recordLoad(now time.Time, load framer.Load) {
	if load.Slots == 0 {
		return
	}
	s.lastReplyAt = now
	s.load = load
	s.loadAt = now
}

func (p *Picker) state(address string) *serverState {
	s, ok := p.servers[address]
	if !ok {
		s = &serverState{}
		p.servers[address] = s
	}
	return s
}

// usable returns the candidates that may be tried. Ejected, backed-off and stale
// servers are returned only if no other candidate is left, so that ejection never
// removes the last replica of a shard.
func (p *Picker) usable(now time.Time, rule declarer.TrafficRule, candidates []planner.Searcher, excluded []string) []planner.Searcher {
	var usable, lastResort []planner.Searcher
	for _, c := range candidates {
		if slices.Contains(excluded, c.Key()) || !p.withinLocality(rule.Locality, c) {
			continue
		}
		s := p.state(c.Key())
		if s.firstSeenAt.IsZero() {
			s.firstSeenAt = now
		}
		switch {
		case s.isDraining(now):
		case now.Before(s.ejectedUntil) || now.Before(s.backoffUntil) || p.isStale(now, s, c):
			lastResort = append(lastResort, c)
		default:
			usable = append(usable, c)
		}
	}
	if len(usable) == 0 {
		return lastResort
	}
	return usable
}

func (p *Picker) withinLocality(locality declarer.Locality, c planner.Searcher) bool {
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

// networkRTT returns the assumed network round-trip time to a searcher.
func (p *Picker) networkRTT(c planner.Searcher) time.Duration {
	switch {
	case c.FailureDomain == p.config.FailureDomain:
		return 0
	case c.Region == p.config.Region:
		return crossDomainRTT
	default:
		return crossRegionRTT
	}
}

// Forget drops the state of servers that are not in keep. Draining servers are
// kept because an outdated server list may still contain them, and so are servers
// with outstanding requests. The mark of a leaving server that is in keep is renewed.
func (p *Picker) Forget(now time.Time, keep map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, s := range p.servers {
		s.isLeaving = s.isLeaving && keep[address]
		if s.isLeaving {
			s.drainingAt = now
		}
		if !keep[address] && s.outstanding == 0 && !s.isDraining(now) {
			delete(p.servers, address)
		}
	}
}
