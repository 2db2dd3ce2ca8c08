package gatherer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/gatherer"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
)

func notRun(s gatherer.Send, reason gatherer.Reason) gatherer.Reply {
	return gatherer.Reply{Attempt: s.Attempt, Outcome: gatherer.NotRun, Reason: reason}
}

// direct is a query on the users' platform: two searchers a shard at most.
func direct(shards, needed int) gatherer.Config {
	c := config(plan("v1", shards))
	c.MaxSearchers, c.RequiredShards = 2, needed
	c.PartialAnswerAt = start.Add(200 * time.Millisecond)
	return c
}

func TestNoMoreSearchersThanAllowed(t *testing.T) {
	is := is.New(t)
	q := gatherer.New(direct(1, 1))
	first := q.Start(start).Sends[0]
	second := q.Deliver(start, notRun(first, gatherer.ReasonRefused)).Sends[0]
	is.True(second.Searcher != first.Searcher)
	end := q.Deliver(start, notRun(second, gatherer.ReasonRefused))
	is.Equal(len(end.Sends), 0) // the third replica may not be asked
	is.True(end.Done)           // nor either of the two once more
	is.True(!q.Answer().MayHaveRun)
}

func TestWhatNeverArrivedIsNoSearcherUsed(t *testing.T) {
	is := is.New(t)
	for _, reason := range []gatherer.Reason{gatherer.ReasonNotSent, gatherer.ReasonSearcherReplaced, gatherer.ReasonNoFreeConnection} {
		q := gatherer.New(direct(1, 1))
		first := q.Start(start).Sends[0]
		second := q.Deliver(start, notRun(first, reason)).Sends[0]
		third := q.Deliver(start, notRun(second, reason)).Sends[0]
		is.True(q.Deliver(start, notRun(third, reason)).Done) // all three were tried
		is.True(!q.Answer().MayHaveRun)
	}
}

func TestOnceIsNeverTriedAfterItMayHaveRun(t *testing.T) {
	is := is.New(t)
	c := direct(1, 1)
	c.AtMostOnce, c.HedgeDelay = true, 0
	q := gatherer.New(c)
	first := q.Start(start).Sends[0]
	second := q.Deliver(start, notRun(first, gatherer.ReasonRefused)).Sends[0]
	end := q.Deliver(start, gatherer.Reply{Attempt: second.Attempt, Outcome: gatherer.Unknown, Reason: gatherer.ReasonLinkLost})
	is.True(end.Done)
	is.Equal(len(end.Sends), 0)
	is.True(q.Answer().MayHaveRun)
}

// TestAThinAnswerIsGivenAtItsTime names the pattern: all replicas of one shard
// are paused beyond the objective.
func TestAThinAnswerIsGivenAtItsTime(t *testing.T) {
	is := is.New(t)
	q := gatherer.New(direct(4, 3))
	sends := q.Start(start).Sends
	for _, s := range sends[:3] {
		is.True(!q.Deliver(start, answer(s)).Done) // there is time for a whole one
	}
	q.Wake(start.Add(100 * time.Millisecond)) // hedges
	is.Equal(q.NextWake(), start.Add(200*time.Millisecond))
	is.True(q.Wake(start.Add(200 * time.Millisecond)).Done)
	is.Equal(q.Answer().Answered, 3)
}

// TestALateAnswerIsGivenOnceItIsEnough goes on past the objective only until the
// needed shards are in.
func TestALateAnswerIsGivenOnceItIsEnough(t *testing.T) {
	is := is.New(t)
	c := direct(4, 3)
	c.HedgeDelay = 0
	q := gatherer.New(c)
	sends := q.Start(start).Sends
	q.Deliver(start, answer(sends[0]))
	q.Deliver(start, answer(sends[1]))
	is.True(!q.Wake(start.Add(200 * time.Millisecond)).Done)
	is.True(q.Deliver(start.Add(300*time.Millisecond), answer(sends[2])).Done)
}

// TestAQueryThatCannotSucceedEndsAtOnce names the pattern: all searchers of more
// shards are down than an answer may lack.
func TestAQueryThatCannotSucceedEndsAtOnce(t *testing.T) {
	is := is.New(t)
	c := direct(4, 3)
	c.TakeBudget = func(string, gatherer.ExtraKind) bool { return false }
	q := gatherer.New(c)
	sends := q.Start(start).Sends
	lost := func(s gatherer.Send) gatherer.Reply {
		return gatherer.Reply{Attempt: s.Attempt, Outcome: gatherer.Unknown, Reason: gatherer.ReasonLinkLost}
	}
	is.True(!q.Deliver(start, lost(sends[0])).Done)
	end := q.Deliver(start, lost(sends[1]))
	is.True(end.Done)
	is.Equal(len(end.Cancels), 2)
}

// TestNobodyWaitsForADeadShard names the pattern: all searchers of one shard are
// down, and every daemon knows.
func TestNobodyWaitsForADeadShard(t *testing.T) {
	is := is.New(t)
	c := direct(4, 3)
	c.Unavailable = func(s planner.Shard) bool { return s.Name == "s3" }
	q := gatherer.New(c)
	sends := q.Start(start).Sends
	q.Deliver(start, answer(sends[0]))
	is.True(!q.Deliver(start, answer(sends[1])).Done)
	is.True(q.Deliver(start, answer(sends[2])).Done) // long before the objective
	// A shard with hope is waited for.
	c.Unavailable = func(planner.Shard) bool { return false }
	q = gatherer.New(c)
	for _, s := range q.Start(start).Sends[:3] {
		is.True(!q.Deliver(start, answer(s)).Done)
	}
}
