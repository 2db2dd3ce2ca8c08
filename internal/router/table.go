package router

import (
	"slices"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/planner"
)

// route lists the gateways of one searcher and their connection limits.
type route struct {
	// gateways is sorted and never empty.
	gateways []string
	// isGateway is true if this daemon is one of the gateways.
	isGateway bool
	// connections is how many connections each gateway may hold.
	connections int
	// changedAt is when the gateways or the limit last changed. previous is how
	// many connections this daemon was allowed until then, but at least one.
	changedAt time.Time
	previous  int
}

// allowedConnections returns how many connections this daemon may hold. An increase
// takes effect only after gatewayChangeDelay, when former gateways have closed theirs.
func (r route) allowedConnections(now time.Time) int {
	if !r.isGateway {
		return 0
	}
	if now.Sub(r.changedAt) < gatewayChangeDelay {
		return min(r.previous, r.connections)
	}
	return r.connections
}

// table maps the address of each searcher to its route. It is immutable once stored.
type table struct {
	routes map[string]route
}

// carryOver copies changedAt and previous from the previous table for routes that are
// unchanged, and sets them for those that have changed.
func (t *table) carryOver(previous *table, now time.Time) *table {
	for searcher, current := range t.routes {
		old := previous.routes[searcher]
		if old.isGateway && slices.Equal(old.gateways, current.gateways) && old.connections == current.connections {
			current.changedAt, current.previous = old.changedAt, old.previous
		} else {
			current.changedAt, current.previous = now, max(1, old.allowedConnections(now))
		}
		t.routes[searcher] = current
	}
	return t
}

// searcherSet identifies the searchers of one failure domain with the same
// connection limit.
type searcherSet struct {
	failureDomain string
	limit         int
}

// searcherSets groups the searchers of the view into sets. A searcher that is shared
// by several services gets the lowest of their limits.
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
