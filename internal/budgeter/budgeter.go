// Package budgeter limits the extra requests, such as hedges and retries, that the
// daemons of a tier send to each backend service. All daemons share the budget.
// It performs no I/O.
//
// In any window of a fixed length the budget is a fraction of the callers' requests
// for the service plus a slack. Each daemon spends the fraction of its own requests
// and an equal part of the slack. This needs no coordination, and the total stays
// within the budget under any network partition between daemons. When traffic
// falls, the budget also allows for an earlier window. A daemon cannot use that
// allowance, because callers that left it are counted again by their new daemon.
package budgeter

import (
	"sync"
	"time"
)

const (
	// slotsPerWindow is the number of counter slots per window.
	slotsPerWindow = 20
	// ringSlots is the size of the ring: a full window and the slot being filled.
	ringSlots = slotsPerWindow + 1
	// usableFraction is the fraction of the budget that is spent. The rest covers
	// the slot granularity and requests that were sent but never arrived here.
	usableFraction = 0.85
)

// Config defines the budget.
type Config struct {
	// Ratio is the number of extra requests allowed per caller request.
	Ratio float64
	// Slack is the number of extra requests allowed in addition, in total over all
	// daemons.
	Slack float64
	// Window is the length of the windows for which the budget holds.
	Window time.Duration
}

// WithDefaults returns the configuration with the default window if it has none.
func (c Config) WithDefaults() Config {
	if c.Window <= 0 {
		c.Window = defaultWindow
	}
	return c
}

// slotLength returns the length of a counter slot.
func (c Config) slotLength() time.Duration { return c.Window / slotsPerWindow }

// defaultWindow is the window of a configuration that sets none.
const defaultWindow = 10 * time.Second

// slotCounts holds the request counts of one slot.
type slotCounts struct {
	requests      float64
	extraRequests float64
}

// requestWindow holds the request counts of one service in a sliding window.
type requestWindow struct {
	ring [ringSlots]slotCounts
	// latestSlot is the number of the latest slot. Its ring index is that number
	// modulo ringSlots.
	latestSlot int64
}

// resliced returns the counts in slots of another length. Where a slot spans several
// new ones, its caller requests count for the first and its extra requests for the
// last of them, so that the budget is never exceeded.
func (w *requestWindow) resliced(before, after time.Duration) *requestWindow {
	out := &requestWindow{latestSlot: int64((time.Duration(w.latestSlot+1)*before - 1) / after)}
	for n := range int64(ringSlots) {
		counts, slot := w.slotBefore(n), w.latestSlot-n
		if first := int64(time.Duration(slot) * before / after); slot >= 0 && out.latestSlot-first < ringSlots {
			out.ring[first%ringSlots].requests += counts.requests
		}
		if last := int64((time.Duration(slot+1)*before - 1) / after); slot >= 0 && out.latestSlot-last < ringSlots {
			out.ring[last%ringSlots].extraRequests += counts.extraRequests
		}
	}
	return out
}

// Budgeter enforces one daemon's part of the budget. It is safe for concurrent use.
type Budgeter struct {
	mu     sync.Mutex
	config Config
	// daemons is the number of daemons that share the slack. It is at least one.
	daemons   float64
	services  map[string]*requestWindow
	startedAt time.Time
	// firstStart is set if no earlier process can have spent any of the budget.
	firstStart bool
}

// New returns a budgeter that starts at the given time and does not share the
// budget yet. Unless firstStart is set, which means that the whole tier starts for
// the first time, an earlier process may have spent its part of the slack just
// before it was killed. No slack is available for one window in that case.
func New(config Config, now time.Time, firstStart bool) *Budgeter {
	return &Budgeter{config: config.WithDefaults(), daemons: 1, services: map[string]*requestWindow{}, startedAt: now, firstStart: firstStart}
}

// Configure changes the budget and the number of daemons that share it.
func (b *Budgeter) Configure(config Config, daemons int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	config = config.WithDefaults()
	if before, after := b.config.slotLength(), config.slotLength(); before != after {
		for service, w := range b.services {
			b.services[service] = w.resliced(before, after)
		}
	}
	b.config = config
	b.daemons = float64(max(1, daemons))
}

// RecordRequest counts a caller request for a service.
func (b *Budgeter) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentSlot(now, service).requests++
}

// Spend counts one extra request to a service if the budget allows it, and reports
// whether it does.
func (b *Budgeter) Spend(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	slot := b.currentSlot(now, service)
	if b.remaining(now, b.services[service]) < 1 {
		return false
	}
	slot.extraRequests++
	return true
}

// Remaining returns the number of extra requests to a service that the budget
// allows now.
func (b *Budgeter) Remaining(now time.Time, service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentSlot(now, service)
	return max(0, b.remaining(now, b.services[service]))
}

// remaining returns the unspent budget of a service. It may be negative.
func (b *Budgeter) remaining(now time.Time, w *requestWindow) float64 {
	requests, spent := 0.0, 0.0
	for i := range int64(slotsPerWindow) {
		requests += w.slotBefore(i).requests
	}
	for i := range int64(ringSlots) {
		spent += w.slotBefore(i).extraRequests
	}
	slack := b.config.Slack / b.daemons
	if !b.firstStart && now.Sub(b.startedAt) < b.config.Window {
		slack = 0
	}
	return usableFraction*(b.config.Ratio*requests+slack) - spent
}

// slotBefore returns the counts of the slot that is n slots before the latest.
func (w *requestWindow) slotBefore(n int64) slotCounts {
	if n > w.latestSlot {
		return slotCounts{}
	}
	return w.ring[(w.latestSlot-n)%ringSlots]
}

// currentSlot returns the counts of the current slot after clearing expired slots.
func (b *Budgeter) currentSlot(now time.Time, service string) *slotCounts {
	slot := max(0, int64(now.Sub(b.startedAt)/b.config.slotLength()))
	w, ok := b.services[service]
	if !ok {
		w = &requestWindow{latestSlot: slot}
		b.services[service] = w
	}
	for n := max(w.latestSlot+1, slot-ringSlots+1); n <= slot; n++ {
		w.ring[n%ringSlots] = slotCounts{}
	}
	w.latestSlot = max(w.latestSlot, slot)
	return &w.ring[w.latestSlot%ringSlots]
}

// Forget drops the counts of services for which keep returns false.
func (b *Budgeter) Forget(keep func(service string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service := range b.services {
		if !keep(service) {
			delete(b.services, service)
		}
	}
}
