package router

import (
	"slices"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/planner"
)

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

// table maps each searcher's address to its route. It is immutable once stored.
type table struct {
	routes map[string]route
}

// after keeps from the table before since when the gateways have been the same,
// and what this daemon may hold until all know of new ones.
func (t *table) after(before *table, now time.Time) *table {
	for searcher, one := range t.routes {
		old := before.routes[searcher]
		if old.self && slices.Equal(old.gateways, one.gateways) && old.connections == one.connections {
			one.since, one.before = old.since, old.before
		} else {
			one.since, one.before = now, max(1, old.allowed(now))
		}
		t.routes[searcher] = one
	}
	return t
}

// searcherSet is all searchers of one failure domain with one connection limit.
type searcherSet struct {
	failureDomain string
	limit         int
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
