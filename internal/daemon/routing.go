package daemon

import (
	"slices"
	"strings"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/assigner"
	"github.com/fuchsiastile/fuchsiastile/internal/loader"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/internal/prober"
)

// routingInterval is how often routing is checked against members and view.
const routingInterval = 200 * time.Millisecond

// warmPerInterval is how many connections a gateway opens ahead of use in a probeInterval.
const warmPerInterval = 50

// takeOverTime is how long the gateways of a searcher, once they have changed,
// open no more connections than they held (a new one holds one), while those
// that were before them close theirs: some rounds of the membership.
const takeOverTime = 2 * time.Second

// probeInterval is how long a searcher may go without a reply before it is asked
// whether it is leaving.
const probeInterval = time.Second

// route is who may dial one searcher.
type route struct {
	// gateways is sorted and never empty.
	gateways []string
	// self is true if this daemon is one of them.
	self bool
	// connections is how many each of them may hold.
	connections int
	// since is when the gateways became these, and before is how many connections
	// this daemon might hold until then; at least one.
	since  time.Time
	before int
}

// allowed returns how many connections this daemon may hold. More than it held
// before wait until daemons that are gateways no more have closed theirs.
func (r route) allowed(now time.Time) int {
	if !r.self {
		return 0
	}
	if now.Sub(r.since) < takeOverTime {
		return min(r.before, r.connections)
	}
	return r.connections
}

// routing maps each searcher's address to its route. It is immutable.
type routing struct {
	routes map[string]route
}

// searcherSet is all searchers of one failure domain with one connection limit.
type searcherSet struct {
	failureDomain string
	limit         int
}

// connectionBudget returns how many connections this daemon may hold to a searcher.
func (d *Daemon) connectionBudget(searcher string) int {
	return d.routing.Load().routes[searcher].allowed(time.Now())
}

// refreshRouting compiles routing anew if members or view have changed.
func (d *Daemon) refreshRouting() {
	d.routeMu.Lock()
	defer d.routeMu.Unlock()
	live := d.liveDaemons()
	input := inputOf(live)
	d.mu.Lock()
	changed := input != d.liveInput
	d.liveInput = input
	d.mu.Unlock()
	if !changed && !d.routeStale.Swap(false) {
		return
	}
	d.routing.Store(d.compileRouting(live, d.view.Load()).after(d.routing.Load(), time.Now()))
	d.sender.Forget()
	d.linker.Forget(setOf(append(addressesOf(live), d.finishingDaemons()...)))
	d.picker.Forget(time.Now(), setOf(d.routing.Load().searchers()))
}

// inputOf is what routing is compiled from. A member that is known by its
// address alone, from a seed, has no failure domain yet.
func inputOf(live []*messenger.Member) string {
	var out strings.Builder
	for _, m := range live {
		out.WriteString(m.GetAddress() + " " + m.GetFailureDomain() + ",")
	}
	return out.String()
}

// after keeps from the routing before since when the gateways have been the
// same, and what this daemon may hold until all know of new ones.
func (r *routing) after(before *routing, now time.Time) *routing {
	for searcher, one := range r.routes {
		old := before.routes[searcher]
		if old.self && slices.Equal(old.gateways, one.gateways) && old.connections == one.connections {
			one.since, one.before = old.since, old.before
		} else {
			one.since, one.before = now, max(1, old.allowed(now))
		}
		r.routes[searcher] = one
	}
	return r
}

func (r *routing) searchers() []string {
	out := make([]string, 0, len(r.routes))
	for searcher := range r.routes {
		out = append(out, searcher)
	}
	return out
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

func (d *Daemon) compileRouting(live []*messenger.Member, view *planner.View) *routing {
	byDomain := map[string][]string{}
	for _, m := range live {
		byDomain[m.GetFailureDomain()] = append(byDomain[m.GetFailureDomain()], m.GetAddress())
	}
	all := addressesOf(live)
	out := &routing{routes: map[string]route{}}
	for set, searchers := range searcherSets(view) {
		near := byDomain[set.failureDomain]
		if len(near) == 0 {
			near = all
		}
		d.routeSet(out, set, searchers, near, all)
	}
	return out
}

// searcherSets sorts every searcher of the view into sets; one that several
// services share counts with the least of their limits.
func searcherSets(view *planner.View) map[searcherSet][]string {
	limits := map[string]searcherSet{}
	for _, plan := range view.Plans() {
		for _, shard := range plan.Shards {
			for _, c := range shard.Candidates {
				set, ok := limits[c.Address]
				if !ok || plan.Service.ConnectionLimit < set.limit {
					limits[c.Address] = searcherSet{failureDomain: c.FailureDomain, limit: plan.Service.ConnectionLimit}
				}
			}
		}
	}
	out := map[searcherSet][]string{}
	for address, set := range limits {
		out[set] = append(out[set], address)
	}
	return out
}

// routeSet works out the routes of one set under the route that is set.
func (d *Daemon) routeSet(out *routing, set searcherSet, searchers, near, all []string) {
	budget := assigner.Split(set.limit, len(near))
	switch {
	case d.settings.Policy.Route == loader.RouteDirect:
		d.addRoutes(out, searchers, func(string) []string { return all }, max(1, assigner.Split(set.limit, len(all)).PerGateway))
	case d.settings.Policy.Route == loader.RouteOwner:
		owner := func(searcher string) []string { return assigner.Top(searcher, near, 1) }
		d.addRoutes(out, searchers, owner, assigner.Split(set.limit, 1).PerGateway)
	case budget.Gateways >= len(near):
		d.addRoutes(out, searchers, func(string) []string { return near }, budget.PerGateway)
	default:
		groups := assigner.New(near, searchers, budget.Gateways)
		d.addRoutes(out, searchers, groups.Gateways, budget.PerGateway)
	}
}

func (d *Daemon) addRoutes(out *routing, searchers []string, gateways func(string) []string, connections int) {
	for _, searcher := range searchers {
		g := gateways(searcher)
		if len(g) == 0 {
			continue
		}
		out.routes[searcher] = route{
			gateways:    g,
			self:        slices.Contains(g, d.settings.Peers),
			connections: connections,
		}
	}
}

// probeSearchers asks each searcher that has not replied lately whether it is
// leaving. Only one gateway of a searcher does so; the others are told by it.
// Each gateway asks those that it has no open connection to, so that a hedge
// does not have to wait for one.
func (d *Daemon) probeSearchers(now time.Time) {
	var mine, cold []string
	for searcher, r := range d.routing.Load().routes {
		switch {
		case !r.self:
		case assigner.Top(searcher, r.gateways, 1)[0] == d.settings.Peers:
			mine = append(mine, searcher)
		case len(cold) < warmPerInterval && d.sender.Cold(now, searcher):
			cold = append(cold, searcher)
		}
	}
	for _, searcher := range append(d.picker.Unheard(now, mine, probeInterval), cold...) {
		go func() {
			if load, ok := d.sender.Probe(searcher); ok {
				d.picker.Probed(time.Now(), searcher, loadOf(load))
			}
		}()
	}
}

// gatewayFor returns the daemon that a shard request goes through. Turn picks
// among equals, so that a second attempt goes through another daemon.
func (d *Daemon) gatewayFor(searcher string, turn uint64) (string, bool) {
	r, ok := d.routing.Load().routes[searcher]
	if !ok {
		return "", false
	}
	if r.self && d.settings.Policy.Route != loader.RouteGateway {
		return d.settings.Peers, true
	}
	n := uint64(len(r.gateways))
	for i := range n {
		g := r.gateways[(turn+i)%n]
		if g != d.settings.Peers && d.linker.Usable(g) {
			return g, true
		}
	}
	return r.gateways[turn%n], true
}
