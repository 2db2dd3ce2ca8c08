package gatherer

import (
	"time"

	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// finishIfDone ends the query and cancels the requests in flight if the answer is
// complete, the deadline has passed or nothing is left worth waiting for.
func (q *Query) finishIfDone(now time.Time, out Actions) Actions {
	if !q.finished(now) {
		return out
	}
	q.discardSends(&out)
	for _, s := range q.shards {
		q.cancelInFlight(s, &out)
	}
	q.done = true
	out.Done = true
	return out
}

// discardSends moves the sends of the event that ends the query to Unsent: nobody waits
// for their replies.
func (q *Query) discardSends(out *Actions) {
	for _, send := range out.Sends {
		s := q.byAttempt[send.Attempt]
		delete(q.byAttempt, send.Attempt)
		s.removeAttempt(send.Attempt)
		s.missing = ReasonNotSent
		q.sent--
		if send.Extra {
			q.extra--
		}
	}
	out.Unsent, out.Sends = out.Sends, nil
}

func (q *Query) finished(now time.Time) bool {
	switch {
	case q.answered == len(q.shards), q.expired, !now.Before(q.config.Deadline):
		return true
	case q.countPending() == 0, q.answered+q.countPending() < q.config.RequiredShards:
		return true
	case q.config.Unavailable != nil && q.answered >= q.config.RequiredShards && q.allPendingUnavailable():
		return true
	case q.config.RequiredShards > 0 && !q.config.PartialAnswerAt.IsZero() && !now.Before(q.config.PartialAnswerAt):
		return q.answered >= q.config.RequiredShards
	case q.config.Class.Completion == declarer.CompletionOnCoverage:
		return float64(q.answered) >= q.config.Class.TargetCoverage*float64(len(q.shards))
	default:
		return false
	}
}

// allPendingUnavailable reports whether every unanswered shard is unavailable.
func (q *Query) allPendingUnavailable() bool {
	for _, s := range q.shards {
		if !s.answered && !q.config.Unavailable(s.plan) {
			return false
		}
	}
	return true
}

// countPending returns the number of unanswered shards with a request in flight.
func (q *Query) countPending() int {
	n := 0
	for _, s := range q.shards {
		if !s.answered && len(s.inFlight) > 0 {
			n++
		}
	}
	return n
}
