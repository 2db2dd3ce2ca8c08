package refresher_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/refresher"
)

const bound = 3 * time.Second

var start = time.Unix(1000, 0)

// tier simulates daemons that read a store and announce their reads to each other,
// in discrete time steps.
type tier struct {
	daemons []*refresher.Refresher
	// busyUntil is when each daemon's read ends; versions is the version each one
	// has.
	busyUntil []time.Time
	versions  []int
	calls     int
	// isRunning reports whether a daemon runs, storeReachable whether the store
	// responds to it, and peersReachable whether it exchanges packets with the others.
	isRunning, storeReachable, peersReachable func(daemon int, at time.Duration) bool
}

const step = 10 * time.Millisecond

func always(int, time.Duration) bool { return true }

func newTier(n int, seed uint64) *tier {
	t := &tier{isRunning: always, storeReachable: always, peersReachable: always, busyUntil: make([]time.Time, n), versions: make([]int, n)}
	for i := range n {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		r := refresher.New(refresher.Config{Bound: bound, Rand: rng}, start)
		r.SetRank(i)
		t.daemons = append(t.daemons, r)
	}
	return t
}

// run simulates a span in which the store's version changes at the given time, and
// returns how long after it each daemon had the change; zero means never.
func (t *tier) run(span, change time.Duration) []time.Duration {
	delays := make([]time.Duration, len(t.daemons))
	for at := time.Duration(0); at < span; at += step {
		now := start.Add(at)
		version := 1
		if at >= change {
			version = 2
		}
		for i, r := range t.daemons {
			if !t.isRunning(i, at) || now.Before(t.busyUntil[i]) || !r.Due(now) {
				continue
			}
			t.calls++
			if !t.storeReachable(i, at) {
				r.RecordFailure(now)
				continue
			}
			// A watch returns with the change or when its timeout is over.
			if t.versions[i] == version {
				t.busyUntil[i] = now.Add(min(r.WatchTimeout(), max(step, change-at)))
			}
			t.versions[i] = version
			r.RecordRead(now)
			t.announce(i, now, at)
		}
		for i := range t.daemons {
			if t.versions[i] == 2 && delays[i] == 0 {
				delays[i] = at - change
			}
		}
	}
	return delays
}

func (t *tier) announce(from int, now time.Time, at time.Duration) {
	if !t.peersReachable(from, at) {
		return
	}
	for i, r := range t.daemons {
		if i != from && t.isRunning(i, at) && t.peersReachable(i, at) && t.versions[i] <= t.versions[from] {
			t.versions[i] = t.versions[from]
			r.RecordPeerConfirmation(now)
		}
	}
}

// TestChangeReachesAllDaemonsWithinBound guards against changes that arrive late
// because of a fault just before them: the reader or the first three ranks die,
// freeze or are refused by the store, a third of the daemons is refused, or no
// daemon reaches any other.
func TestChangeReachesAllDaemonsWithinBound(t *testing.T) {
	const change = 5 * time.Second
	allButFirst := func(n int) func(int, time.Duration) bool {
		return func(d int, at time.Duration) bool { return d >= n || at < change-step }
	}
	for name, fault := range map[string]func(*tier){
		"no fault":            func(*tier) {},
		"reader gone":         func(t *tier) { t.isRunning = allButFirst(1) },
		"reader refused":      func(t *tier) { t.storeReachable = allButFirst(1) },
		"first three gone":    func(t *tier) { t.isRunning = allButFirst(3) },
		"first three refused": func(t *tier) { t.storeReachable = allButFirst(3) },
		"a third is refused": func(t *tier) {
			t.storeReachable = func(d int, at time.Duration) bool { return d%3 != 0 || at < change-step }
		},
		"peers unreachable": func(t *tier) { t.peersReachable = func(int, time.Duration) bool { return false } },
	} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				tier := newTier(18, seed)
				fault(tier)
				for i, delay := range tier.run(10*time.Second, change) {
					if tier.isRunning(i, 10*time.Second) && (tier.storeReachable(i, 10*time.Second) || tier.peersReachable(i, 10*time.Second)) && (delay == 0 && tier.versions[i] != 2 || delay > bound-500*time.Millisecond) {
						t.Errorf("daemon %d received the change after %v", i, delay)
					}
				}
			})
		}
	}
}

// TestStoreCallsDoNotGrowWithTierSize guards against store calls that grow with the
// tier: in normal operation, during an outage, and when an outage ends.
func TestStoreCallsDoNotGrowWithTierSize(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{18, 144, 517} {
		normal := newTier(n, 1)
		normal.run(20*time.Second, time.Hour)
		is.True(normal.calls <= 40) // two per second, for any size
		outage := newTier(n, 1)
		outage.storeReachable = func(_ int, at time.Duration) bool { return at < 5*time.Second || at > 15*time.Second }
		outage.run(15*time.Second, time.Hour)
		during := outage.calls
		is.True(during <= n*6+60)
		outage.calls = 0
		after := newTier(n, 1)
		after.storeReachable = outage.storeReachable
		after.run(17*time.Second, time.Hour)
		is.True(after.calls-during <= n) // on average at most one call per daemon
	}
}

func TestEntriesAreRetainedOnlyAfterOutage(t *testing.T) {
	is := is.New(t)
	var expired refresher.ExpiredEntries[string]
	is.True(!expired.RecordConfirmation(bound, time.Time{}, start))
	is.True(!expired.RecordConfirmation(bound, start, start.Add(time.Second)))
	expired.RecordRemoval(start.Add(time.Second), "a", "x")
	is.Equal(len(expired.Retained(start.Add(time.Second))), 0)
	outageEnd := start.Add(10 * time.Second)
	is.True(expired.RecordConfirmation(bound, start.Add(time.Second), outageEnd))
	expired.RecordRemoval(outageEnd, "a", "x")
	expired.RecordRemoval(outageEnd.Add(time.Second), "b", "y")
	is.Equal(len(expired.Retained(outageEnd.Add(2*time.Second))), 2)
	expired.RecordReregistration("a")
	is.Equal(len(expired.Retained(outageEnd.Add(2*time.Second))), 1)
	is.True(expired.RetainedUntil().After(outageEnd.Add(2 * time.Second)))
	is.Equal(len(expired.Retained(outageEnd.Add(3*time.Second))), 0) // no longer retained
	expired.RecordRemoval(outageEnd.Add(3*time.Second), "c", "z")
	is.Equal(len(expired.Retained(outageEnd.Add(3*time.Second))), 0)
}
