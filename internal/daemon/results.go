package daemon

import (
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/framer"
	"github.com/fuchsiastile/fuchsiastile/internal/gatherer"
	"github.com/fuchsiastile/fuchsiastile/internal/hedger"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
)

// recordResult updates the picker, the hedger, the admission gate and the metrics
// with the result of a shard request.
func (d *Daemon) recordResult(now time.Time, queryHedger *hedger.Hedger, sent sentAttempt, result *messenger.ShardResult) {
	load := loadOf(result.GetLoad())
	d.picker.Release(sent.searcher)
	if result.GetDraining() {
		d.recordDraining(sent.searcher)
	}
	refused := result.GetOutcome() == messenger.Outcome_NOT_RUN && isOverload(result.GetReason())
	d.gate.RecordResult(refused)
	d.metrics.countResult(result)
	switch {
	case result.GetOutcome() == messenger.Outcome_ANSWERED:
		d.picker.RecordReply(now, sent.searcher, time.Duration(result.GetServiceMicros())*time.Microsecond, load)
		queryHedger.RecordLatency(now.Sub(sent.sentAt), load.Queued > 0 || result.GetGatewayQueued() > 0)
	case result.GetReason() == messenger.Reason_SNAPSHOT_GONE:
	case refused:
		d.picker.RecordRefusal(now, sent.searcher, load)
	case result.GetReason() == messenger.Reason_NOT_GATEWAY, result.GetReason() == messenger.Reason_STOPPING, result.GetReason() == messenger.Reason_DRAINING:
	case sent.gateway != d.settings.PeerAddress && result.GetReason() == messenger.Reason_LINK_LOST:
		// The link to the gateway was lost, which does not indicate a searcher failure.
	default:
		d.picker.RecordFailure(now, sent.searcher)
	}
}

// isOverload reports whether a request was refused because of a full queue, load
// shedding or too little remaining time.
func isOverload(r messenger.Reason) bool {
	return r == messenger.Reason_SHED || r == messenger.Reason_QUEUE_FULL || r == messenger.Reason_TOO_LATE
}

func loadOf(l *messenger.Load) framer.Load {
	return framer.Load{Slots: int(l.GetSlots()), InFlight: int(l.GetInFlight()), Queued: int(l.GetQueued())}
}

func replyOf(result *messenger.ShardResult) gatherer.Reply {
	return gatherer.Reply{
		Attempt:   result.GetAttempt(),
		Outcome:   outcomeOf(result.GetOutcome()),
		Reason:    gathererReason(result.GetReason()),
		RequestID: result.GetRequestId(),
		Snapshot:  result.GetSnapshot(),
		Shard:     result.GetShard(),
		Hits:      result.GetHits(),
	}
}

func outcomeOf(o messenger.Outcome) gatherer.Outcome {
	switch o {
	case messenger.Outcome_ANSWERED:
		return gatherer.Answered
	case messenger.Outcome_NOT_RUN:
		return gatherer.NotRun
	case messenger.Outcome_UNKNOWN, messenger.Outcome_OUTCOME_UNSPECIFIED:
		return gatherer.Unknown
	default:
		return gatherer.Unknown
	}
}

func gathererReason(r messenger.Reason) gatherer.Reason {
	switch r {
	case messenger.Reason_SNAPSHOT_GONE:
		return gatherer.ReasonSnapshotGone
	case messenger.Reason_BAD_REPLY:
		return gatherer.ReasonBadReply
	case messenger.Reason_TOO_LATE:
		return gatherer.ReasonDeadlineExceeded
	case messenger.Reason_DRAINING, messenger.Reason_CONNECT_FAILED, messenger.Reason_NOT_GATEWAY, messenger.Reason_STOPPING:
		return gatherer.ReasonNotSent
	default:
		return gatherer.ReasonNone
	}
}
