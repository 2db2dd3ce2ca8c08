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
)

const (
	// defaultConnections is assumed of a service that declares no limit.
	defaultConnections = 50
	// warmShare is the least share of a searcher's connections from which on one is
	// kept open ahead of use; with fewer, all are needed for requests.
	warmShare = 2
	// warmPerSweep bounds the connections that are made ahead of use in a sweep.
	warmPerSweep = 20
	// warmTimeout bounds making one.
	warmTimeout = 500 * time.Millisecond
)

// targetOf names a searcher to the exchanger, with this daemon's share of its connections.
func targetOf(state *follower.State, service string, searcher planner.Searcher) exchanger.Target {
	return exchanger.Target{
		Key:     searcher.Key(),
		Address: searcher.Address,
		Limit:   assigner.Share(connectionLimit(state, service), state.Daemons),
	}
}

// reach is the searchers of every service as this daemon sees them: those that it
// is not meant to hold connections to are spare. It is immutable.
type reach struct {
	fleet     *planner.Fleet
	daemons   int
	searchers map[string][]planner.Searcher
}

// reachOf works out which searchers this daemon dials: the nearest, and others by
// rendezvous hashing, so that all daemons together load the searchers evenly.
func (r *Responder) reachOf(state *follower.State) *reach {
	if known := r.reached.Load(); known != nil && known.fleet == state.Fleet && known.daemons == state.Daemons {
		return known
	}
	made := &reach{fleet: state.Fleet, daemons: state.Daemons, searchers: map[string][]planner.Searcher{}}
	for _, service := range state.Fleet.Services() {
		list := state.Fleet.Searchers(service)
		fitting := assigner.Reach(connectionLimit(state, service), state.Daemons, len(list))
		if fitting == len(list) || !r.has(PolicySubsetting) {
			made.searchers[service] = list
			continue
		}
		made.searchers[service] = r.withSpares(list, fitting)
	}
	r.reached.Store(made)
	return made
}

// withSpares marks all but the first searchers of this daemon's order as spare.
func (r *Responder) withSpares(list []planner.Searcher, fitting int) []planner.Searcher {
	s := r.config.Settings
	distance := func(c planner.Searcher) int {
		switch {
		case c.FailureDomain == s.FailureDomain:
			return 0
		case c.Region == s.Region:
			return 1
		default:
			return 2
		}
	}
	byKey := map[string]int{}
	keys := make([]string, len(list))
	for i, c := range list {
		keys[i] = c.Key()
		byKey[c.Key()] = i
	}
	order := assigner.Top(s.IP, keys, len(keys))
	slices.SortStableFunc(order, func(a, b string) int { return distance(list[byKey[a]]) - distance(list[byKey[b]]) })
	out := slices.Clone(list)
	for _, key := range order[fitting:] {
		out[byKey[key]].Fallback = true
	}
	return out
}

// connectionLimit is how many connections one searcher of a service takes.
func connectionLimit(state *follower.State, service string) int {
	if limit := state.Table.Configuration().Services[service].MaxConnections; limit > 0 {
		return limit
	}
	return defaultConnections
}

// isWarm reports whether connections to a service's searchers are kept open ahead
// of use.
func isWarm(state *follower.State, service string) bool {
	return assigner.Share(connectionLimit(state, service), state.Daemons) >= warmShare
}

// warm makes connections to searchers of shards that have none, so that a hedge
// to another region does not pay for one.
func (r *Responder) warm(state *follower.State) {
	if !r.has(PolicyPreconnect) {
		return
	}
	left := warmPerSweep
	seen := map[string]bool{}
	for _, route := range state.Table.Configuration().Routes {
		for _, service := range route.Shards {
			if seen[service] || !isWarm(state, service) {
				continue
			}
			seen[service] = true
			for _, searcher := range state.Fleet.Searchers(service) {
				target := targetOf(state, service, searcher)
				if left == 0 || r.exchanger.HasConnection(target.Key) {
					continue
				}
				left--
				go r.warmOne(target)
			}
		}
	}
}

func (r *Responder) warmOne(target exchanger.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), warmTimeout)
	defer cancel()
	if err := r.exchanger.Preconnect(ctx, target); err != nil {
		klog.V(1).InfoS("connection not made ahead of use", "searcher", target.Key, "cause", err.Error())
	}
}
