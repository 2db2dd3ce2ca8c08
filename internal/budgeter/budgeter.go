// Package budgeter keeps the arrivals that the tier adds at each backend service
// within a bound that all daemons share. It does no input or output.
//
// The bound is a share of the callers' requests for the service plus a slack, in
// any window of a fixed length. Each daemon keeps its own requests' share and an
// equal part of the slack, so that no daemon has to ask another, and the sum
// holds whichever daemons are cut off from each other. Where traffic falls the
// bound also allows for an earlier window; a daemon can't use that, since callers
// that left it are counted anew where they went.
package budgeter

import (
	"sync"
	"time"
)

const (
	// slotsPerWindow is how finely a window is counted.
	slotsPerWindow = 20
	// ringSize holds a window and the slot that is being filled.
	ringSize = slotsPerWindow + 1
	// usable is the part of the bound that is spent; the rest covers the edges of
	// slots and requests that were sent and never arrived here.
	usable = 0.85
)

// Config is the bound.
type Config struct {
	// Ratio is the arrivals that may be added for each request of a caller.
	Ratio float64
	// Slack is what may be added besides, by all daemons together.
	Slack float64
	// Window is the length of time that the bound holds for.
	Window time.Duration
}

// WithDefaults returns the bound with a window, where it has none.
func (c Config) WithDefaults() Config {
	if c.Window <= 0 {
		c.Window = defaultWindow
	}
	return c
}

// defaultWindow is used where the bound names no length of time.
const defaultWindow = 10 * time.Second

// count is what happened in one slot.
type count struct {
	requests float64
	extras   float64
}

// ledger is the counts of one service.
type ledger struct {
	ring [ringSize]count
	// slot is the number of the newest slot; its place in the ring is its remainder.
	slot int64
}

// Budgeter is safe for concurrent use.
type Budgeter struct {
	mu     sync.Mutex
	config Config
	// sharers is how many daemons share the slack; at least one.
	sharers  float64
	services map[string]*ledger
	origin   time.Time
	// fresh means that no process before this one can have spent anything.
	fresh bool
}

// New returns a budget that starts at a moment and that nobody else shares yet.
// Unless the whole tier starts for the first time, a process before this one may
// have spent its part of the slack just before it was killed, so that there is
// none for the length of a window.
func New(config Config, now time.Time, fresh bool) *Budgeter {
	return &Budgeter{config: config.WithDefaults(), sharers: 1, services: map[string]*ledger{}, origin: now, fresh: fresh}
}

// Configure changes the bound and how many daemons share it.
func (b *Budgeter) Configure(config Config, sharers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config = config.WithDefaults()
	b.sharers = float64(max(1, sharers))
}

// RecordRequest counts a caller's request for a service.
func (b *Budgeter) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at(now, service).requests++
}

// Spend takes one added arrival at a service, if the bound allows it.
func (b *Budgeter) Spend(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	here := b.at(now, service)
	if b.left(now, b.services[service]) < 1 {
		return false
	}
	here.extras++
	return true
}

// Remaining returns how many arrivals may be added at a service now.
func (b *Budgeter) Remaining(now time.Time, service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at(now, service)
	return max(0, b.left(now, b.services[service]))
}

func (b *Budgeter) left(now time.Time, l *ledger) float64 {
	requests, spent := 0.0, 0.0
	for i := range int64(slotsPerWindow) {
		requests += l.back(i).requests
	}
	for i := range int64(ringSize) {
		spent += l.back(i).extras
	}
	slack := b.config.Slack / b.sharers
	if !b.fresh && now.Sub(b.origin) < b.config.Window {
		slack = 0
	}
	return usable*(b.config.Ratio*requests+slack) - spent
}

// back returns the count of the slot so many slots before the newest.
func (l *ledger) back(n int64) count {
	if n > l.slot {
		return count{}
	}
	return l.ring[(l.slot-n)%ringSize]
}

// at returns the count of the current slot, after emptying what has passed.
func (b *Budgeter) at(now time.Time, service string) *count {
	slot := max(0, int64(now.Sub(b.origin)/(b.config.Window/slotsPerWindow)))
	l, ok := b.services[service]
	if !ok {
		l = &ledger{slot: slot}
		b.services[service] = l
	}
	for n := max(l.slot+1, slot-ringSize+1); n <= slot; n++ {
		l.ring[n%ringSize] = count{}
	}
	l.slot = max(l.slot, slot)
	return &l.ring[l.slot%ringSize]
}

// Forget drops the services that are not in keep.
func (b *Budgeter) Forget(keep func(service string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service := range b.services {
		if !keep(service) {
			delete(b.services, service)
		}
	}
}
