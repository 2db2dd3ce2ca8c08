// Package router computes which daemons may connect to a backend server as its
// gateways, and how many connections each of them may hold. It performs no I/O.
package router

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/assigner"
	"github.com/fuchsiastile/fuchsiastile/internal/loader"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
)

// gatewayChangeDelay is how long, after the gateways of a searcher have changed, a
// gateway may hold no more connections than before (a new one may hold one). During
// this time the former gateways close theirs. It spans several gossip rounds of the
// membership protocol.
const gatewayChangeDelay = 2 * time.Second

// Config holds the settings of a Router.
type Config struct {
	// Self is the address of this daemon in the membership list.
	Self string
	// Route selects how requests get from an entry VM to a searcher.
	Route loader.Route
}

// Router holds the routing table of one daemon. It is safe for concurrent use.
type Router struct {
	config Config
	routes atomic.Pointer[table]

	// mu serialises the compilation of routes.
	mu sync.Mutex
	// input is the membership key that the routes were last compiled from.
	input string
	// stale forces the next Refresh to compile the routes even if the input is
	// unchanged.
	stale atomic.Bool
}

// New returns a router without routes.
func New(config Config) *Router {
	r := &Router{config: config}
	r.routes.Store(&table{})
	return r
}

// Invalidate makes the next Refresh recompile the routes. It must be called when the
// view has changed.
func (r *Router) Invalidate() { r.stale.Store(true) }

// Refresh recompiles the routes if the live daemons have changed or Invalidate was
// called, and reports whether it did. It calls read for the live daemons and the
// view, one call at a time: with inputs read earlier, a call that was overtaken by
// another would replace the newer routes by older ones.
func (r *Router) Refresh(now time.Time, read func() ([]*messenger.Member, *planner.View)) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The mark is taken before the view is read: one that is set in between is for a
	// view that may be newer than the one read.
	stale := r.stale.Swap(false)
	live, view := read()
	input := membershipKey(live)
	if input == r.input && !stale {
		return false
	}
	r.input = input
	r.routes.Store(r.compile(live, view).carryOver(r.routes.Load(), now))
	return true
}

// membershipKey returns a string that changes whenever the membership changes in a
// way that affects routes. It includes the failure domain, because a member that was
// added as a seed address has none until its record is received.
func membershipKey(live []*messenger.Member) string {
	var out strings.Builder
	for _, m := range live {
		out.WriteString(m.GetAddress() + " " + m.GetFailureDomain() + ",")
	}
	return out.String()
}

// Searchers returns the set of searchers that have a route.
func (r *Router) Searchers() map[string]bool {
	routes := r.routes.Load().routes
	out := make(map[string]bool, len(routes))
	for searcher := range routes {
		out[searcher] = true
	}
	return out
}

// Budget returns how many connections this daemon may hold to a searcher. Zero means
// that it is not a gateway of that searcher.
func (r *Router) Budget(now time.Time, searcher string) int {
	return r.routes.Load().routes[searcher].allowedConnections(now)
}

// Gateway returns the address of the daemon that forwards a shard request. Turn
// selects among the gateways, so that a second attempt uses another daemon. Usable
// reports whether the link to a daemon is worth trying; if none is, the gateway at
// turn is returned.
func (r *Router) Gateway(searcher string, turn uint64, usable func(address string) bool) (string, bool) {
	rt, ok := r.routes.Load().routes[searcher]
	if !ok {
		return "", false
	}
	if rt.isGateway && r.config.Route != loader.RouteGateway {
		return r.config.Self, true
	}
	n := uint64(len(rt.gateways))
	for i := range n {
		g := rt.gateways[(turn+i)%n]
		if g != r.config.Self && usable(g) {
			return g, true
		}
	}
	return rt.gateways[turn%n], true
}

// GatewayAssignments returns the searchers that this daemon is a gateway of, split
// into those whose first gateway it is and the others. The first gateway of a
// searcher probes it on behalf of all gateways.
func (r *Router) GatewayAssignments() (first, other []string) {
	for searcher, rt := range r.routes.Load().routes {
		switch {
		case !rt.isGateway:
		case assigner.TopRanked(searcher, rt.gateways, 1)[0] == r.config.Self:
			first = append(first, searcher)
		default:
			other = append(other, searcher)
		}
	}
	return first, other
}

func (r *Router) compile(live []*messenger.Member, view *planner.View) *table {
	byDomain := map[string][]string{}
	var all []string
	for _, m := range live {
		all = append(all, m.GetAddress())
		byDomain[m.GetFailureDomain()] = append(byDomain[m.GetFailureDomain()], m.GetAddress())
	}
	out := &table{routes: map[string]route{}}
	for set, searchers := range searcherSets(view) {
		nearby := byDomain[set.failureDomain]
		if len(nearby) == 0 {
			nearby = all
		}
		r.compileSet(out, set, searchers, nearby, all)
	}
	return out
}

// compileSet adds the routes of one searcher set according to the configured Route.
func (r *Router) compileSet(out *table, set searcherSet, searchers, nearby, all []string) {
	budget := assigner.SplitConnections(set.limit, len(nearby))
	switch {
	case r.config.Route == loader.RouteDirect:
		r.addRoutes(out, searchers, func(string) []string { return all }, max(1, assigner.SplitConnections(set.limit, len(all)).PerGateway))
	case r.config.Route == loader.RouteOwner:
		owner := func(searcher string) []string { return assigner.TopRanked(searcher, nearby, 1) }
		r.addRoutes(out, searchers, owner, assigner.SplitConnections(set.limit, 1).PerGateway)
	case budget.Gateways >= len(nearby):
		r.addRoutes(out, searchers, func(string) []string { return nearby }, budget.PerGateway)
	default:
		groups := assigner.New(nearby, searchers, budget.Gateways)
		r.addRoutes(out, searchers, groups.Gateways, budget.PerGateway)
	}
}

func (r *Router) addRoutes(out *table, searchers []string, gateways func(string) []string, connections int) {
	for _, searcher := range searchers {
		g := gateways(searcher)
		if len(g) == 0 {
			continue
		}
		out.routes[searcher] = route{
			gateways:    g,
			isGateway:   slices.Contains(g, r.config.Self),
			connections: connections,
		}
	}
}
