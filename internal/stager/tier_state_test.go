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

// TestTierIgnoresInvalidRegistrations guards against daemons that send requests to an
// address whose registration has a field of a wrong type, an unknown or missing state,
// or is not an object.
func TestTierIgnoresInvalidRegistrations(t *testing.T) {
	is := is.New(t)
	tier := newTier(t, nil)
	misregistered, err := tier.AddBackend("trap", "a", "i-trap")
	is.NoErr(err)
	for n, spec := range []string{
		`{"service":"singles","addr":"` + misregistered.Server.Address + `","zone":"a","version":"v1","maxConcurrency":"5","state":"ready","warmupLeftMs":0,"seq":1}`,
		`{"service":"singles","addr":"` + misregistered.Server.Address + `","zone":"a","version":"v1","maxConcurrency":5,"state":"sleeping","warmupLeftMs":0,"seq":1}`,
		`{"service":"singles","addr":"` + misregistered.Server.Address + `","zone":"a","version":"v1","maxConcurrency":5,"warmupLeftMs":0,"seq":1}`,
		`{"service":"singles","addr":"` + misregistered.Server.Address + `","zone":"a","version":"v1","maxConcurrency":5,"state":"ready","warmupLeftMs":0,"seq":1,"born":1.5}`,
		`[1,2]`, `"text"`, `null`,
	} {
		tier.Store.Put(platform.ObjectKindServer, fmt.Sprint("i-forged-", n), json.RawMessage(spec))
	}
	time.Sleep(500 * time.Millisecond)
	for range 40 {
		_, reply := sendRequest(t, tier, 0, stager.SinglePath+"x")
		is.Equal(reply.Status, http.StatusOK)
	}
	is.Equal(len(misregistered.Stats().Arrivals), 0)
}

// TestTierStopsUsingDrainingSearchersInTime marks one searcher as draining and removes
// the registration of another. Neither may receive requests later than 3 s after that.
func TestTierStopsUsingDrainingSearchersInTime(t *testing.T) {
	is := is.New(t)
	tier := newTier(t, nil)
	searchers := backendsOf(tier, singles)[:2]
	drained := searchers[0].Server
	drained.Draining = true
	tier.Register(drained)
	tier.Store.Delete(platform.ObjectKindServer, searchers[1].Server.Instance)
	acknowledged := time.Now()
	for time.Since(acknowledged) < 4*time.Second {
		for daemon := range tier.Daemons {
			_, reply := sendRequest(t, tier, daemon, stager.SinglePath+"x")
			is.Equal(reply.Status, http.StatusOK)
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, b := range searchers {
		is.True(b.Stats().LastArrival.Before(acknowledged.Add(3 * time.Second)))
	}
}

// rerouteSingles returns a configuration that follows the stored one and sends single
// requests to the service of the first shard.
func rerouteSingles(tier *stager.Tier) planner.Configuration {
	next := tier.InitialConfiguration()
	next.Version = tier.StoredConfiguration.Version + 3
	for i, r := range next.Routes {
		if r.Name == "single" {
			next.Routes[i].Backends = []planner.Backend{{Service: stager.ShardServiceName(0), Weight: 1}}
		}
	}
	return next
}

// servedBy sends a single request to a daemon and returns the service that answered
// it, or an empty string if the request failed.
func servedBy(t *testing.T, tier *stager.Tier, daemon int) string {
	t.Helper()
	id, reply := sendRequest(t, tier, daemon, stager.SinglePath+"x")
	if reply.Status != http.StatusOK {
		return ""
	}
	return tier.ExecutedBy(id).Server.Service
}

// applyBound is the time within which every daemon must have applied a configuration.
const applyBound = 3 * time.Second

// awaitReroute waits until every daemon uses the configuration of rerouteSingles, for
// applyBound at most.
func awaitReroute(t *testing.T, tier *stager.Tier) {
	t.Helper()
	until := time.Now().Add(applyBound)
	for daemon := range tier.Daemons {
		for servedBy(t, tier, daemon) != stager.ShardServiceName(0) {
			if time.Now().After(until) {
				t.Fatalf("daemon %d has not applied the configuration after %v", daemon, applyBound)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// TestTierAppliesConfigurationsInTime changes a route during faults of the store and
// of the daemon that reads it. Every daemon must apply the change within 3 s and keep
// it.
func TestTierAppliesConfigurationsInTime(t *testing.T) {
	for name, fault := range map[string]func(*stager.Tier){
		"no fault": func(*stager.Tier) {},
		"killed": func(tier *stager.Tier) {
			killed := storeReader(tier)
			tier.Daemons[killed].Kill()
			tier.Daemons = slices.Delete(tier.Daemons, killed, killed+1)
		},
		"silent": func(tier *stager.Tier) {
			tier.Store.SetFaults(emulator.StoreFaults{Silent: true, Only: []string{tier.Daemons[storeReader(tier)].Settings.IP}})
		},
		"refused": func(tier *stager.Tier) {
			tier.Store.SetFaults(emulator.StoreFaults{Refuse: 503, Only: []string{tier.Daemons[storeReader(tier)].Settings.IP}})
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
			time.Sleep(1500 * time.Millisecond) // until the daemons have discovered each other
			fault(tier)
			tier.Apply(rerouteSingles(tier))
			awaitReroute(t, tier)
			for daemon := range tier.Daemons {
				if got := servedBy(t, tier, daemon); got != stager.ShardServiceName(0) {
					t.Fatalf("daemon %d returned to service %q of the old configuration", daemon, got)
				}
			}
		})
	}
}

// storeReader returns the number of the daemon that reads the store most often.
func storeReader(tier *stager.Tier) int {
	before := tier.Store.Calls()
	time.Sleep(1200 * time.Millisecond)
	after := tier.Store.Calls()
	reader, mostCalls := 0, -1
	for n, d := range tier.Daemons {
		if calls := after[d.Settings.IP] - before[d.Settings.IP]; calls > mostCalls {
			reader, mostCalls = n, calls
		}
	}
	return reader
}

// TestTierStoreCallsDoNotGrowWithDaemons guards against store calls that grow with the
// number of daemons in normal operation, and against a burst of calls when an outage
// of the store ends.
func TestTierStoreCallsDoNotGrowWithDaemons(t *testing.T) {
	is := is.New(t)
	tier := newTier(t, func(c *stager.TierConfig) { c.DaemonsPerDomain, c.Shards = 6, 1 })
	total := func() int {
		n := 0
		for _, calls := range tier.Store.Calls() {
			n += calls
		}
		return n
	}
	time.Sleep(4 * time.Second) // until the daemons have discovered each other
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

// TestTierKeepsServersThatLapsedInOutage removes the registrations of running
// searchers during an outage of the store, as their expiry would. Daemons must go on
// using the searchers until they have had time to register again, and drop the one
// that does not.
func TestTierKeepsServersThatLapsedInOutage(t *testing.T) {
	is := is.New(t)
	tier := newTier(t, nil)
	time.Sleep(1500 * time.Millisecond)
	tier.Store.SetFaults(emulator.StoreFaults{Refuse: 503})
	time.Sleep(4 * time.Second)
	for _, b := range tier.Backends {
		tier.Store.Delete(platform.ObjectKindServer, b.Server.Instance)
	}
	tier.Store.SetFaults(emulator.StoreFaults{})
	outageEnd := time.Now()
	for time.Since(outageEnd) < 3500*time.Millisecond {
		if time.Since(outageEnd) > 1900*time.Millisecond {
			for _, b := range tier.Backends[1:] {
				tier.Register(b.Server)
			}
		}
		_, reply := sendRequest(t, tier, int(requestNumber.Load()%3), stager.ScatterGatherPath+"x")
		is.Equal(reply.Status, http.StatusOK)
		time.Sleep(10 * time.Millisecond)
	}
	// The searcher that did not register again is no longer used.
	expired := tier.Backends[0]
	last := expired.Stats().LastArrival
	for range 20 {
		sendRequest(t, tier, 0, stager.ScatterGatherPath+"x")
	}
	is.Equal(expired.Stats().LastArrival, last)
}

// TestTierStopsWithoutLosingRequests stops a daemon under load. Callers go on sending
// to it for two seconds after it is not ready, as the balancer does. No request may
// fail, and the stop must end within the grace period of 6 s.
func TestTierStopsWithoutLosingRequests(t *testing.T) {
	is := is.New(t)
	tier := newTier(t, func(c *stager.TierConfig) { c.ServiceTime = 80 * time.Millisecond })
	stopped := tier.Daemons[1]
	var done atomic.Bool
	var wait sync.WaitGroup
	for range 6 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for !done.Load() {
				id := nextID()
				reply, err := tier.Send(t.Context(), stopped, http.MethodPost, stager.AtMostOncePath+"x", id, 2*time.Second, nil)
				if err != nil || reply.Status != http.StatusOK {
					t.Error("request failed during a planned stop: ", reply.Status, err)
					return
				}
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	stopRequested := time.Now()
	stopped.Stop()
	is.True(!stopped.IsReady())
	time.Sleep(2 * time.Second)
	done.Store(true)
	wait.Wait()
	is.NoErr(<-stopped.RunErr)
	is.True(time.Since(stopRequested) < 6*time.Second)
}

// TestTierReloadsChangedSettings changes the settings file with and without a reload
// request, and then makes it invalid.
func TestTierReloadsChangedSettings(t *testing.T) {
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
				t.Fatal("the changed settings were not loaded within 4 s")
			}
		}
	}
	write(data)
	d.Reload()
	awaitSlack(12)
	next.Bounds.RetryBudgetSlack = 34
	data, err = platform.EncodeSettings(next)
	is.NoErr(err)
	write(data) // without a reload request
	awaitSlack(34)
	write([]byte("node = ["))
	d.Reload()
	time.Sleep(100 * time.Millisecond)
	is.Equal(d.CurrentSettings().Bounds.RetryBudgetSlack, 34.0) // an unreadable file changes nothing
	_, reply := sendRequest(t, tier, 0, stager.ScatterGatherPath+"x")
	is.Equal(reply.Status, http.StatusOK)
}
