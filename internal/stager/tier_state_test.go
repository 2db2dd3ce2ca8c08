package stager_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// TestTierIgnoresForgedRegistrations stores entries that nobody may use.
func TestTierIgnoresForgedRegistrations(t *testing.T) {
	is := is.New(t)
	tier := newTier(t, nil)
	trap, err := tier.AddBackend("trap", "a", "i-trap")
	is.NoErr(err)
	for n, spec := range []string{
		`{"service":"singles","addr":"` + trap.Server.Address + `","zone":"a","version":"v1","maxConcurrency":"5","state":"ready","warmupLeftMs":0,"seq":1}`,
		`{"service":"singles","addr":"` + trap.Server.Address + `","zone":"a","version":"v1","maxConcurrency":5,"state":"sleeping","warmupLeftMs":0,"seq":1}`,
		`{"service":"singles","addr":"` + trap.Server.Address + `","zone":"a","version":"v1","maxConcurrency":5,"warmupLeftMs":0,"seq":1}`,
		`{"service":"singles","addr":"` + trap.Server.Address + `","zone":"a","version":"v1","maxConcurrency":5,"state":"ready","warmupLeftMs":0,"seq":1,"born":1.5}`,
		`[1,2]`, `"text"`, `null`,
	} {
		tier.Store.Put(platform.ObjectKindServer, fmt.Sprint("i-forged-", n), json.RawMessage(spec))
	}
	time.Sleep(500 * time.Millisecond)
	for range 40 {
		_, reply := ask(t, tier, 0, stager.SinglePath+"x")
		is.Equal(reply.Status, http.StatusOK)
	}
	is.Equal(len(trap.Stats().Arrivals), 0)
}

// TestTierLeavesDrainingSearchersInTime drains or removes a searcher and looks
// for requests after the bound.
func TestTierLeavesDrainingSearchersInTime(t *testing.T) {
	is := is.New(t)
	tier := newTier(t, nil)
	leaving := backendsOf(tier, singles)[:2]
	drained := leaving[0].Server
	drained.Draining = true
	tier.Register(drained)
	tier.Store.Delete(platform.ObjectKindServer, leaving[1].Server.Instance)
	acknowledged := time.Now()
	for time.Since(acknowledged) < 4*time.Second {
		for daemon := range tier.Daemons {
			_, reply := ask(t, tier, daemon, stager.SinglePath+"x")
			is.Equal(reply.Status, http.StatusOK)
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, b := range leaving {
		is.True(b.Stats().LastArrival.Before(acknowledged.Add(3 * time.Second)))
	}
}

// moveSingles is the next configuration, which sends single requests to a shard's service.
func moveSingles(tier *stager.Tier) planner.Configuration {
	next := tier.InitialConfiguration()
	next.Version = tier.StoredConfiguration.Version + 3
	for i, r := range next.Routes {
		if r.Name == "single" {
			next.Routes[i].Backends = []planner.Backend{{Service: stager.ShardServiceName(0), Weight: 1}}
		}
	}
	return next
}

// servedBy returns the service that answers a single request at a daemon.
func servedBy(t *testing.T, tier *stager.Tier, daemon int) string {
	t.Helper()
	id, reply := ask(t, tier, daemon, stager.SinglePath+"x")
	if reply.Status != http.StatusOK {
		return ""
	}
	return tier.ExecutedBy(id).Server.Service
}

// awaitMoved waits until every daemon has the moved route in force.
func awaitMoved(t *testing.T, tier *stager.Tier, within time.Duration) {
	t.Helper()
	until := time.Now().Add(within)
	for daemon := range tier.Daemons {
		for servedBy(t, tier, daemon) != stager.ShardServiceName(0) {
			if time.Now().After(until) {
				t.Fatalf("daemon %d has not taken the configuration after %v", daemon, within)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// TestTierPutsConfigurationsInForce moves a route under faults of the store and
// of the daemon that reads it, and requires the bound at every daemon.
func TestTierPutsConfigurationsInForce(t *testing.T) {
	const bound = 3 * time.Second
	for name, fault := range map[string]func(*stager.Tier){
		"calm": func(*stager.Tier) {},
		"killed": func(tier *stager.Tier) {
			killed := reader(tier)
			tier.Daemons[killed].Kill()
			tier.Daemons = slices.Delete(tier.Daemons, killed, killed+1)
		},
		"silent": func(tier *stager.Tier) {
			tier.Store.SetFaults(emulator.StoreFaults{Silent: true, Only: []string{tier.Daemons[reader(tier)].Settings.IP}})
		},
		"refused": func(tier *stager.Tier) {
			tier.Store.SetFaults(emulator.StoreFaults{Refuse: 503, Only: []string{tier.Daemons[reader(tier)].Settings.IP}})
		},
		"deaf": func(tier *stager.Tier) {
			tier.Store.SetFaults(emulator.StoreFaults{Deaf: true})
			time.AfterFunc(time.Second, func() {
				tier.Store.Compact()
				tier.Store.SetFaults(emulator.StoreFaults{})
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			tier := newTier(t, func(c *stager.TierConfig) { c.DaemonsPerDomain = 2 })
			time.Sleep(1500 * time.Millisecond) // the daemons know each other
			fault(tier)
			tier.Apply(moveSingles(tier))
			awaitMoved(t, tier, bound)
			for daemon := range tier.Daemons {
				if got := servedBy(t, tier, daemon); got != stager.ShardServiceName(0) {
					t.Fatalf("daemon %d went back to %q", daemon, got)
				}
			}
		})
	}
}

// reader is the daemon that reads the store most.
func reader(tier *stager.Tier) int {
	before := tier.Store.Calls()
	time.Sleep(1200 * time.Millisecond)
	after := tier.Store.Calls()
	best, most := 0, -1
	for n, d := range tier.Daemons {
		if calls := after[d.Settings.IP] - before[d.Settings.IP]; calls > most {
			best, most = n, calls
		}
	}
	return best
}

// TestTierCallsTheStoreAsOne requires that calls in calm don't grow with the
// daemons, and that an outage's end is no stampede.
func TestTierCallsTheStoreAsOne(t *testing.T) {
	is := is.New(t)
	tier := newTier(t, func(c *stager.TierConfig) { c.DaemonsPerDomain, c.Shards = 6, 1 })
	total := func() int {
		n := 0
		for _, calls := range tier.Store.Calls() {
			n += calls
		}
		return n
	}
	time.Sleep(4 * time.Second) // the daemons know each other
	before := total()
	time.Sleep(4 * time.Second)
	is.True(total()-before <= 4*6) // two documents, at most three reads of each a second
	tier.Store.SetFaults(emulator.StoreFaults{Refuse: 503})
	time.Sleep(4 * time.Second)
	before = total()
	tier.Store.SetFaults(emulator.StoreFaults{})
	time.Sleep(time.Second)
	is.True(total()-before <= 2*18) // at most one read of each document by each daemon
}

// TestTierKeepsServersThatLapsedInAnOutage removes the registrations of living
// searchers while the store is away; they register again just after.
func TestTierKeepsServersThatLapsedInAnOutage(t *testing.T) {
	is := is.New(t)
	tier := newTier(t, nil)
	time.Sleep(1500 * time.Millisecond)
	tier.Store.SetFaults(emulator.StoreFaults{Refuse: 503})
	time.Sleep(4 * time.Second)
	for _, b := range tier.Backends {
		tier.Store.Delete(platform.ObjectKindServer, b.Server.Instance)
	}
	tier.Store.SetFaults(emulator.StoreFaults{})
	returned := time.Now()
	for time.Since(returned) < 3500*time.Millisecond {
		if time.Since(returned) > 1900*time.Millisecond {
			for _, b := range tier.Backends[1:] {
				tier.Register(b.Server)
			}
		}
		_, reply := ask(t, tier, int(requestNumber.Load()%3), stager.ScatterGatherPath+"x")
		is.Equal(reply.Status, http.StatusOK)
		time.Sleep(10 * time.Millisecond)
	}
	// The one that did not come back is taken as gone.
	gone := tier.Backends[0]
	last := gone.Stats().LastArrival
	for range 20 {
		ask(t, tier, 0, stager.ScatterGatherPath+"x")
	}
	is.Equal(gone.Stats().LastArrival, last)
}

// TestTierStopsWithoutLoss stops daemons one after the other under load. A caller
// leaves a daemon as the balancer does, two seconds after it is not ready.
func TestTierStopsWithoutLoss(t *testing.T) {
	is := is.New(t)
	tier := newTier(t, func(c *stager.TierConfig) { c.ServiceTime = 80 * time.Millisecond })
	stopped := tier.Daemons[1]
	var leave atomic.Bool
	var wait sync.WaitGroup
	for range 6 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for !leave.Load() {
				id := nextID()
				reply, err := tier.Send(t.Context(), stopped, http.MethodPost, stager.AtMostOncePath+"x", id, 2*time.Second, nil)
				if err != nil || reply.Status != http.StatusOK {
					t.Error("request lost around a planned stop: ", reply.Status, err)
					return
				}
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	asked := time.Now()
	stopped.Stop()
	is.True(!stopped.IsReady())
	time.Sleep(2 * time.Second)
	leave.Store(true)
	wait.Wait()
	is.NoErr(<-stopped.RunErr)
	is.True(time.Since(asked) < 6*time.Second)
}

// TestTierTakesChangedSettings changes the file with and without a signal, and
// breaks it.
func TestTierTakesChangedSettings(t *testing.T) {
	is := is.New(t)
	tier := newTier(t, nil)
	d := tier.Daemons[0]
	next := d.Settings
	next.Bounds.RetryBudgetSlack = 12
	write := func(data []byte) { is.NoErr(os.WriteFile(d.SettingsFile, data, 0o600)) }
	data, err := platform.EncodeSettings(next)
	is.NoErr(err)
	awaitSlack := func(want float64) {
		t.Helper()
		for until := time.Now().Add(4 * time.Second); d.CurrentSettings().Bounds.RetryBudgetSlack != want; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(until) {
				t.Fatal("the settings were not taken")
			}
		}
	}
	write(data)
	d.Reload()
	awaitSlack(12)
	next.Bounds.RetryBudgetSlack = 34
	data, err = platform.EncodeSettings(next)
	is.NoErr(err)
	write(data) // nobody tells
	awaitSlack(34)
	write([]byte("node = ["))
	d.Reload()
	time.Sleep(100 * time.Millisecond)
	is.Equal(d.CurrentSettings().Bounds.RetryBudgetSlack, 34.0) // what cannot be read changes nothing
	_, reply := ask(t, tier, 0, stager.ScatterGatherPath+"x")
	is.Equal(reply.Status, http.StatusOK)
}
