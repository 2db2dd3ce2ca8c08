package gatherer_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fuchsiastile/fuchsiastile/internal/gatherer"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// init fixes the random seed to make runs reproducible.
func init() { _ = flag.Set("rapid.seed", "1") }

var start = time.Unix(1000, 0)

func newPlan(snapshot string, shards int) planner.Plan {
	p := planner.Plan{Snapshot: snapshot}
	for n := range shards {
		shard := planner.Shard{Name: fmt.Sprint("s", n)}
		for r := range 3 {
			shard.Candidates = append(shard.Candidates, planner.Searcher{Address: fmt.Sprint(n, "-", r)})
		}
		p.Shards = append(p.Shards, shard)
	}
	return p
}

func newConfig(p planner.Plan) gatherer.Config {
	attempts := uint64(0)
	return gatherer.Config{
		RequestID:  "r",
		Plan:       p,
		Class:      declarer.Class{Completion: declarer.CompletionOnAllShards},
		Deadline:   start.Add(time.Second),
		HedgeDelay: 100 * time.Millisecond,
		NextAttempt: func() uint64 {
			attempts++
			return attempts
		},
		Pick: func(candidates []planner.Searcher, excluded []string) (string, bool) {
			for _, c := range candidates {
				if !slices.Contains(excluded, c.Address) {
					return c.Address, true
				}
			}
			return "", false
		},
		SpendBudget: func(string, gatherer.ExtraKind) bool { return true },
		Replan:      func() (planner.Plan, bool) { return p, true },
	}
}

func answeredReply(s gatherer.Send) gatherer.Reply {
	return gatherer.Reply{Attempt: s.Attempt, Outcome: gatherer.Answered, RequestID: "r", Snapshot: s.Snapshot, Shard: s.Shard}
}

func TestQueryHedgesOnceAndCancelsSlowerAttempt(t *testing.T) {
	is := is.New(t)
	q := gatherer.New(newConfig(newPlan("v1", 2)))
	first := q.Start(start)
	is.Equal(len(first.Sends), 2)
	q.Deliver(start, answeredReply(first.Sends[0]))
	is.Equal(q.NextWake(), start.Add(100*time.Millisecond))
	hedge := q.Wake(q.NextWake())
	is.Equal(len(hedge.Sends), 1)
	is.True(hedge.Sends[0].Extra)
	is.True(hedge.Sends[0].Searcher != first.Sends[1].Searcher)
	end := q.Deliver(start, answeredReply(hedge.Sends[0]))
	is.True(end.Done)
	is.Equal(end.Cancels, []uint64{first.Sends[1].Attempt})
	late := q.Deliver(start, answeredReply(first.Sends[1])) // arrives despite the cancellation
	is.Equal(late, gatherer.Actions{})
	is.Equal(q.Answer().Answered, 2)
}

func TestQueryReturnsPartialAnswerAtDeadline(t *testing.T) {
	is := is.New(t)
	c := newConfig(newPlan("v1", 3))
	c.HedgeDelay = 0
	q := gatherer.New(c)
	first := q.Start(start)
	q.Deliver(start, answeredReply(first.Sends[1]))
	end := q.Wake(q.NextWake())
	is.True(end.Done)
	is.Equal(len(end.Cancels), 2)
	a := q.Answer()
	is.Equal(a.Answered, 1)
	is.Equal(a.Missing, map[string]gatherer.Reason{"s0": gatherer.ReasonDeadlineExceeded, "s2": gatherer.ReasonDeadlineExceeded})
	is.True(a.MayHaveRun)
}

// TestExpiredQueryAnswersWithWhatItHas ends a query long before its deadline.
func TestExpiredQueryAnswersWithWhatItHas(t *testing.T) {
	is := is.New(t)
	q := gatherer.New(newConfig(newPlan("v1", 3)))
	first := q.Start(start)
	q.Deliver(start, answeredReply(first.Sends[1]))
	end := q.Expire(start)
	is.True(end.Done)
	is.Equal(len(end.Sends), 0)
	is.Equal(len(end.Cancels), 2)
	is.Equal(q.Answer().Answered, 1)
	is.True(q.Expire(start).Done)
}

func TestQueryEndsAtTargetCoverage(t *testing.T) {
	is := is.New(t)
	c := newConfig(newPlan("v1", 4))
	c.Class = declarer.Class{Completion: declarer.CompletionOnCoverage, TargetCoverage: 0.5}
	q := gatherer.New(c)
	first := q.Start(start)
	is.True(!q.Deliver(start, answeredReply(first.Sends[0])).Done)
	is.True(q.Deliver(start, answeredReply(first.Sends[1])).Done)
}

// TestQueryInvariants delivers replies in random order, duplicated, late, to the
// wrong request and from other snapshots, while the index is repartitioned.
func TestQueryInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := newPlan("v1", rapid.IntRange(1, 4).Draw(t, "shards"))
		c := newConfig(current)
		c.Replan = func() (planner.Plan, bool) { return current, true }
		spent := 0
		c.SpendBudget = func(string, gatherer.ExtraKind) bool {
			spent++
			return spent < 6
		}
		q := gatherer.New(c)
		now := start
		sends := map[uint64]gatherer.Send{}
		done := false
		record := func(a gatherer.Actions) {
			if done && (len(a.Sends)+len(a.Cancels) > 0) {
				t.Fatalf("query returned actions after it was done")
			}
			for _, s := range a.Sends {
				if _, duplicate := sends[s.Attempt]; duplicate {
					t.Fatalf("attempt ID %d was used twice", s.Attempt)
				}
				sends[s.Attempt] = s
			}
			done = done || a.Done
		}
		record(q.Start(now))
		t.Repeat(map[string]func(*rapid.T){
			"reply": func(t *rapid.T) {
				s := sends[uint64(rapid.IntRange(1, len(sends)).Draw(t, "attempt"))]
				r := answeredReply(s)
				r.Hits = []byte(s.Snapshot + "/" + s.Shard)
				switch rapid.IntRange(0, 5).Draw(t, "kind") {
				case 1:
					r.Outcome, r.Reason = gatherer.NotRun, gatherer.ReasonSnapshotGone
				case 2:
					r.Outcome, r.Reason = gatherer.Unknown, gatherer.ReasonLinkLost
				case 3:
					r.Snapshot, r.Hits = "v0", []byte("wrong")
				case 4:
					r.RequestID, r.Hits = "another", []byte("wrong")
				}
				record(q.Deliver(now, r))
			},
			"repartition": func(t *rapid.T) {
				current = newPlan(current.Snapshot+"'", rapid.IntRange(1, 4).Draw(t, "shards"))
			},
			"wake": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "millis")) * time.Millisecond)
				record(q.Wake(now))
			},
			"": func(t *rapid.T) {
				a := q.Answer()
				if a.Answered != len(a.ShardHits) || a.Answered+len(a.Missing) != a.Shards {
					t.Fatalf("inconsistent coverage: %+v", a)
				}
				seen := map[string]bool{}
				for _, part := range a.ShardHits {
					if seen[string(part)] || string(part)[:len(a.Snapshot)+1] != a.Snapshot+"/" {
						t.Fatalf("duplicate part or part of another snapshot: %q in an answer of %s", part, a.Snapshot)
					}
					seen[string(part)] = true
				}
				if !now.Before(c.Deadline) && !done {
					record(q.Wake(now))
					if !done {
						t.Fatalf("query is not done at its deadline")
					}
				}
			},
		})
	})
}
