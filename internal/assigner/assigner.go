// Package assigner works out gateway sets: which daemons of a failure domain
// may hold connections to which searchers. It does no input or output.
//
// Daemons and searchers fall into the same groups, so that one message per
// group carries all shard requests of a query. Groups are picked by rendezvous
// hashing with bounded loads: a VM that comes or goes moves few others, and no
// group is more than one member above its share.
package assigner

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// headroom is the share of a searcher's connection limit that is kept free
	// for hand-overs between gateway sets and for daemons that disagree.
	headroom = 0.2
	// wantedConnections is how many connections a gateway should have at least.
	wantedConnections = 4
	// leastConnections is how many each daemon must be able to have for all to be gateways.
	leastConnections = 2
)

// Budget is how a searcher's connections are split.
type Budget struct {
	// Gateways is how many daemons may dial the searcher.
	Gateways int
	// PerGateway is how many connections each may hold; at least one.
	PerGateway int
}

// SplitConnections shares a searcher's connection limit among at most so many daemons.
func SplitConnections(limit, daemons int) Budget {
	usable := max(1, int(float64(limit)*(1-headroom)))
	if daemons < 1 {
		daemons = 1
	}
	if usable/daemons >= leastConnections {
		return Budget{Gateways: daemons, PerGateway: usable / daemons}
	}
	gateways := max(1, usable/wantedConnections)
	return Budget{Gateways: min(gateways, daemons), PerGateway: max(1, usable/min(gateways, daemons))}
}

// shareHeadroom is the share of a searcher's connection limit that stays free
// where every daemon dials it; daemons rarely use all of theirs at once.
const shareHeadroom = 0.1

// ConnectionShare is how many connections each of so many daemons may hold to a searcher
// that all of them dial; at least one.
func ConnectionShare(limit, daemons int) int {
	return max(1, int(float64(limit)*(1-shareHeadroom))/max(1, daemons))
}

// ReplicasPerDaemon is how many of a shard's replicas a daemon may hold a connection to, so
// that one connection of each daemon to each of them fits the searchers' limit.
func ReplicasPerDaemon(limit, daemons, replicas int) int {
	fitting := int(float64(limit) * (1 - shareHeadroom) * float64(replicas) / float64(max(1, daemons)))
	return max(1, min(fitting, replicas))
}

// Groups is the assignment of one failure domain. The zero value has no group.
type Groups struct {
	daemons   map[string]int
	members   [][]string
	searchers map[string]int
}

// New assigns daemons and searchers to groups of at most size daemons each.
// The result depends only on the sets, not on their order.
func New(daemons, searchers []string, size int) *Groups {
	g := &Groups{}
	if len(daemons) == 0 {
		return g
	}
	count := (len(daemons) + size - 1) / size
	g.daemons = place(daemons, count)
	g.searchers = place(searchers, count)
	g.members = make([][]string, count)
	for daemon, group := range g.daemons {
		g.members[group] = append(g.members[group], daemon)
	}
	for _, m := range g.members {
		slices.Sort(m)
	}
	return g
}

// Gateways returns the daemons that may dial a searcher, sorted.
func (g *Groups) Gateways(searcher string) []string {
	group, ok := g.searchers[searcher]
	if !ok {
		return nil
	}
	return g.members[group]
}

// Group returns the number of a searcher's group.
func (g *Groups) Group(searcher string) (int, bool) {
	group, ok := g.searchers[searcher]
	return group, ok
}

// place spreads names over count groups of at most ceil(len/count) each.
func place(names []string, count int) map[string]int {
	if len(names) == 0 {
		return nil
	}
	room := make([]int, count)
	for i := range room {
		room[i] = (len(names) + count - 1) / count
	}
	out := make(map[string]int, len(names))
	for _, name := range byHash(names) {
		out[name] = bestGroup(name, room)
		room[out[name]]--
	}
	return out
}

// bestGroup returns the highest-scoring group that has room.
func bestGroup(name string, room []int) int {
	best, bestScore := -1, uint64(0)
	for group, left := range room {
		if left == 0 {
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

func byHash(names []string) []string {
	sorted := slices.Clone(names)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return sorted
}

// TopRanked returns the n names that score highest for a key, best first: rendezvous
// hashing, by which daemons agree on relays and stand-ins without a message.
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
