// Package assigner computes gateway sets: which daemons of a failure domain may
// open connections to which searchers. It performs no I/O.
//
// Daemons and searchers are assigned to the same groups, so that one message per
// group carries all shard requests of a query. Groups are chosen by rendezvous
// hashing with bounded loads: a VM that is added or removed moves few others, and
// no group has more than one member above the average.
package assigner

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// gatewayHeadroom is the fraction of a searcher's connection limit that is kept
	// free for transitions between gateway sets and for daemons whose assignments
	// differ for a time.
	gatewayHeadroom = 0.2
	// preferredConnections is the number of connections that each gateway should
	// have if only some of the daemons are gateways.
	preferredConnections = 4
	// minConnections is the number of connections that each daemon must get for all
	// daemons to be gateways.
	minConnections = 2
)

// Budget is how a searcher's connection limit is split among its gateways.
type Budget struct {
	// Gateways is the number of daemons that may connect to the searcher.
	Gateways int
	// PerGateway is the number of connections that each gateway may open; at least one.
	PerGateway int
}

// SplitConnections splits a searcher's connection limit among at most the given
// number of daemons. If there are too many daemons for minConnections each, only
// some of them become gateways.
func SplitConnections(limit, daemons int) Budget {
	usable := max(1, int(float64(limit)*(1-gatewayHeadroom)))
	if daemons < 1 {
		daemons = 1
	}
	if usable/daemons >= minConnections {
		return Budget{Gateways: daemons, PerGateway: usable / daemons}
	}
	gateways := max(1, usable/preferredConnections)
	return Budget{Gateways: min(gateways, daemons), PerGateway: max(1, usable/min(gateways, daemons))}
}

// directHeadroom is the fraction of a searcher's connection limit that is kept
// free if every daemon connects to it directly. It is below gatewayHeadroom
// because daemons rarely use all of their connections at once.
const directHeadroom = 0.1

// ConnectionShare returns the number of connections that each daemon may open to a
// searcher if all daemons connect to it directly; at least one.
func ConnectionShare(limit, daemons int) int {
	return max(1, int(float64(limit)*(1-directHeadroom))/max(1, daemons))
}

// ReplicasPerDaemon returns the number of a shard's replicas to each of which every
// daemon may open one connection without exceeding the searchers' connection limits.
func ReplicasPerDaemon(limit, daemons, replicas int) int {
	fitting := int(float64(limit) * (1 - directHeadroom) * float64(replicas) / float64(max(1, daemons)))
	return max(1, min(fitting, replicas))
}

// Groups is the assignment of daemons and searchers to groups in one failure
// domain. The zero value has no groups.
type Groups struct {
	daemons   map[string]int
	members   [][]string
	searchers map[string]int
}

// New assigns daemons and searchers to groups of at most size daemons each. The
// result does not depend on the order of the names.
func New(daemons, searchers []string, size int) *Groups {
	g := &Groups{}
	if len(daemons) == 0 {
		return g
	}
	count := (len(daemons) + size - 1) / size
	g.daemons = assignGroups(daemons, count)
	g.searchers = assignGroups(searchers, count)
	g.members = make([][]string, count)
	for daemon, group := range g.daemons {
		g.members[group] = append(g.members[group], daemon)
	}
	for _, m := range g.members {
		slices.Sort(m)
	}
	return g
}

// Gateways returns the daemons of a searcher's group, which are the ones that may
// connect to it, in sorted order.
func (g *Groups) Gateways(searcher string) []string {
	group, ok := g.searchers[searcher]
	if !ok {
		return nil
	}
	return g.members[group]
}

// Group returns the index of a searcher's group.
func (g *Groups) Group(searcher string) (int, bool) {
	group, ok := g.searchers[searcher]
	return group, ok
}

// assignGroups assigns each name to one of count groups of at most ceil(len/count)
// names each.
func assignGroups(names []string, count int) map[string]int {
	if len(names) == 0 {
		return nil
	}
	capacity := make([]int, count)
	for i := range capacity {
		capacity[i] = (len(names) + count - 1) / count
	}
	out := make(map[string]int, len(names))
	for _, name := range sortedByHash(names) {
		out[name] = bestGroup(name, capacity)
		capacity[out[name]]--
	}
	return out
}

// bestGroup returns the group with the highest rendezvous score among those with
// free capacity.
func bestGroup(name string, capacity []int) int {
	best, bestScore := -1, uint64(0)
	for group, free := range capacity {
		if free == 0 {
			continue
		}
		if score := score(name, group); best < 0 || score > bestScore {
			best, bestScore = group, score
		}
	}
	return best
}

func score(name string, group int) uint64 {
	return xxhash.Sum64String(name + "/" + strconv.Itoa(group))
}

func sortedByHash(names []string) []string {
	sorted := slices.Clone(names)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return sorted
}

// TopRanked returns the n names with the highest rendezvous scores for a key, best first.
// Such rendezvous hashing lets daemons agree on relays, owners and successors
// without exchanging messages.
func TopRanked(key string, names []string, n int) []string {
	sorted := slices.Clone(names)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(key+"/"+b), xxhash.Sum64String(key+"/"+a)),
			cmp.Compare(a, b),
		)
	})
	return sorted[:min(n, len(sorted))]
}
