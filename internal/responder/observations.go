package responder

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/reporter"
)

// reportInterval is the interval at which observations are reported to the collectors
// and summaries are sent.
const reportInterval = 500 * time.Millisecond

// ownReport is the sender of this daemon's own observations in its pool.
const ownReport = "self"

// sharedKeys returns the keys, by their hashes, of the searchers of which the daemons
// share their observations: of their services each daemon uses only some of the
// replicas and knows too little of the others.
func (r *Responder) sharedKeys() map[uint64]string {
	state := r.config.State()
	if !state.Ready() || !r.isEnabled(PolicySharedObservations) {
		return nil
	}
	return r.subsetFor(state).keys
}

// shareObservations sends this daemon's observations to the collectors and, if it is
// one itself, the summary of its pool to the daemons of its failure domain.
func (r *Responder) shareObservations(now time.Time) {
	report := r.reporter.Report()
	if len(r.sharedKeys()) == 0 {
		return
	}
	isCollector := r.config.SendReport(report)
	if isCollector {
		r.reporter.Collect(ownReport, report)
	}
	// The interval ends on every daemon, since reports may also reach one that is not a
	// collector, or not yet.
	summary := r.reporter.Summary()
	if !isCollector {
		return
	}
	if len(summary.Searchers) > 0 {
		klog.InfoS("searchers deviate", "searchers", len(summary.Searchers), "typicalMillis", summary.TypicalServiceTime.Milliseconds())
	}
	r.config.SendSummary(summary)
	r.ApplySummary(now, summary)
}

// CollectReport adds what another daemon observed to the pool.
func (r *Responder) CollectReport(sender string, report []reporter.Observation) {
	if len(r.sharedKeys()) > 0 {
		r.reporter.Collect(sender, report)
	}
}

// ApplySummary passes the pooled observations of known searchers to the picker.
func (r *Responder) ApplySummary(now time.Time, summary reporter.Summary) {
	keys := r.sharedKeys()
	for _, o := range summary.Searchers {
		if key, ok := keys[o.Searcher]; ok {
			r.picker.RecordShared(now, key, o, summary.TypicalServiceTime)
			r.config.Metrics.sharedObservations.Inc()
		}
	}
}

// isObserved reports whether the requests of this query are part of the next report.
func (run *runner) isObserved() bool {
	return run.call.route.IsScatterGather() && len(run.responder.sharedKeys()) > 0
}

// observeReply records a reply to a shard request for the next report.
func (run *runner) observeReply(attempt *pendingAttempt, latency time.Duration) {
	if run.isObserved() {
		key := attempt.searcher.Key()
		run.responder.reporter.RecordAnswer(key, run.responder.picker.ServiceTimeSample(attempt.searcher, latency))
	}
}

// observeAbandoned records a first request that was abandoned for the next report: the
// elapsed time is at least the hedge delay, and the service time is longer still. The
// elapsed time of a hedge says nothing.
func (run *runner) observeAbandoned(attempt *pendingAttempt, elapsed time.Duration) {
	if !attempt.extra {
		run.observeReply(attempt, elapsed)
	}
}

// observeFailure records a shard request that was refused, or whose reply was lost or
// unusable, for the next report.
func (run *runner) observeFailure(attempt *pendingAttempt) {
	if run.isObserved() {
		run.responder.reporter.RecordFailure(attempt.searcher.Key())
	}
}
