package gatherer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/gatherer"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
)

func notRunReply(s gatherer.Send, reason gatherer.Reason) gatherer.Reply {
	return gatherer.Reply{Attempt: s.Attempt, Outcome: gatherer.NotRun, Reason: reason}
}

// directConfig returns the config of a query that is sent directly to the searchers,
// to at most two per shard.
func directConfig(shards, required int) gatherer.Config {
	c := newConfig(newPlan("v1", shards))
	c.MaxSearchers, c.RequiredShards = 2, required
	c.PartialAnswerAt = start.Add(200 * time.Millisecond)
	return c
}

func TestMaxSearchersIsNotExceeded(t *testing.T) {
	is := is.New(t)
	q := gatherer.New(directConfig(1, 1))
	first := q.Start(start).Sends[0]
	second := q.Deliver(start, notRunReply(first, gatherer.ReasonRefused)).Sends[0]
	is.True(second.Searcher != first.Searcher)
	end := q.Deliver(start, notRunReply(second, gatherer.ReasonRefused))
	is.Equal(len(end.Sends), 0) // no request to the third replica
	is.True(end.Done)           // and no second request to the first two
	is.True(!q.Answer().MayHaveRun)
}

func TestUndeliveredRequestsDoNotCountAsSearchers(t *testing.T) {
	is := is.New(t)
	for _, reason := range []gatherer.Reason{gatherer.ReasonNotSent, gatherer.ReasonSearcherReplaced, gatherer.ReasonNoFreeConnection} {
		q := gatherer.New(directConfig(1, 1))
		first := q.Start(start).Sends[0]
		second := q.Deliver(start, notRunReply(first, reason)).Sends[0]
		third := q.Deliver(start, notRunReply(second, reason)).Sends[0]
		is.True(q.Deliver(start, notRunReply(third, reason)).Done) // all three replicas were tried
		is.True(!q.Answer().MayHaveRun)
	}
}

// TestAtMostOnceIsNotRetriedAfterPossibleRun checks that a request that may have run
// is not sent again, although the route allows one more searcher and one is left.
func TestAtMostOnceIsNotRetriedAfterPossibleRun(t *testing.T) {
	is := is.New(t)
	c := directConfig(1, 1)
	c.AtMostOnce, c.HedgeDelay, c.MaxSearchers = true, 0, 3
	q := gatherer.New(c)
	first := q.Start(start).Sends[0]
	second := q.Deliver(start, notRunReply(first, gatherer.ReasonRefused)).Sends[0]
	end := q.Deliver(start, gatherer.Reply{Attempt: second.Attempt, Outcome: gatherer.Unknown, Reason: gatherer.ReasonLinkLost})
	is.True(end.Done)
	is.Equal(len(end.Sends), 0)
	is.True(q.Answer().MayHaveRun)
}

// TestPartialAnswerIsReturnedWhenDue covers a query in which all replicas of one
// shard are paused past the route's objective: the answer must be returned at
// PartialAnswerAt without that shard.
func TestPartialAnswerIsReturnedWhenDue(t *testing.T) {
	is := is.New(t)
	q := gatherer.New(directConfig(4, 3))
	sends := q.Start(start).Sends
	for _, s := range sends[:3] {
		is.True(!q.Deliver(start, answeredReply(s)).Done) // PartialAnswerAt is not yet reached
	}
	q.Wake(start.Add(100 * time.Millisecond)) // sends the hedge
	is.Equal(q.NextWake(), start.Add(200*time.Millisecond))
	is.True(q.Wake(start.Add(200 * time.Millisecond)).Done)
	is.Equal(q.Answer().Answered, 3)
}

// TestLateAnswerIsReturnedOnceCoverageIsReached checks that after the objective a
// query waits only for the required shards, not for all.
func TestLateAnswerIsReturnedOnceCoverageIsReached(t *testing.T) {
	is := is.New(t)
	c := directConfig(4, 3)
	c.HedgeDelay = 0
	q := gatherer.New(c)
	sends := q.Start(start).Sends
	q.Deliver(start, answeredReply(sends[0]))
	q.Deliver(start, answeredReply(sends[1]))
	is.True(!q.Wake(start.Add(200 * time.Millisecond)).Done)
	is.True(q.Deliver(start.Add(300*time.Millisecond), answeredReply(sends[2])).Done)
}

// TestQueryEndsWhenRequiredShardsAreUnreachable covers an outage of all searchers
// of more shards than an answer may lack: the query must not wait for its deadline.
func TestQueryEndsWhenRequiredShardsAreUnreachable(t *testing.T) {
	is := is.New(t)
	c := directConfig(4, 3)
	c.SpendBudget = func(string, gatherer.ExtraKind) bool { return false }
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

// TestUnavailableShardIsNotAwaited covers an outage of all searchers of one shard
// that has already been detected: the query must not wait for that shard.
func TestUnavailableShardIsNotAwaited(t *testing.T) {
	is := is.New(t)
	c := directConfig(4, 3)
	c.Unavailable = func(s planner.Shard) bool { return s.Name == "s3" }
	q := gatherer.New(c)
	sends := q.Start(start).Sends
	q.Deliver(start, answeredReply(sends[0]))
	is.True(!q.Deliver(start, answeredReply(sends[1])).Done)
	is.True(q.Deliver(start, answeredReply(sends[2])).Done) // before the objective
	// A shard that may still answer is waited for.
	c.Unavailable = func(planner.Shard) bool { return false }
	q = gatherer.New(c)
	for _, s := range q.Start(start).Sends[:3] {
		is.True(!q.Deliver(start, answeredReply(s)).Done)
	}
}

// TestNothingIsSentForAHopelessQuery guards against requests to searchers for a query
// that ends as it starts, because too few shards have a searcher: nobody would wait for
// the replies or cancel the requests.
func TestNothingIsSentForAHopelessQuery(t *testing.T) {
	is := is.New(t)
	c := directConfig(4, 3)
	pick := c.Pick
	c.Pick = func(candidates []planner.Searcher, excluded []string) (string, bool) {
		if candidates[0].Address >= "2" {
			return "", false
		}
		return pick(candidates, excluded)
	}
	q := gatherer.New(c)
	actions := q.Start(start)
	is.True(actions.Done)
	is.Equal(len(actions.Sends), 0)
	is.Equal(len(actions.Cancels), 0)
	is.Equal(len(actions.Unsent), 2) // what was picked is released
	answer := q.Answer()
	is.Equal(answer.Sent, 0)
	is.True(!answer.MayHaveRun)
}
