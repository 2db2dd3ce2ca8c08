package responder

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/assigner"
	"github.com/fuchsiastile/fuchsiastile/internal/exchanger"
	"github.com/fuchsiastile/fuchsiastile/internal/follower"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/internal/reporter"
)

const (
	// defaultConnections is the connection limit per searcher of a service that
	// declares none.
	defaultConnections = 50
	// preconnectMinShare is the smallest number of a searcher's connections at which
	// a daemon preconnects; with fewer, all of them are needed for requests.
	preconnectMinShare = 2
	// preconnectsPerSweep limits the connections that one sweep preconnects.
	preconnectsPerSweep = 20
	// preconnectTimeout limits the time to open one of them.
	preconnectTimeout = 500 * time.Millisecond
)

// newTarget returns the exchange target for a searcher, limited to this daemon's
// share of the searcher's connections.
func newTarget(state *follower.State, service string, searcher planner.Searcher) exchanger.Target {
	return exchanger.Target{
		Key:     searcher.Key(),
		Address: searcher.Address,
		Limit:   assigner.ConnectionShare(connectionLimit(state, service), state.Daemons),
	}
}

// searcherSubset holds the searchers of every service. Those outside this daemon's
// subset, to which it should keep no connections, are marked as spare. It is
// immutable.
type searcherSubset struct {
	// table, fleet and daemons are those of the state for which the subset was computed.
	table     *planner.Table
	fleet     *planner.Fleet
	daemons   int
	searchers map[string][]planner.Searcher
	// keys maps the hashes of the keys of searchers whose service has spare ones to
	// the keys. The daemons share their observations of these searchers.
	keys map[uint64]string
}

// subsetFor returns the searchers and selects those that this daemon connects to:
// the nearest first, and among equally near ones by rendezvous hashing, so that the
// connections of all daemons are spread evenly over the searchers.
func (r *Responder) subsetFor(state *follower.State) *searcherSubset {
	if cached := r.cachedSubset.Load(); cached != nil && cached.table == state.Table && cached.fleet == state.Fleet && cached.daemons == state.Daemons {
		return cached
	}
	subset := &searcherSubset{table: state.Table, fleet: state.Fleet, daemons: state.Daemons, searchers: map[string][]planner.Searcher{}, keys: map[uint64]string{}}
	for _, service := range state.Fleet.Services() {
		list := state.Fleet.Searchers(service)
		size := assigner.ReplicasPerDaemon(connectionLimit(state, service), state.Daemons, len(list))
		if size == len(list) || !r.isEnabled(PolicySubsetting) {
			subset.searchers[service] = list
			continue
		}
		subset.searchers[service] = r.markSpare(list, size)
		for _, searcher := range list {
			subset.keys[reporter.Hash(searcher.Key())] = searcher.Key()
		}
	}
	r.cachedSubset.Store(subset)
	return subset
}

// markSpare returns a copy of the searchers in which all but the first size ones
// in this daemon's order of preference are marked as spare.
func (r *Responder) markSpare(list []planner.Searcher, size int) []planner.Searcher {
	settings := r.config.Settings
	distance := func(s planner.Searcher) int {
		switch {
		case s.FailureDomain == settings.FailureDomain:
			return 0
		case s.Region == settings.Region:
			return 1
		default:
			return 2
		}
	}
	byKey := map[string]int{}
	keys := make([]string, len(list))
	for i, s := range list {
		keys[i] = s.Key()
		byKey[s.Key()] = i
	}
	order := assigner.TopRanked(settings.IP, keys, len(keys))
	slices.SortStableFunc(order, func(a, b string) int { return distance(list[byKey[a]]) - distance(list[byKey[b]]) })
	out := slices.Clone(list)
	for _, key := range order[size:] {
		out[byKey[key]].Spare = true
	}
	return out
}

// connectionLimit returns the maximum number of connections to one searcher of a
// service, over all daemons.
func connectionLimit(state *follower.State, service string) int {
	if limit := state.Table.Configuration().Services[service].MaxConnections; limit > 0 {
		return limit
	}
	return defaultConnections
}

// usesPreconnect reports whether this daemon's share of a service's connections is
// large enough to open connections before a request needs them.
func usesPreconnect(state *follower.State, service string) bool {
	return assigner.ConnectionShare(connectionLimit(state, service), state.Daemons) >= preconnectMinShare
}

// preconnect opens connections to the shards' searchers that have none and do not drain, at
// most preconnectsPerSweep, so that a hedge to another region does not wait for
// connection setup.
func (r *Responder) preconnect(now time.Time, state *follower.State) {
	if !r.isEnabled(PolicyPreconnect) {
		return
	}
	remaining := preconnectsPerSweep
	seen := map[string]bool{}
	for _, route := range state.Table.Configuration().Routes {
		for _, service := range route.Shards {
			if seen[service] || !usesPreconnect(state, service) {
				continue
			}
			seen[service] = true
			for _, searcher := range state.Fleet.Searchers(service) {
				target := newTarget(state, service, searcher)
				if remaining == 0 || r.exchanger.HasConnection(target.Key) || r.picker.IsDraining(now, target.Key) {
					continue
				}
				remaining--
				go r.preconnectTo(target)
			}
		}
	}
}

func (r *Responder) preconnectTo(target exchanger.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), preconnectTimeout)
	defer cancel()
	if err := r.exchanger.Preconnect(ctx, target); err != nil {
		klog.V(1).InfoS("preconnect failed", "searcher", target.Key, "cause", err.Error())
	}
}
