package stager_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// lostRevisions is how many revisions a restored store lacks, at least.
const lostRevisions = 30

// writeRevisions writes invalid registrations, which change no fleet, so that the
// store's revision rises.
func writeRevisions(tier *stager.Tier, n int) {
	for i := range n {
		tier.Store.Put(platform.ObjectKindServer, "i-noise", []byte(fmt.Sprint(i)))
	}
}

// restore makes the store unavailable for a moment and brings it back from a copy.
func restore(tier *stager.Tier, c emulator.StoreCopy, away time.Duration) {
	tier.Store.SetFaults(emulator.StoreFaults{Refuse: http.StatusServiceUnavailable})
	time.Sleep(away)
	tier.Store.Restore(c)
	tier.Store.SetFaults(emulator.StoreFaults{})
}

// TestTierAppliesConfigurationsOfRestoredStore guards against changes that daemons
// ignore because the revisions of a restored store are lower than those before.
func TestTierAppliesConfigurationsOfRestoredStore(t *testing.T) {
	t.Parallel()
	for name, away := range map[string]time.Duration{"after a moment": 100 * time.Millisecond, "after an outage": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tier := newTier(t, nil)
			older := tier.Store.Copy()
			writeRevisions(tier, lostRevisions)
			lost := tier.InitialConfiguration()
			lost.Version++
			tier.Apply(lost)
			time.Sleep(time.Second)
			restore(tier, older, away)
			time.Sleep(300 * time.Millisecond)
			tier.Apply(rerouteSingles(tier))
			awaitReroute(t, tier)
		})
	}
}

// TestRestoredStoreRevertsNoConfiguration guards against daemons that use an older
// configuration again because the store has lost the newest: those that run, those that
// have just started, seeds among them, and those that were cut off from the others while
// the store was restored.
func TestRestoredStoreRevertsNoConfiguration(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tier := newTier(t, func(c *stager.TierConfig) { c.DaemonsPerDomain = 2 })
	older := tier.Store.Copy()
	tier.Apply(rerouteSingles(tier))
	newest := tier.StoredConfiguration
	awaitReroute(t, tier)
	writeRevisions(tier, lostRevisions)
	time.Sleep(time.Second)
	restore(tier, older, 500*time.Millisecond)
	for until := time.Now().Add(time.Second); time.Now().Before(until); {
		for daemon := range tier.Daemons {
			is.Equal(servedBy(t, tier, daemon), stager.ShardServiceName(0))
		}
	}
	for _, restarted := range []int{0, 1, 2, 4} { // all seeds among them
		tier.Daemons[restarted].Kill()
		is.NoErr(<-tier.Daemons[restarted].RunErr)
		_, err := tier.StartDaemon(restarted, false)
		is.NoErr(err)
		eventually(t, "the daemon is ready", tier.Daemons[restarted].IsReady)
		for range 20 {
			is.Equal(servedBy(t, tier, restarted), stager.ShardServiceName(0))
		}
	}
	// The operator writes the lost change again, and the next one.
	tier.Apply(newest)
	next := tier.InitialConfiguration()
	next.Version = newest.Version + 1
	tier.Apply(next)
	eventually(t, "every daemon applies the next change", func() bool {
		return !slices.ContainsFunc(tier.Daemons, func(d *stager.TierDaemon) bool {
			return servedBy(t, tier, slices.Index(tier.Daemons, d)) != singles
		})
	})
}

// loseDepartures lets one searcher drain and another leave, and restores the store from a
// copy in which they had not. It returns both and the time of the restore.
func loseDepartures(tier *stager.Tier) (searchers []*emulator.Backend, restored time.Time) {
	older := tier.Store.Copy()
	searchers = backendsOf(tier, singles)[:2]
	registerDraining(tier, searchers[0])
	tier.Store.Delete(platform.ObjectKindServer, searchers[1].Server.Instance)
	writeRevisions(tier, lostRevisions)
	time.Sleep(2 * time.Second)
	restored = time.Now()
	restore(tier, older, 100*time.Millisecond)
	return searchers, restored
}

func registerDraining(tier *stager.Tier, b *emulator.Backend) {
	drained := b.Server
	drained.Draining = true
	tier.Register(drained)
}

// lastUse returns when the last request reached one of the searchers.
func lastUse(searchers []*emulator.Backend) time.Time {
	return slices.MaxFunc(searchers, func(a, b *emulator.Backend) int {
		return a.Stats().LastArrival.Compare(b.Stats().LastArrival)
	}).Stats().LastArrival
}

// TestRestoredStoreBringsBackNoSearchers guards against searchers that are used again
// because the store has lost that they drain or have left.
func TestRestoredStoreBringsBackNoSearchers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tier := newTier(t, nil)
	searchers, restored := loseDepartures(tier)
	// Within two seconds the draining one says so again; within three heartbeats the
	// entry of the other expires.
	for until := time.Now().Add(1500 * time.Millisecond); time.Now().Before(until); {
		for daemon := range tier.Daemons {
			_, reply := sendRequest(t, tier, daemon, stager.SinglePath+"x")
			is.Equal(reply.Status, http.StatusOK)
		}
	}
	registerDraining(tier, searchers[0])
	time.Sleep(2 * time.Second)
	for range 20 {
		sendRequest(t, tier, 0, stager.SinglePath+"x")
	}
	is.True(lastUse(searchers).Before(restored))
}

// deafConn loses the packets that arrive before a point in time.
type deafConn struct {
	net.PacketConn
	until time.Time
}

func (c deafConn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.PacketConn.ReadFrom(b)
		if err != nil || !time.Now().Before(c.until) {
			return n, from, err
		}
	}
}

// TestStartingSeedUsesNoDepartedSearchers guards against a seed that starts after the store
// was restored, reads its list before it hears from the other daemons, and uses searchers
// of which the store has lost that they drain or have left.
func TestStartingSeedUsesNoDepartedSearchers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tier := newTier(t, nil)
	searchers, restored := loseDepartures(tier)
	time.Sleep(500 * time.Millisecond)
	tier.Config.Network = func(n dialer.Network) dialer.Network {
		return dialer.Network{Dial: n.Dial, ListenPacket: func(network, address string) (net.PacketConn, error) {
			c, err := n.ListenPacket(network, address)
			return deafConn{PacketConn: c, until: time.Now().Add(time.Second)}, err
		}}
	}
	for seed := range tier.Daemons {
		tier.Daemons[seed].Kill()
		is.NoErr(<-tier.Daemons[seed].RunErr)
		_, err := tier.StartDaemon(seed, false)
		is.NoErr(err)
		eventually(t, "the seed is ready", tier.Daemons[seed].IsReady)
		for range 30 {
			_, reply := sendRequest(t, tier, seed, stager.SinglePath+"x")
			is.Equal(reply.Status, http.StatusOK)
		}
	}
	is.True(lastUse(searchers).Before(restored))
}

// TestRestoredStoreKeepsNewSearchers guards against searchers that are dropped because
// the store has lost their registrations, although they register again within two
// seconds.
func TestRestoredStoreKeepsNewSearchers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tier := newTier(t, func(c *stager.TierConfig) { c.ColdStart = true })
	registered := backendsOf(tier, singles)
	tier.Store.Put(platform.ObjectKindServer, "i-noise", []byte("0"))
	older := tier.Store.Copy()
	tier.Publish()
	eventually(t, "all daemons are ready", func() bool {
		return !slices.ContainsFunc(tier.Daemons, func(d *stager.TierDaemon) bool { return !d.IsReady() })
	})
	time.Sleep(time.Second)
	restore(tier, older, 100*time.Millisecond)
	for until := time.Now().Add(1500 * time.Millisecond); time.Now().Before(until); {
		for daemon := range tier.Daemons {
			_, reply := sendRequest(t, tier, daemon, stager.SinglePath+"x")
			is.Equal(reply.Status, http.StatusOK)
			_, reply = sendRequest(t, tier, daemon, stager.ScatterGatherPath+"x")
			is.Equal(reply.Status, http.StatusOK)
		}
	}
	again := slices.DeleteFunc(slices.Clone(tier.Backends), func(b *emulator.Backend) bool { return b == registered[0] })
	for _, b := range again {
		tier.Register(b.Server)
	}
	tier.Apply(tier.InitialConfiguration())
	time.Sleep(3 * time.Second)
	before := registered[0].Stats().LastArrival
	for range 30 {
		_, reply := sendRequest(t, tier, 0, stager.SinglePath+"x")
		is.Equal(reply.Status, http.StatusOK)
	}
	is.Equal(registered[0].Stats().LastArrival, before) // it did not register again
}

// TestStartingDaemonAsksPeersBeforeTheStore guards against a daemon that serves an older
// configuration in its first moments because it read a restored store before it asked
// its peers.
func TestStartingDaemonAsksPeersBeforeTheStore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tier := newTier(t, nil)
	older := tier.Store.Copy()
	tier.Apply(rerouteSingles(tier))
	awaitReroute(t, tier)
	tier.Store.Restore(older)
	for daemon := range tier.Daemons {
		tier.Daemons[daemon].Kill()
		is.NoErr(<-tier.Daemons[daemon].RunErr)
		_, err := tier.StartDaemon(daemon, false)
		is.NoErr(err)
		served := 0
		for until := time.Now().Add(500 * time.Millisecond); time.Now().Before(until); {
			if service := servedBy(t, tier, daemon); service != "" {
				is.Equal(service, stager.ShardServiceName(0))
				served++
			}
		}
		is.True(served > 0)
	}
}
