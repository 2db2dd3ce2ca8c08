package daemon

import (
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/internal/prober"
)

const (
	// routingInterval is the interval between checks whether a change of the members
	// or the view requires the routes to be recompiled.
	routingInterval = 200 * time.Millisecond
	// preconnectsPerInterval is the maximum number of connections that a gateway
	// opens ahead of use in a probeInterval.
	preconnectsPerInterval = 50
	// probeInterval is the interval between rounds of probes, and how long a searcher
	// may go without a reply before it is probed.
	probeInterval = time.Second
)

// refreshRoutes recompiles the routes if the members or the view have changed, and
// discards state of searchers and peers that are no longer used.
func (d *Daemon) refreshRoutes() {
	now := time.Now()
	var live []*messenger.Member
	read := func() ([]*messenger.Member, *planner.View) {
		live = d.liveDaemons()
		return live, d.documents.View()
	}
	if !d.router.Refresh(now, read) {
		return
	}
	d.sender.Forget()
	d.linker.Forget(toSet(append(addressesOf(live), d.finishingDaemons()...)))
	d.picker.Forget(now, d.router.Searchers())
}

// connectionBudget returns the maximum number of connections from this daemon to
// a searcher.
func (d *Daemon) connectionBudget(searcher string) int { return d.router.Budget(time.Now(), searcher) }

// gatewayFor returns the address of the daemon through which a shard request is
// sent; hash selects it among the usable gateways of the searcher.
func (d *Daemon) gatewayFor(searcher string, hash uint64) (string, bool) {
	return d.router.Gateway(searcher, hash, d.linker.IsUsable)
}

// probeSearchers probes each searcher that has sent no reply during the last
// probeInterval, to detect that it is draining. Only one gateway of a searcher does
// this; a draining searcher is then announced to all daemons. In addition, each
// gateway probes searchers to which it may have no open connection, so that a hedge
// does not have to wait for a connection.
func (d *Daemon) probeSearchers(now time.Time) {
	assigned, unassigned := d.router.GatewayAssignments()
	var disconnected []string
	for _, searcher := range unassigned {
		if len(disconnected) < preconnectsPerInterval && d.sender.IsCold(now, searcher) {
			disconnected = append(disconnected, searcher)
		}
	}
	for _, searcher := range append(d.picker.ServersToProbe(now, assigned, probeInterval), disconnected...) {
		go func() {
			if load, ok := d.sender.Probe(searcher); ok {
				d.picker.RecordProbe(time.Now(), searcher, loadOf(load))
			}
		}()
	}
}

// liveDaemons returns the members that may be alive, including this daemon.
func (d *Daemon) liveDaemons() []*messenger.Member { return d.members.Live() }

// finishingDaemons returns the addresses of the daemons that left the membership
// in a graceful shutdown. They are sent no new requests but still reply to earlier
// ones, so links to them must stay open.
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

func toSet(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, name := range names {
		out[name] = true
	}
	return out
}
