package follower

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/internal/refresher"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// rebuildHeadStart is how long an overtaken rebuild gets to read what it builds from.
const rebuildHeadStart = 50 * time.Millisecond

// TestOvertakenRebuildKeepsNewerFleet starts a rebuild of the fleet and changes the
// servers before it can publish. The published fleet must be the newer one: with that
// of the older list, a server that has left would be in use again until the next
// change.
func TestOvertakenRebuildKeepsNewerFleet(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	server := func(name string) planner.Server {
		return planner.Server{Instance: name, Service: "parts", Address: "192.0.2.1:9100"}
	}
	content := map[string]planner.Server{"left": server("left"), "stays": server("stays")}
	f := &Follower{ready: make(chan struct{}), config: Config{OnChange: func(*State) {}}}
	f.servers = newDocument(documentServers, refresher.Config{Bound: time.Second, Rand: rand.New(rand.NewPCG(1, 1))}, platform.Collection[planner.Server]{})
	f.servers.list = func(context.Context) ([]platform.Entry[planner.Server], platform.Position, error) {
		var out []platform.Entry[planner.Server]
		for name, s := range content {
			out = append(out, platform.Entry[planner.Server]{Name: name, Value: s})
		}
		return out, platform.Position{Revision: uint64(10 - len(content))}, nil
	}
	f.servers.onChange = func(time.Time, map[string]planner.Server, map[string]planner.Server) {}
	f.servers.onConfirmed = func(time.Time, time.Time) {}
	f.state.Store(&State{Daemons: 1})
	is.True(f.servers.read(t.Context()))

	f.mu.Lock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.rebuildFleet(time.Now())
	}()
	time.Sleep(rebuildHeadStart)
	delete(content, "left")
	f.servers.needsList = true
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		f.servers.read(context.Background())
	}()
	<-changed
	f.mu.Unlock()
	<-done
	is.Equal(f.State().Fleet.Size(), 1)
}
