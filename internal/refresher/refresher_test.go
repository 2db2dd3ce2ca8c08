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

// tier plays daemons that read a store and tell each other, in steps of time.
type tier struct {
	daemons []*refresher.Refresher
	// busyUntil is when a daemon's read ends; known is the version it knows.
	busyUntil []time.Time
	known     []int
	calls     int
	// up tells whether a daemon runs, reaches whether the store answers it, and
	// peers whether it hears the others.
	up, reaches, peers func(daemon int, at time.Duration) bool
}

const step = 10 * time.Millisecond

func always(int, time.Duration) bool { return true }

func newTier(n int, seed uint64) *tier {
	t := &tier{up: always, reaches: always, peers: always, busyUntil: make([]time.Time, n), known: make([]int, n)}
	for i := range n {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		r := refresher.New(refresher.Config{Bound: bound, Rand: rng}, start)
		r.SetRank(i)
		t.daemons = append(t.daemons, r)
	}
	return t
}

// run plays a span in which the store's version changes at the given moment,
// and returns when each daemon knew of it; zero means never.
func (t *tier) run(span, change time.Duration) []time.Duration {
	knewAt := make([]time.Duration, len(t.daemons))
	for at := time.Duration(0); at < span; at += step {
		now := start.Add(at)
		version := 1
		if at >= change {
			version = 2
		}
		for i, r := range t.daemons {
			if !t.up(i, at) || now.Before(t.busyUntil[i]) || !r.Due(now) {
				continue
			}
			t.calls++
			if !t.reaches(i, at) {
				r.RecordFailure(now)
				continue
			}
			// A read that waits ends with the change, or with its wait.
			if t.known[i] == version {
				t.busyUntil[i] = now.Add(min(r.WatchTimeout(), max(step, change-at)))
			}
			t.known[i] = version
			r.RecordRead(now)
			t.tell(i, now, at)
		}
		for i := range t.daemons {
			if t.known[i] == 2 && knewAt[i] == 0 {
				knewAt[i] = at - change
			}
		}
	}
	return knewAt
}

func (t *tier) tell(from int, now time.Time, at time.Duration) {
	if !t.peers(from, at) {
		return
	}
	for i, r := range t.daemons {
		if i != from && t.up(i, at) && t.peers(i, at) && t.known[i] <= t.known[from] {
			t.known[i] = t.known[from]
			r.RecordPeerConfirmation(now)
		}
	}
}

// TestAChangeIsKnownWithinTheBound names the patterns: the reader dies, freezes
// or is refused by the store just before a change; the first three do; a third
// of the daemons is refused; a daemon hears no other.
func TestAChangeIsKnownWithinTheBound(t *testing.T) {
	const change = 5 * time.Second
	first := func(n int) func(int, time.Duration) bool {
		return func(d int, at time.Duration) bool { return d >= n || at < change-step }
	}
	for name, fault := range map[string]func(*tier){
		"calm":                func(*tier) {},
		"reader gone":         func(t *tier) { t.up = first(1) },
		"reader refused":      func(t *tier) { t.reaches = first(1) },
		"first three gone":    func(t *tier) { t.up = first(3) },
		"first three refused": func(t *tier) { t.reaches = first(3) },
		"a third is refused":  func(t *tier) { t.reaches = func(d int, at time.Duration) bool { return d%3 != 0 || at < change-step } },
		"all alone":           func(t *tier) { t.peers = func(int, time.Duration) bool { return false } },
	} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				tier := newTier(18, seed)
				fault(tier)
				for i, knew := range tier.run(10*time.Second, change) {
					if tier.up(i, 10*time.Second) && (tier.reaches(i, 10*time.Second) || tier.peers(i, 10*time.Second)) && (knew == 0 && tier.known[i] != 2 || knew > bound-500*time.Millisecond) {
						t.Errorf("daemon %d knew of the change after %v", i, knew)
					}
				}
			})
		}
	}
}

// TestCallsDoNotGrowWithTheTier names the patterns: calm, and an outage's end.
func TestCallsDoNotGrowWithTheTier(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{18, 144, 517} {
		calm := newTier(n, 1)
		calm.run(20*time.Second, time.Hour)
		is.True(calm.calls <= 40) // two a second, whatever the size
		outage := newTier(n, 1)
		outage.reaches = func(_ int, at time.Duration) bool { return at < 5*time.Second || at > 15*time.Second }
		outage.run(15*time.Second, time.Hour)
		during := outage.calls
		is.True(during <= n*6+60)
		outage.calls = 0
		after := newTier(n, 1)
		after.reaches = outage.reaches
		after.run(17*time.Second, time.Hour)
		is.True(after.calls-during <= n) // nobody comes twice
	}
}

func TestLapsesAreHeldOnlyAfterAnOutage(t *testing.T) {
	is := is.New(t)
	var l refresher.ExpiredEntries[string]
	is.True(!l.RecordConfirmation(bound, time.Time{}, start))
	is.True(!l.RecordConfirmation(bound, start, start.Add(time.Second)))
	l.RecordRemoval(start.Add(time.Second), "a", "x")
	is.Equal(len(l.Retained(start.Add(time.Second))), 0)
	back := start.Add(10 * time.Second)
	is.True(l.RecordConfirmation(bound, start.Add(time.Second), back))
	l.RecordRemoval(back, "a", "x")
	l.RecordRemoval(back.Add(time.Second), "b", "y")
	is.Equal(len(l.Retained(back.Add(2*time.Second))), 2)
	l.RecordReregistration("a")
	is.Equal(len(l.Retained(back.Add(2*time.Second))), 1)
	is.True(l.RetainedUntil().After(back.Add(2 * time.Second)))
	is.Equal(len(l.Retained(back.Add(3*time.Second))), 0) // what is missing now is gone
	l.RecordRemoval(back.Add(3*time.Second), "c", "z")
	is.Equal(len(l.Retained(back.Add(3*time.Second))), 0)
}
