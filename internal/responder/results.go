package responder

import (
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/exchanger"
	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/framer"
	"github.com/fuchsiastile/fuchsiastile/internal/gatherer"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// handleResult records the end of an attempt and passes its result to the query. It
// reports whether the query is done.
func (run *runner) handleResult(res result) bool {
	attempt, ok := run.pending[res.attemptID]
	if !ok {
		return false
	}
	delete(run.pending, res.attemptID)
	now := time.Now()
	reply := gatherer.Reply{Attempt: res.attemptID, RequestID: run.call.id, Snapshot: "current", Shard: attempt.shard}
	run.responder.picker.Release(attempt.searcher.Key())
	if res.err != nil {
		reply.Outcome, reply.Reason = run.handleError(now, attempt, res.err)
	} else {
		reply.Outcome, reply.Reason = run.handleReply(now, attempt, res)
	}
	return run.apply(run.query.Deliver(now, reply))
}

// handleError classifies an attempt that ended without a reply, and records a
// failure of the searcher if the error indicates one.
func (run *runner) handleError(now time.Time, attempt *pendingAttempt, err error) (gatherer.Outcome, gatherer.Reason) {
	p, key := run.responder.picker, attempt.searcher.Key()
	kind := exchanger.KindReplyLost
	switch {
	case failer.Is(err, exchanger.KindConnectionLimit):
		kind = exchanger.KindConnectionLimit
	case failer.Is(err, exchanger.KindUnsent):
		kind = exchanger.KindUnsent
	case failer.Is(err, exchanger.KindDial):
		kind = exchanger.KindDial
		p.RecordFailure(now, key)
	default:
		p.RecordFailure(now, key)
		run.observeFailure(attempt)
	}
	run.trail.attemptEnded(attempt, now, string(kind))
	run.responder.config.Metrics.countShardResult(string(kind))
	if isUnsent(err) {
		run.returnPermit(key)
	}
	switch kind {
	case exchanger.KindConnectionLimit:
		return gatherer.NotRun, gatherer.ReasonNoFreeConnection
	case exchanger.KindUnsent, exchanger.KindDial:
		return gatherer.NotRun, gatherer.ReasonNotSent
	default:
		return gatherer.Unknown, gatherer.ReasonLinkLost
	}
}

// handleReply classifies a searcher's reply and updates the searcher's statistics.
func (run *runner) handleReply(now time.Time, attempt *pendingAttempt, res result) (gatherer.Outcome, gatherer.Reason) {
	p, key, m := run.responder.picker, attempt.searcher.Key(), run.responder.config.Metrics
	latency := now.Sub(attempt.sentAt)
	outcome := platform.ClassifyReply(res.reply.Status, res.reply.Header)
	if outcome != platform.Displaced {
		run.responder.recordRateLimit(now, attempt.sentAt, key, res.reply.Header)
		if platform.IsLeaving(res.reply.Header) {
			run.responder.markLeaving(now, key)
		}
	}
	switch outcome {
	case platform.Success:
		p.RecordReply(now, key, latency, framer.Load{})
		run.observeReply(attempt, latency)
		run.hedger.RecordLatency(latency, false)
		run.replies[res.attemptID] = res.reply
		m.countShardResult("answered")
		m.shardSeconds.Update(latency.Seconds())
		return gatherer.Answered, gatherer.ReasonNone
	case platform.Shed:
		p.RecordRefusal(now, key, framer.Load{})
		run.observeFailure(attempt)
		run.trail.attemptEnded(attempt, now, "shed")
		m.countShardResult("shed")
		return gatherer.NotRun, gatherer.ReasonRefused
	case platform.Displaced:
		run.responder.MarkDisplaced(now, key, true)
		run.trail.attemptEnded(attempt, now, "displaced")
		m.countShardResult("displaced")
		return gatherer.NotRun, gatherer.ReasonSearcherReplaced
	default:
		p.RecordFailure(now, key)
		run.observeFailure(attempt)
		run.trail.attemptEnded(attempt, now, "failed")
		m.countShardResult("failed")
		if platform.CanForwardReply(res.reply.Status, res.reply.Header) {
			run.errorReply = &res.reply
		}
		return gatherer.Unknown, gatherer.ReasonBadReply
	}
}
