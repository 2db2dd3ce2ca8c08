package router

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/loader"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
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

// overtakeWait is how long TestOvertakenRefreshKeepsNewerRoutes lets a second call
// of Refresh overtake the first one, which it must not do.
const overtakeWait = 100 * time.Millisecond

// TestOvertakenRefreshKeepsNewerRoutes calls Refresh while another call has read an
// older view and not yet compiled it. The routes of the newer view must remain: a
// daemon that kept those of an older view, which had no searcher, refused its callers
// and probed no searcher.
func TestOvertakenRefreshKeepsNewerRoutes(t *testing.T) {
	t.Parallel()
	for _, membersChanged := range []bool{true, false} {
		t.Run(fmt.Sprint("members changed ", membersChanged), func(t *testing.T) {
			t.Parallel()
			testOvertakenRefresh(t, membersChanged)
		})
	}
}

// testOvertakenRefresh makes the overtaken call compile because the members have
// changed or, otherwise, because Invalidate was called.
func testOvertakenRefresh(t *testing.T, membersChanged bool) {
	is := is.New(t)
	const searcher = "192.0.2.9:9100"
	newer := planner.New().
		WithDeclarations(declarer.Declarations{Services: []declarer.Service{{Name: "parts", Selector: "app=parts", ConnectionLimit: 4}}}).
		WithIndexes(declarer.Indexes{Services: map[string]declarer.Snapshot{"parts": {Name: "v1", Shards: []declarer.ShardPlacement{{Name: "s0", Selector: "app=parts"}}}}}).
		WithVMs([]declarer.VM{{Name: "vm", Address: searcher, FailureDomain: "a", State: declarer.VMLive, Labels: map[string]string{"app": "parts"}}})
	live := []*messenger.Member{{Address: "192.0.2.1:7001", FailureDomain: "a"}, {Address: "192.0.2.2:7001", FailureDomain: "a"}}
	liveBefore := live
	if membersChanged {
		liveBefore = live[:1]
	}
	r := New(Config{Self: "192.0.2.1:7001", Route: loader.RouteDirect})
	var view atomic.Pointer[planner.View]
	view.Store(planner.New())
	now := time.Now()
	if !membersChanged {
		r.Refresh(now, func() ([]*messenger.Member, *planner.View) { return live, view.Load() })
		r.Invalidate()
	}

	hasRead, resume, overtaken := make(chan struct{}), make(chan struct{}), make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Refresh(now, func() ([]*messenger.Member, *planner.View) {
			read := view.Load()
			close(hasRead)
			<-resume
			return liveBefore, read
		})
	}()
	<-hasRead
	view.Store(newer)
	r.Invalidate()
	go func() {
		defer close(overtaken)
		r.Refresh(now, func() ([]*messenger.Member, *planner.View) { return live, view.Load() })
	}()
	select {
	case <-overtaken:
	case <-time.After(overtakeWait):
	}
	close(resume)
	<-done
	<-overtaken
	is.True(r.Searchers()[searcher])
}
