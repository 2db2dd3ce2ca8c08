// Package router knows which daemons may dial a backend server, and how many
// connections each may hold to it. It does no input or output.
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

// takeOverTime is how long the gateways of a searcher, once they have changed,
// open no more connections than they held (a new one holds one), while those
// that were before them close theirs: some rounds of the membership.
const takeOverTime = 2 * time.Second

// Config is where a daemon stands.
type Config struct {
	// Self is this daemon's address among its peers.
	Self string
	// Route is the way from an entry to a searcher.
	Route loader.Route
}

// Router holds the routes of one daemon. It is safe for concurrent use.
type Router struct {
	config Config
	routes atomic.Pointer[table]

	// mu is held while routes are compiled.
	mu sync.Mutex
	// input is what the routes were last compiled from, besides the view.
	input string
	// stale is set when they must be compiled anew, whatever the input.
	stale atomic.Bool
}

// New returns a router without routes.
func New(config Config) *Router {
	r := &Router{config: config}
	r.routes.Store(&table{})
	return r
}

// Invalidate makes the next Refresh compile, since the view has changed.
func (r *Router) Invalidate() { r.stale.Store(true) }

// Refresh compiles the routes anew if the live daemons have changed or the
// routes have expired, and reports whether it did.
func (r *Router) Refresh(now time.Time, live []*messenger.Member, view *planner.View) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	input := inputOf(live)
	changed := input != r.input
	r.input = input
	if !changed && !r.stale.Swap(false) {
		return false
	}
	r.routes.Store(r.compile(live, view).after(r.routes.Load(), now))
	return true
}

// inputOf is what routes are compiled from. A member that is known by its
// address alone, from a seed, has no failure domain yet.
func inputOf(live []*messenger.Member) string {
	var out strings.Builder
	for _, m := range live {
		out.WriteString(m.GetAddress() + " " + m.GetFailureDomain() + ",")
	}
	return out.String()
}

// Searchers returns every searcher that has a route.
func (r *Router) Searchers() map[string]bool {
	routes := r.routes.Load().routes
	out := make(map[string]bool, len(routes))
	for searcher := range routes {
		out[searcher] = true
	}
	return out
}

// Budget returns how many connections this daemon may hold to a searcher; zero
// means that it is no gateway of it.
func (r *Router) Budget(now time.Time, searcher string) int {
	return r.routes.Load().routes[searcher].allowed(now)
}

// Gateway returns the daemon that a shard request goes through. Turn picks
// among equals, so that a second attempt goes through another daemon; usable
// reports whether the link to one is worth trying.
func (r *Router) Gateway(searcher string, turn uint64, usable func(address string) bool) (string, bool) {
	way, ok := r.routes.Load().routes[searcher]
	if !ok {
		return "", false
	}
	if way.self && r.config.Route != loader.RouteGateway {
		return r.config.Self, true
	}
	n := uint64(len(way.gateways))
	for i := range n {
		g := way.gateways[(turn+i)%n]
		if g != r.config.Self && usable(g) {
			return g, true
		}
	}
	return way.gateways[turn%n], true
}

// GatewayAssignments returns the searchers that this daemon is a gateway of: those that it
// is the first gateway of, which probes them for all, and the others.
func (r *Router) GatewayAssignments() (first, other []string) {
	for searcher, way := range r.routes.Load().routes {
		switch {
		case !way.self:
		case assigner.TopRanked(searcher, way.gateways, 1)[0] == r.config.Self:
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
		near := byDomain[set.failureDomain]
		if len(near) == 0 {
			near = all
		}
		r.routeSet(out, set, searchers, near, all)
	}
	return out
}

// routeSet works out the routes of one set under the route that is set.
func (r *Router) routeSet(out *table, set searcherSet, searchers, near, all []string) {
	budget := assigner.SplitConnections(set.limit, len(near))
	switch {
	case r.config.Route == loader.RouteDirect:
		r.addRoutes(out, searchers, func(string) []string { return all }, max(1, assigner.SplitConnections(set.limit, len(all)).PerGateway))
	case r.config.Route == loader.RouteOwner:
		owner := func(searcher string) []string { return assigner.TopRanked(searcher, near, 1) }
		r.addRoutes(out, searchers, owner, assigner.SplitConnections(set.limit, 1).PerGateway)
	case budget.Gateways >= len(near):
		r.addRoutes(out, searchers, func(string) []string { return near }, budget.PerGateway)
	default:
		groups := assigner.New(near, searchers, budget.Gateways)
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
			self:        slices.Contains(g, r.config.Self),
			connections: connections,
		}
	}
}
