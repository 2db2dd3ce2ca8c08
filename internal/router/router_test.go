package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
)

// TestMembershipKeyIncludesFailureDomain guards against routes that are not
// recompiled when the record of a seed is received: until then the member has an
// address but no failure domain.
func TestMembershipKeyIncludesFailureDomain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	seed := membershipKey([]*messenger.Member{{Address: "192.0.2.1:7001"}})
	resolved := membershipKey([]*messenger.Member{{Address: "192.0.2.1:7001", FailureDomain: "bangor-a"}})
	is.True(seed != resolved)
}

// TestGatewaysRaiseConnectionsLate checks that when the gateways of a searcher
// change, a daemon's connection limit falls at once but rises only after
// gatewayChangeDelay, also for a daemon that was a gateway before.
func TestGatewaysRaiseConnectionsLate(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	newTable := func(connections int, gateways ...string) *table {
		return &table{routes: map[string]route{"searcher": {gateways: gateways, isGateway: true, connections: connections}}}
	}

	alone := newTable(4, "a").carryOver(&table{}, start)
	is.Equal(alone.routes["searcher"].allowedConnections(start), 1)
	is.Equal(alone.routes["searcher"].allowedConnections(at(gatewayChangeDelay)), 4)

	two := newTable(2, "a", "b").carryOver(alone, at(gatewayChangeDelay))
	is.Equal(two.routes["searcher"].allowedConnections(at(gatewayChangeDelay)), 2)
	same := newTable(2, "a", "b").carryOver(two, at(2*gatewayChangeDelay))
	is.Equal(same.routes["searcher"].changedAt, two.routes["searcher"].changedAt)

	other := newTable(4, "a").carryOver(same, at(3*gatewayChangeDelay))
	is.Equal(other.routes["searcher"].allowedConnections(at(3*gatewayChangeDelay)), 2)
	is.Equal(other.routes["searcher"].allowedConnections(at(4*gatewayChangeDelay)), 4)

	none := &table{routes: map[string]route{"searcher": {gateways: []string{"b"}}}}
	is.Equal(none.carryOver(other, at(5*gatewayChangeDelay)).routes["searcher"].allowedConnections(at(5*gatewayChangeDelay)), 0)
}
