package gatherer

import (
	"time"

	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// settle ends the query when nothing more can or need come.
func (q *Query) settle(now time.Time, out Actions) Actions {
	if !q.finished(now) {
		return out
	}
	for _, s := range q.shards {
		q.cancelLive(s, &out)
	}
	q.done = true
	out.Done = true
	return out
}

func (q *Query) finished(now time.Time) bool {
	switch {
	case q.answered == len(q.shards), !now.Before(q.config.Deadline):
		return true
	case q.open() == 0, q.answered+q.open() < q.config.RequiredShards:
		return true
	case q.config.Unavailable != nil && q.answered >= q.config.RequiredShards && q.allHopeless():
		return true
	case q.config.RequiredShards > 0 && !q.config.PartialAnswerAt.IsZero() && !now.Before(q.config.PartialAnswerAt):
		return q.answered >= q.config.RequiredShards
	case q.config.Class.Answer == declarer.AnswerQuickThin:
		return float64(q.answered) >= q.config.Class.WantedCoverage*float64(len(q.shards))
	default:
		return false
	}
}

// allHopeless reports whether no shard that is still open is worth waiting for.
func (q *Query) allHopeless() bool {
	for _, s := range q.shards {
		if !s.answered && !q.config.Unavailable(s.plan) {
			return false
		}
	}
	return true
}

// open counts the shards that may still be answered.
func (q *Query) open() int {
	n := 0
	for _, s := range q.shards {
		if !s.answered && len(s.live) > 0 {
			n++
		}
	}
	return n
}
