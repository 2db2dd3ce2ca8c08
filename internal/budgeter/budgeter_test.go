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
	start  = time.Unix(1000, 0)
	config = budgeter.Config{Ratio: 0.2, Slack: 126, Window: 10 * time.Second}
)

// tier simulates daemons with uneven traffic that all retry as often as the budget
// allows.
type tier struct {
	daemons       []*budgeter.Budgeter
	requests      []time.Time
	extraRequests []time.Time
}

func newTier(n int, now time.Time, firstStart bool) *tier {
	tr := &tier{}
	for range n {
		b := budgeter.New(config, now, firstStart)
		b.Configure(config, n)
		tr.daemons = append(tr.daemons, b)
	}
	return tr
}

// run simulates one second of traffic at the given rate. Each request is retried
// up to five times, as far as the budget allows.
func (tr *tier) run(rng *rand.Rand, from time.Time, perSecond int) {
	for n := range perSecond {
		at := from.Add(time.Duration(n) * time.Second / time.Duration(perSecond))
		// Hashing distributes callers unevenly: the first daemons get more requests.
		d := tr.daemons[min(rng.IntN(len(tr.daemons)), rng.IntN(len(tr.daemons)))]
		d.RecordRequest(at, "s")
		tr.requests = append(tr.requests, at)
		for range 5 {
			if d.Spend(at, "s") {
				tr.extraRequests = append(tr.extraRequests, at)
			}
		}
	}
}

// TestBudgetHoldsAcrossWindowChange changes the window of a spent budget. Extra
// requests that lie within the new window still count, and the budget is available
// again once they are older than that.
func TestBudgetHoldsAcrossWindowChange(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ before, after time.Duration }{{10 * time.Second, 30 * time.Second}, {10 * time.Second, 5 * time.Second}} {
		t.Run(fmt.Sprint(c.before, " to ", c.after), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			settings := budgeter.Config{Ratio: 0.2, Slack: 100, Window: c.before}
			b := budgeter.New(settings, start, true)
			now := start.Add(time.Minute)
			spent := 0
			for b.Spend(now, "s") {
				spent++
			}
			is.True(spent > 0)
			settings.Window = c.after
			b.Configure(settings, 1)
			is.True(!b.Spend(now.Add(c.after-c.after/20), "s")) // all of it is within the new window
			again := 0
			for b.Spend(now.Add(c.after+c.before/10+c.after/10), "s") {
				again++
			}
			is.Equal(again, spent)
		})
	}
}

func countWithin(times []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(from.Add(window)) {
			n++
		}
	}
	return n
}

// checkBudget fails the test if any window of the run exceeds the budget.
func (tr *tier) checkBudget(t *testing.T, until time.Duration) {
	t.Helper()
	for at := time.Duration(0); at < until; at += 100 * time.Millisecond {
		from := start.Add(at)
		requests := max(countWithin(tr.requests, from, config.Window), countWithin(tr.requests, from.Add(-config.Window), config.Window),
			countWithin(tr.requests, from.Add(-config.Window/2), config.Window))
		extraRequests := countWithin(tr.extraRequests, from, config.Window)
		if allowed := config.Ratio*float64(requests) + config.Slack; float64(extraRequests) > allowed {
			t.Fatalf("%v: %d extra requests in a window, %.0f allowed for %d requests", at, extraRequests, allowed, requests)
		}
	}
}

// TestBoundHoldsWhileAllDaemonsRetry guards against exceeding the budget when every
// daemon spends its whole part. Fault pattern: searchers of many shards are in gray
// failure while the traffic varies in waves.
func TestBoundHoldsWhileAllDaemonsRetry(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			tr := newTier(18, start, true)
			for second := range 40 {
				tr.run(rng, start.Add(time.Duration(second)*time.Second), 40+rng.IntN(300))
			}
			tr.checkBudget(t, 40*time.Second)
		})
	}
}

// TestBoundHoldsWhenAllAreKilledAfterSpending guards against spending the slack
// twice. Fault pattern: as above, and every process is killed midway; its successor
// has no record of what was spent.
func TestBoundHoldsWhenAllAreKilledAfterSpending(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 2))
			tr := newTier(18, start, true)
			for second := range 40 {
				now := start.Add(time.Duration(second) * time.Second)
				if second == 15 {
					next := newTier(18, now, false)
					tr.daemons = next.daemons
				}
				tr.run(rng, now, 40+rng.IntN(300))
			}
			tr.checkBudget(t, 40*time.Second)
		})
	}
}

// TestBoundHoldsWhileCallersMove guards against exceeding the budget when two
// failure domains count the same callers. Fault pattern: the callers of a failure
// domain switch to the daemons of another and back, each time after the daemons
// that they leave have spent their part of the budget.
func TestBoundHoldsWhileCallersMove(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 3))
			tr := newTier(15, start, true)
			all := tr.daemons
			for second := range 60 {
				if second%7 == 0 {
					part := 5 * rng.IntN(3)
					tr.daemons = all[part : part+5]
				}
				tr.run(rng, start.Add(time.Duration(second)*time.Second), 180)
			}
			tr.checkBudget(t, 60*time.Second)
		})
	}
}

func TestBudgetDependsOnRequestsAndDaemons(t *testing.T) {
	is := is.New(t)
	b := budgeter.New(config, start, true)
	alone := b.Remaining(start, "s")
	b.Configure(config, 18)
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
