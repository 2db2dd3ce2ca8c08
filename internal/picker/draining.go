package picker

import (
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/framer"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
)

// MarkDraining marks a server as draining since the given time. It reports
// whether the server was not marked before.
func (p *Picker) MarkDraining(since time.Time, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(address)
	if !s.drainingAt.IsZero() {
		return false
	}
	s.drainingAt = since
	return true
}

// MarkLeaving marks a server as draining because it announced that it is about to exit. The
// mark holds for as long as Forget keeps the server, and drainingTTL longer. It reports
// whether the server was not marked as leaving before.
func (p *Picker) MarkLeaving(now time.Time, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(address)
	if s.isLeaving {
		return false
	}
	s.drainingAt, s.isLeaving = now, true
	return true
}

// DrainingServers returns the servers that are draining, each with the time since
// which it has been draining.
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

// IsDraining reports whether a server has announced that it is draining.
func (p *Picker) IsDraining(now time.Time, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state(address).isDraining(now)
}

func (s *serverState) isDraining(now time.Time) bool {
	return !s.drainingAt.IsZero() && now.Sub(s.drainingAt) < drainingTTL
}

// isStale reports whether a server in another failure domain has neither replied
// within staleTimeout nor been covered by a sync with a daemon of its domain.
func (p *Picker) isStale(now time.Time, s *serverState, c planner.Searcher) bool {
	if p.config.Direct || c.FailureDomain == p.config.FailureDomain {
		return false
	}
	return now.Sub(s.lastReplyAt) > staleTimeout && now.Sub(p.domainSyncedAt[c.FailureDomain]) > staleTimeout
}

// RecordDomainSync records that a daemon of the failure domain and this one have
// the same list of draining servers.
func (p *Picker) RecordDomainSync(now time.Time, failureDomain string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.domainSyncedAt[failureDomain] = now
}

// ServersToProbe returns the given servers that have not replied for longer than
// idle and are not marked as draining.
func (p *Picker) ServersToProbe(now time.Time, servers []string, idle time.Duration) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, address := range servers {
		if s := p.state(address); now.Sub(s.lastReplyAt) > idle && !s.isDraining(now) {
			out = append(out, address)
		}
	}
	return out
}

// RecordProbe records the load report in the reply to a probe.
func (p *Picker) RecordProbe(now time.Time, address string, load framer.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(address).recordLoad(now, load)
}
