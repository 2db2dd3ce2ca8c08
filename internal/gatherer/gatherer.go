// Package gatherer implements the state machine of one scatter-gather query.
// It fans out shard requests, hedges and retries them, collects the replies for
// the pinned snapshot and reports the coverage. It processes typed events with a
// timestamp and returns typed actions. It performs no I/O.
package gatherer

import (
	"slices"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/planner"
)

// attempt is one shard request in flight.
type attempt struct {
	id       uint64
	searcher string
	sent     time.Time
}

// shard is the state of one shard of the pinned snapshot.
type shard struct {
	plan planner.Shard
	// inFlight holds the requests that have neither completed nor been cancelled.
	inFlight []attempt
	// excluded holds every searcher that has been tried.
	excluded []string
	// attempts counts the requests sent, whatever their outcome.
	attempts int
	// searchers counts the searchers that may have received a request.
	searchers      int
	answered       bool
	winningAttempt uint64
	hits           []byte
	// missing is why the shard has no answer. It is only valid while answered is
	// false.
	missing Reason
	hedged  bool
}

// Query is the state of one running query. It is not safe for concurrent use.
type Query struct {
	config Config
	shards []*shard
	// byAttempt maps each attempt in flight for the current snapshot to its
	// shard. Replies to any other attempt are discarded.
	byAttempt map[uint64]*shard
	answered  int
	restarts  int
	hedgeAt   time.Time
	done      bool
	extra     int
	sent      int
	// mayHaveRun is set once a request has completed with any outcome but NotRun.
	mayHaveRun bool
	// cancelledInFlight is set once a request has been cancelled in flight, so
	// that its outcome is unknown.
	cancelledInFlight bool
	// expired is set once the query must end with whatever it has.
	expired bool
}

// New returns a query that has not been started.
func New(config Config) *Query {
	q := &Query{config: config}
	q.usePlan(config.Plan)
	return q
}

func (q *Query) usePlan(plan planner.Plan) {
	q.config.Plan = plan
	q.shards = make([]*shard, len(plan.Shards))
	q.byAttempt = make(map[uint64]*shard, len(plan.Shards))
	q.answered = 0
	for i, p := range plan.Shards {
		q.shards[i] = &shard{plan: p, missing: ReasonNoReplica}
	}
}

// Start sends the first request to every shard.
func (q *Query) Start(now time.Time) Actions {
	var out Actions
	q.fanOut(now, &out)
	return q.finishIfDone(now, out)
}

func (q *Query) fanOut(now time.Time, out *Actions) {
	for _, s := range q.shards {
		q.sendToNextReplica(now, s, false, out)
	}
	if q.config.HedgeDelay > 0 {
		q.hedgeAt = now.Add(q.config.HedgeDelay)
	}
}

// sendToNextReplica sends one more request for a shard and reports whether a
// replica was left to send it to.
func (q *Query) sendToNextReplica(now time.Time, s *shard, extra bool, out *Actions) bool {
	if !q.mayTryAnotherSearcher(s) {
		return false
	}
	searcher, ok := q.config.Pick(s.plan.Candidates, s.excluded)
	if !ok {
		return false
	}
	s.excluded = append(s.excluded, searcher)
	s.searchers++
	q.send(now, s, searcher, extra, out)
	return true
}

// mayTryAnotherSearcher reports whether the shard's limit allows one more searcher.
func (q *Query) mayTryAnotherSearcher(s *shard) bool {
	if q.config.MaxSearchers > 0 {
		return s.searchers < q.config.MaxSearchers
	}
	return s.attempts < maxAttemptsPerShard
}

func (q *Query) send(now time.Time, s *shard, searcher string, extra bool, out *Actions) {
	id := q.config.NextAttempt()
	s.attempts++
	s.inFlight = append(s.inFlight, attempt{id: id, searcher: searcher, sent: now})
	s.missing = ReasonDeadlineExceeded
	q.byAttempt[id] = s
	q.sent++
	if extra {
		q.extra++
	}
	out.Sends = append(out.Sends, Send{
		Attempt:  id,
		Searcher: searcher,
		Shard:    s.plan.Name,
		Snapshot: q.config.Plan.Snapshot,
		Extra:    extra,
	})
}

// Deliver processes the completion of a shard request.
func (q *Query) Deliver(now time.Time, r Reply) Actions {
	var out Actions
	s, ok := q.byAttempt[r.Attempt]
	if !ok || q.done {
		return out
	}
	delete(q.byAttempt, r.Attempt)
	s.removeAttempt(r.Attempt)
	switch {
	case r.Outcome != NotRun:
		q.mayHaveRun = true
	case wasNotDelivered(r.Reason):
		s.searchers--
	}
	if s.answered {
		return out
	}
	if r.Outcome == Answered && q.matches(s, r) {
		q.acceptReply(s, r, &out)
		return q.finishIfDone(now, out)
	}
	s.missing = missingReason(r)
	q.retry(now, s, &out)
	return q.finishIfDone(now, out)
}

// matches reports whether a reply is for this query, shard and snapshot.
func (q *Query) matches(s *shard, r Reply) bool {
	return r.RequestID == q.config.RequestID &&
		r.Snapshot == q.config.Plan.Snapshot &&
		r.Shard == s.plan.Name
}

func missingReason(r Reply) Reason {
	switch {
	case r.Outcome == Answered:
		return ReasonBadReply
	case r.Reason != ReasonNone:
		return r.Reason
	case r.Outcome == NotRun:
		return ReasonRefused
	default:
		return ReasonLinkLost
	}
}

func (q *Query) acceptReply(s *shard, r Reply, out *Actions) {
	s.answered = true
	s.winningAttempt = r.Attempt
	s.hits = r.Hits
	q.answered++
	q.cancelInFlight(s, out)
}

func (q *Query) cancelInFlight(s *shard, out *Actions) {
	for _, a := range s.inFlight {
		q.cancelledInFlight = true
		delete(q.byAttempt, a.id)
		out.Cancels = append(out.Cancels, a.id)
	}
	s.inFlight = nil
}

// retry sends the request of a shard to another replica after a failure, unless
// another request for that shard is still in flight.
func (q *Query) retry(now time.Time, s *shard, out *Actions) {
	if !now.Before(q.config.Deadline) || q.config.AtMostOnce && (q.mayHaveRun || q.cancelledInFlight) {
		return
	}
	if len(s.inFlight) > 0 {
		// Either the first request or its hedge failed while the other is in flight.
		return
	}
	missing := s.missing
	if q.mayTryAnotherSearcher(s) && q.config.SpendBudget(s.plan.Name, retryKind(missing)) && q.sendToNextReplica(now, s, true, out) {
		return
	}
	s.missing = missing
	if missing == ReasonSnapshotGone {
		q.restart(now, out)
	}
}

// wasNotDelivered reports whether a reason means that no searcher received the request.
func wasNotDelivered(r Reason) bool {
	return slices.Contains([]Reason{ReasonNotSent, ReasonNoReplica, ReasonSearcherReplaced, ReasonNoFreeConnection}, r)
}

// retryKind returns the kind of the retry after an attempt that failed for a reason.
func retryKind(r Reason) ExtraKind {
	switch r {
	case ReasonSnapshotGone, ReasonNotSent, ReasonNoReplica, ReasonSearcherReplaced, ReasonNoFreeConnection:
		return ExtraReroute
	case ReasonBadReply, ReasonLinkLost:
		return ExtraFailure
	default:
		return ExtraOverload
	}
}

// restart restarts the whole query on a newer snapshot, so that no answer mixes
// two snapshots.
func (q *Query) restart(now time.Time, out *Actions) {
	if q.restarts >= maxRestarts || now.Add(minRestartTime).After(q.config.Deadline) {
		return
	}
	plan, ok := q.config.Replan()
	if !ok || plan.Snapshot == q.config.Plan.Snapshot {
		return
	}
	q.restarts++
	for _, s := range q.shards {
		q.cancelInFlight(s, out)
	}
	out.Sends = nil
	q.usePlan(plan)
	q.fanOut(now, out)
}

// Wake processes due timers. NextWake returns when to call it.
func (q *Query) Wake(now time.Time) Actions {
	var out Actions
	if q.done {
		return out
	}
	if !q.hedgeAt.IsZero() && !now.Before(q.hedgeAt) {
		q.hedge(now, &out)
	}
	return q.finishIfDone(now, out)
}

// hedge sends a second request for every unanswered shard whose first one has
// been in flight for HedgeDelay, as far as the hedging budget allows.
func (q *Query) hedge(now time.Time, out *Actions) {
	q.hedgeAt = time.Time{}
	for _, s := range q.shards {
		if s.answered || s.hedged || len(s.inFlight) != 1 {
			continue
		}
		due := s.inFlight[0].sent.Add(q.config.HedgeDelay)
		if now.Before(due) {
			q.scheduleHedge(due)
			continue
		}
		s.hedged = true
		if q.mayTryAnotherSearcher(s) && q.config.SpendBudget(s.plan.Name, ExtraHedge) {
			q.sendToNextReplica(now, s, true, out)
		}
	}
}

// Expire ends the query as its deadline would.
func (q *Query) Expire(now time.Time) Actions {
	if q.done {
		return Actions{Done: true}
	}
	q.expired = true
	return q.finishIfDone(now, Actions{})
}

func (q *Query) scheduleHedge(t time.Time) {
	if q.hedgeAt.IsZero() || t.Before(q.hedgeAt) {
		q.hedgeAt = t
	}
}

// NextWake returns the next time at which Wake must be called.
func (q *Query) NextWake() time.Time {
	next := q.config.Deadline
	sooner := func(t time.Time) {
		if !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	sooner(q.hedgeAt)
	if q.answered >= q.config.RequiredShards {
		sooner(q.config.PartialAnswerAt)
	}
	return next
}

func (s *shard) removeAttempt(id uint64) {
	s.inFlight = slices.DeleteFunc(s.inFlight, func(a attempt) bool { return a.id == id })
}
