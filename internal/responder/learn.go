package responder

import (
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/exchanger"
	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/framer"
	"github.com/fuchsiastile/fuchsiastile/internal/gatherer"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// deliver takes the end of an attempt.
func (run *runner) deliver(res result) bool {
	s, ok := run.out[res.attempt]
	if !ok {
		return false
	}
	delete(run.out, res.attempt)
	now := time.Now()
	reply := gatherer.Reply{Attempt: res.attempt, RequestID: run.call.id, Snapshot: "current", Shard: s.shard}
	run.responder.picker.Release(s.searcher.Key())
	if res.err != nil {
		reply.Outcome, reply.Reason = run.failed(now, s, res.err)
	} else {
		reply.Outcome, reply.Reason = run.judge(now, s, res)
	}
	return run.perform(run.query.Deliver(now, reply))
}

// failed learns from an attempt that brought no reply.
func (run *runner) failed(now time.Time, s *sent, err error) (gatherer.Outcome, gatherer.Reason) {
	p, key := run.responder.picker, s.searcher.Key()
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
	}
	run.trail.ended(s, now, string(kind))
	run.responder.config.Metrics.shardEnded(string(kind))
	switch kind {
	case exchanger.KindConnectionLimit:
		return gatherer.NotRun, gatherer.ReasonNoFreeConnection
	case exchanger.KindUnsent, exchanger.KindDial:
		return gatherer.NotRun, gatherer.ReasonNotSent
	default:
		return gatherer.Unknown, gatherer.ReasonLinkLost
	}
}

// judge learns from a searcher's reply.
func (run *runner) judge(now time.Time, s *sent, res result) (gatherer.Outcome, gatherer.Reason) {
	p, key, m := run.responder.picker, s.searcher.Key(), run.responder.config.Metrics
	took := now.Sub(s.at)
	switch verdict := platform.ClassifyReply(res.reply.Status, res.reply.Header); verdict {
	case platform.Success:
		p.RecordReply(now, key, took, framer.Load{})
		run.hedger.RecordLatency(took, false)
		run.replies[res.attempt] = res.reply
		m.shardEnded("answered")
		m.shardSeconds.Update(took.Seconds())
		return gatherer.Answered, gatherer.ReasonNone
	case platform.Shed:
		p.RecordRefusal(now, key, framer.Load{})
		run.trail.ended(s, now, "shed")
		m.shardEnded("shed")
		return gatherer.NotRun, gatherer.ReasonRefused
	case platform.Displaced:
		run.responder.MarkDisplaced(now, key, true)
		run.trail.ended(s, now, "displaced")
		m.shardEnded("displaced")
		return gatherer.NotRun, gatherer.ReasonSearcherReplaced
	default:
		p.RecordFailure(now, key)
		run.trail.ended(s, now, "failed")
		m.shardEnded("failed")
		if platform.CanForwardReply(res.reply.Status, res.reply.Header) {
			run.failure = &res.reply
		}
		return gatherer.Unknown, gatherer.ReasonBadReply
	}
}
