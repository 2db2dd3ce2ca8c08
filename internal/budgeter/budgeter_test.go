package budgeter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/budgeter"
)

var (
	start = time.Unix(1000, 0)
	bound = budgeter.Config{Ratio: 0.2, Slack: 126, Window: 10 * time.Second}
)

// load is a tier of daemons with uneven traffic that all want to repeat as much
// as they may.
type load struct {
	daemons  []*budgeter.Budgeter
	requests []time.Time
	extras   []time.Time
}

func newLoad(n int, now time.Time, fresh bool) *load {
	l := &load{}
	for range n {
		b := budgeter.New(bound, now, fresh)
		b.Configure(bound, n)
		l.daemons = append(l.daemons, b)
	}
	return l
}

// run plays a second at a rate of requests; each is repeated as often as allowed.
func (l *load) run(rng *rand.Rand, from time.Time, perSecond int) {
	for n := range perSecond {
		at := from.Add(time.Duration(n) * time.Second / time.Duration(perSecond))
		// Hashing callers to daemons is uneven: the first get more.
		d := l.daemons[min(rng.IntN(len(l.daemons)), rng.IntN(len(l.daemons)))]
		d.RecordRequest(at, "s")
		l.requests = append(l.requests, at)
		for range 5 {
			if d.Spend(at, "s") {
				l.extras = append(l.extras, at)
			}
		}
	}
}

func within(times []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(from.Add(window)) {
			n++
		}
	}
	return n
}

// check requires the bound in every window of the run.
func (l *load) check(t *testing.T, until time.Duration) {
	t.Helper()
	for at := time.Duration(0); at < until; at += 100 * time.Millisecond {
		from := start.Add(at)
		requests := max(within(l.requests, from, bound.Window), within(l.requests, from.Add(-bound.Window), bound.Window),
			within(l.requests, from.Add(-bound.Window/2), bound.Window))
		extras := within(l.extras, from, bound.Window)
		if allowed := bound.Ratio*float64(requests) + bound.Slack; float64(extras) > allowed {
			t.Fatalf("%v: %d arrivals added in a window, %.0f allowed for %d requests", at, extras, allowed, requests)
		}
	}
}

// TestBoundHoldsWhileEverybodyWantsToRepeat names the pattern: grey searchers of
// many shards under waves of traffic, so that each daemon spends all it may.
func TestBoundHoldsWhileEverybodyWantsToRepeat(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			l := newLoad(18, start, true)
			for second := range 40 {
				l.run(rng, start.Add(time.Duration(second)*time.Second), 40+rng.IntN(300))
			}
			l.check(t, 40*time.Second)
		})
	}
}

// TestBoundHoldsWhenAllAreKilledAfterSpending names the pattern: every process is
// killed in the middle of the same, and its successor knows nothing of what was spent.
func TestBoundHoldsWhenAllAreKilledAfterSpending(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 2))
			l := newLoad(18, start, true)
			for second := range 40 {
				now := start.Add(time.Duration(second) * time.Second)
				if second == 15 {
					next := newLoad(18, now, false)
					l.daemons = next.daemons
				}
				l.run(rng, now, 40+rng.IntN(300))
			}
			l.check(t, 40*time.Second)
		})
	}
}

// TestBoundHoldsWhileCallersMove names the pattern: the callers of a failure
// domain go over to the daemons of another and back, each time when the ones
// that they leave have used what they may.
func TestBoundHoldsWhileCallersMove(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 3))
			l := newLoad(15, start, true)
			all := l.daemons
			for second := range 60 {
				if second%7 == 0 {
					part := 5 * rng.IntN(3)
					l.daemons = all[part : part+5]
				}
				l.run(rng, start.Add(time.Duration(second)*time.Second), 180)
			}
			l.check(t, 60*time.Second)
		})
	}
}

func TestBudgetGrowsWithRequestsAndSharers(t *testing.T) {
	is := is.New(t)
	b := budgeter.New(bound, start, true)
	alone := b.Remaining(start, "s")
	b.Configure(bound, 18)
	is.True(b.Remaining(start, "s") < alone/17)
	before := b.Remaining(start, "s")
	for range 100 {
		b.RecordRequest(start, "s")
	}
	is.True(b.Remaining(start, "s") > before+10)
	is.Equal(b.Remaining(start, "other"), before)
	b.Forget(func(string) bool { return false })
	is.Equal(b.Remaining(start, "s"), before)
}
