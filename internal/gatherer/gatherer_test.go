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

// init fixes the seed, so that every run takes the same steps.
func init() { _ = flag.Set("rapid.seed", "1") }

var start = time.Unix(1000, 0)

func plan(snapshot string, shards int) planner.Plan {
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

func config(p planner.Plan) gatherer.Config {
	attempts := uint64(0)
	return gatherer.Config{
		RequestID:  "r",
		Plan:       p,
		Class:      declarer.Class{Answer: declarer.AnswerLateFull},
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
		TakeBudget: func(string, gatherer.ExtraKind) bool { return true },
		Replan:     func() (planner.Plan, bool) { return p, true },
	}
}

func answer(s gatherer.Send) gatherer.Reply {
	return gatherer.Reply{Attempt: s.Attempt, Outcome: gatherer.Answered, RequestID: "r", Snapshot: s.Snapshot, Shard: s.Shard}
}

func TestQueryHedgesOnceAndCancelsTheLoser(t *testing.T) {
	is := is.New(t)
	q := gatherer.New(config(plan("v1", 2)))
	first := q.Start(start)
	is.Equal(len(first.Sends), 2)
	q.Deliver(start, answer(first.Sends[0]))
	is.Equal(q.NextWake(), start.Add(100*time.Millisecond))
	hedge := q.Wake(q.NextWake())
	is.Equal(len(hedge.Sends), 1)
	is.True(hedge.Sends[0].Extra)
	is.True(hedge.Sends[0].Searcher != first.Sends[1].Searcher)
	end := q.Deliver(start, answer(hedge.Sends[0]))
	is.True(end.Done)
	is.Equal(end.Cancels, []uint64{first.Sends[1].Attempt})
	late := q.Deliver(start, answer(first.Sends[1])) // it came all the same
	is.Equal(late, gatherer.Actions{})
	is.Equal(q.Answer().Answered, 2)
}

func TestQueryEndsAtItsDeadlineWithWhatItHas(t *testing.T) {
	is := is.New(t)
	c := config(plan("v1", 3))
	c.HedgeDelay = 0
	q := gatherer.New(c)
	first := q.Start(start)
	q.Deliver(start, answer(first.Sends[1]))
	end := q.Wake(q.NextWake())
	is.True(end.Done)
	is.Equal(len(end.Cancels), 2)
	a := q.Answer()
	is.Equal(a.Answered, 1)
	is.Equal(a.Missing, map[string]gatherer.Reason{"s0": gatherer.ReasonDeadlineExceeded, "s2": gatherer.ReasonDeadlineExceeded})
	is.True(a.MayHaveRun)
}

func TestQuickThinAnswersAtTheWantedCoverage(t *testing.T) {
	is := is.New(t)
	c := config(plan("v1", 4))
	c.Class = declarer.Class{Answer: declarer.AnswerQuickThin, WantedCoverage: 0.5}
	q := gatherer.New(c)
	first := q.Start(start)
	is.True(!q.Deliver(start, answer(first.Sends[0])).Done)
	is.True(q.Deliver(start, answer(first.Sends[1])).Done)
}

// TestQueryInvariants gives a query replies in any order, doubled, late, crossed
// and of other snapshots, while the index is repartitioned.
func TestQueryInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := plan("v1", rapid.IntRange(1, 4).Draw(t, "shards"))
		c := config(current)
		c.Replan = func() (planner.Plan, bool) { return current, true }
		spent := 0
		c.TakeBudget = func(string, gatherer.ExtraKind) bool {
			spent++
			return spent < 6
		}
		q := gatherer.New(c)
		now := start
		sends := map[uint64]gatherer.Send{}
		done := false
		take := func(a gatherer.Actions) {
			if done && (len(a.Sends)+len(a.Cancels) > 0) {
				t.Fatalf("actions after the end")
			}
			for _, s := range a.Sends {
				if _, twice := sends[s.Attempt]; twice {
					t.Fatalf("attempt %d was used twice", s.Attempt)
				}
				sends[s.Attempt] = s
			}
			done = done || a.Done
		}
		take(q.Start(now))
		t.Repeat(map[string]func(*rapid.T){
			"reply": func(t *rapid.T) {
				s := sends[uint64(rapid.IntRange(1, len(sends)).Draw(t, "attempt"))]
				r := answer(s)
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
				take(q.Deliver(now, r))
			},
			"repartition": func(t *rapid.T) {
				current = plan(current.Snapshot+"'", rapid.IntRange(1, 4).Draw(t, "shards"))
			},
			"wake": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "millis")) * time.Millisecond)
				take(q.Wake(now))
			},
			"": func(t *rapid.T) {
				a := q.Answer()
				if a.Answered != len(a.ShardHits) || a.Answered+len(a.Missing) != a.Shards {
					t.Fatalf("coverage does not add up: %+v", a)
				}
				seen := map[string]bool{}
				for _, part := range a.ShardHits {
					if seen[string(part)] || string(part)[:len(a.Snapshot)+1] != a.Snapshot+"/" {
						t.Fatalf("part %q in an answer of %s", part, a.Snapshot)
					}
					seen[string(part)] = true
				}
				if !now.Before(c.Deadline) && !done {
					take(q.Wake(now))
					if !done {
						t.Fatalf("no end at the deadline")
					}
				}
			},
		})
	})
}
