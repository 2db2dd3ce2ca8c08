package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
)

// TestRoutingFollowsFailureDomains: a member that was known by its address
// alone, as a seed is, changes the gateways once its failure domain is known.
func TestRoutingFollowsFailureDomains(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	seed := inputOf([]*messenger.Member{{Address: "192.0.2.1:7001"}})
	heard := inputOf([]*messenger.Member{{Address: "192.0.2.1:7001", FailureDomain: "bangor-a"}})
	is.True(seed != heard)
}

// TestGatewaysRaiseConnectionsLate: whenever the gateways of a searcher change,
// what a daemon may hold falls at once and rises only after takeOverTime, also
// for one that was a gateway all along.
func TestGatewaysRaiseConnectionsLate(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	start := time.Now()
	at := func(span time.Duration) time.Time { return start.Add(span) }
	tableOf := func(connections int, gateways ...string) *table {
		return &table{routes: map[string]route{"searcher": {gateways: gateways, self: true, connections: connections}}}
	}

	alone := tableOf(4, "a").after(&table{}, start)
	is.Equal(alone.routes["searcher"].allowed(start), 1)
	is.Equal(alone.routes["searcher"].allowed(at(takeOverTime)), 4)

	two := tableOf(2, "a", "b").after(alone, at(takeOverTime))
	is.Equal(two.routes["searcher"].allowed(at(takeOverTime)), 2)
	same := tableOf(2, "a", "b").after(two, at(2*takeOverTime))
	is.Equal(same.routes["searcher"].since, two.routes["searcher"].since)

	other := tableOf(4, "a").after(same, at(3*takeOverTime))
	is.Equal(other.routes["searcher"].allowed(at(3*takeOverTime)), 2)
	is.Equal(other.routes["searcher"].allowed(at(4*takeOverTime)), 4)

	none := &table{routes: map[string]route{"searcher": {gateways: []string{"b"}}}}
	is.Equal(none.after(other, at(5*takeOverTime)).routes["searcher"].allowed(at(5*takeOverTime)), 0)
}
