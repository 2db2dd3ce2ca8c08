package daemon

import (
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/prober"
)

const (
	// routingInterval is how often routes are checked against members and view.
	routingInterval = 200 * time.Millisecond
	// warmPerInterval is how many connections a gateway opens ahead of use in a probeInterval.
	warmPerInterval = 50
	// probeInterval is how long a searcher may go without a reply before it is asked
	// whether it is leaving.
	probeInterval = time.Second
)

// refreshRoutes compiles the routes anew if members or view have changed.
func (d *Daemon) refreshRoutes() {
	live, now := d.liveDaemons(), time.Now()
	if !d.router.Refresh(now, live, d.documents.View()) {
		return
	}
	d.sender.Forget()
	d.linker.Forget(setOf(append(addressesOf(live), d.finishingDaemons()...)))
	d.picker.Forget(now, d.router.Searchers())
}

// connectionBudget returns how many connections this daemon may hold to a searcher.
func (d *Daemon) connectionBudget(searcher string) int { return d.router.Budget(time.Now(), searcher) }

// gatewayFor returns the daemon that a shard request goes through.
func (d *Daemon) gatewayFor(searcher string, turn uint64) (string, bool) {
	return d.router.Gateway(searcher, turn, d.linker.IsUsable)
}

// probeSearchers asks each searcher that has not replied lately whether it is
// leaving. Only one gateway of a searcher does so; the others are told by it.
// Each gateway asks those that it has no open connection to, so that a hedge
// does not have to wait for one.
func (d *Daemon) probeSearchers(now time.Time) {
	mine, others := d.router.GatewayAssignments()
	var cold []string
	for _, searcher := range others {
		if len(cold) < warmPerInterval && d.sender.IsCold(now, searcher) {
			cold = append(cold, searcher)
		}
	}
	for _, searcher := range append(d.picker.ServersToProbe(now, mine, probeInterval), cold...) {
		go func() {
			if load, ok := d.sender.Probe(searcher); ok {
				d.picker.RecordProbe(time.Now(), searcher, loadOf(load))
			}
		}()
	}
}

// liveDaemons returns the members that may be alive, this daemon included.
func (d *Daemon) liveDaemons() []*messenger.Member { return d.members.Live() }

// finishingDaemons returns the daemons that left by a planned stop: nothing new
// goes to them, but they answer what they were sent before.
func (d *Daemon) finishingDaemons() []string {
	var out []string
	for _, m := range d.members.Members() {
		if prober.StateOf(m) == prober.Left {
			out = append(out, m.GetAddress())
		}
	}
	return out
}

func addressesOf(members []*messenger.Member) []string {
	out := make([]string, len(members))
	for i, m := range members {
		out[i] = m.GetAddress()
	}
	return out
}

func setOf(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, name := range names {
		out[name] = true
	}
	return out
}
