// Package gatherer is the state machine of one query: it spreads shard
// requests, hedges and retries them, merges replies of the pinned snapshot and
// states the coverage. It takes typed events with a time and returns typed
// actions; it does no input or output.
package gatherer

import (
	"slices"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/planner"
)

// attempt is one request that has not ended.
type attempt struct {
	id       uint64
	searcher string
	sent     time.Time
}

// shard is the state of one part of the pinned snapshot.
type shard struct {
	plan planner.Shard
	// live holds the requests that have not ended.
	live []attempt
	// excluded holds every searcher that was tried.
	excluded []string
	// attempts counts what may have reached a searcher.
	attempts int
	// searchers counts the searchers that attempts went to.
	searchers int
	answered  bool
	winner    uint64
	hits      []byte
	// missing is why the shard has no answer; it is meaningless once answered.
	missing Reason
	hedged  bool
}

// Query is one query under way. It is not safe for concurrent use.
type Query struct {
	config Config
	shards []*shard
	// byAttempt finds the shard of a live attempt of the current snapshot;
	// replies to any other attempt are never merged.
	byAttempt map[uint64]*shard
	answered  int
	restarts  int
	hedgeAt   time.Time
	done      bool
	extra     int
	sent      int
	// mayHaveRun is set once a request ended other than not run.
	mayHaveRun bool
	// gaveUp is set once a request that had not ended was given up.
	gaveUp bool
}

// New returns a query that has sent nothing yet.
func New(config Config) *Query {
	q := &Query{config: config}
	q.adopt(config.Plan)
	return q
}

func (q *Query) adopt(plan planner.Plan) {
	q.config.Plan = plan
	q.shards = make([]*shard, len(plan.Shards))
	q.byAttempt = make(map[uint64]*shard, len(plan.Shards))
	q.answered = 0
	for i, p := range plan.Shards {
		q.shards[i] = &shard{plan: p, missing: ReasonNoReplica}
	}
}

// Start sends the first attempt at every shard.
func (q *Query) Start(now time.Time) Actions {
	var out Actions
	q.spread(now, &out)
	return q.settle(now, out)
}

func (q *Query) spread(now time.Time, out *Actions) {
	for _, s := range q.shards {
		q.try(now, s, false, out)
	}
	if q.config.HedgeDelay > 0 {
		q.hedgeAt = now.Add(q.config.HedgeDelay)
	}
}

// try sends one more attempt at a shard, if a replica is left.
func (q *Query) try(now time.Time, s *shard, extra bool, out *Actions) bool {
	if !q.mayTryOther(s) {
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

// mayTryOther reports whether one more searcher may be sent the shard's request.
func (q *Query) mayTryOther(s *shard) bool {
	if q.config.MaxSearchers > 0 {
		return s.searchers < q.config.MaxSearchers
	}
	return s.attempts < maxAttemptsPerShard
}

func (q *Query) send(now time.Time, s *shard, searcher string, extra bool, out *Actions) {
	id := q.config.NextAttempt()
	s.attempts++
	s.live = append(s.live, attempt{id: id, searcher: searcher, sent: now})
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

// Deliver takes the end of a shard request.
func (q *Query) Deliver(now time.Time, r Reply) Actions {
	var out Actions
	s, ok := q.byAttempt[r.Attempt]
	if !ok || q.done {
		return out
	}
	delete(q.byAttempt, r.Attempt)
	s.drop(r.Attempt)
	switch {
	case r.Outcome != NotRun:
		q.mayHaveRun = true
	case neverArrived(r.Reason):
		s.searchers--
	}
	if s.answered {
		return out
	}
	if r.Outcome == Answered && q.matches(s, r) {
		q.accept(s, r, &out)
		return q.settle(now, out)
	}
	s.missing = missingReason(r)
	q.retry(now, s, &out)
	return q.settle(now, out)
}

// matches reports whether an answer is the query's own, of its shard and snapshot.
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

func (q *Query) accept(s *shard, r Reply, out *Actions) {
	s.answered = true
	s.winner = r.Attempt
	s.hits = r.Hits
	q.answered++
	q.cancelLive(s, out)
}

func (q *Query) cancelLive(s *shard, out *Actions) {
	for _, a := range s.live {
		q.gaveUp = true
		delete(q.byAttempt, a.id)
		out.Cancels = append(out.Cancels, a.id)
	}
	s.live = nil
}

// retry tries another replica of a shard whose request failed, unless another
// request for it is still out.
func (q *Query) retry(now time.Time, s *shard, out *Actions) {
	if !now.Before(q.config.Deadline) || q.config.AtMostOnce && (q.mayHaveRun || q.gaveUp) {
		return
	}
	if len(s.live) > 0 {
		// A hedge failed while the first request is still out.
		return
	}
	missing := s.missing
	if q.mayTryOther(s) && q.config.TakeBudget(s.plan.Name, extraAfter(missing)) && q.try(now, s, true, out) {
		return
	}
	s.missing = missing
	if missing == ReasonSnapshotGone {
		q.restart(now, out)
	}
}

// neverArrived reports whether a reason means that no searcher saw the request.
func neverArrived(r Reason) bool {
	return slices.Contains([]Reason{ReasonNotSent, ReasonNoReplica, ReasonSearcherReplaced, ReasonNoFreeConnection}, r)
}

// extraAfter returns the kind of the attempt that follows a failed one.
func extraAfter(r Reason) ExtraKind {
	switch r {
	case ReasonSnapshotGone, ReasonNotSent, ReasonNoReplica, ReasonSearcherReplaced, ReasonNoFreeConnection:
		return ExtraReroute
	case ReasonBadReply, ReasonLinkLost:
		return ExtraFailure
	default:
		return ExtraOverload
	}
}

// restart moves the whole query to a newer snapshot, so that no answer mixes two.
func (q *Query) restart(now time.Time, out *Actions) {
	if q.restarts >= maxRestarts || now.Add(restartReserve).After(q.config.Deadline) {
		return
	}
	plan, ok := q.config.Replan()
	if !ok || plan.Snapshot == q.config.Plan.Snapshot {
		return
	}
	q.restarts++
	for _, s := range q.shards {
		q.cancelLive(s, out)
	}
	out.Sends = nil
	q.adopt(plan)
	q.spread(now, out)
}

// Wake takes the passing of time; NextWake tells when it is due.
func (q *Query) Wake(now time.Time) Actions {
	var out Actions
	if q.done {
		return out
	}
	if !q.hedgeAt.IsZero() && !now.Before(q.hedgeAt) {
		q.hedge(now, &out)
	}
	return q.settle(now, out)
}

// hedge tries every shard that is still out a second time, as the budget allows.
func (q *Query) hedge(now time.Time, out *Actions) {
	q.hedgeAt = time.Time{}
	for _, s := range q.shards {
		if s.answered || s.hedged || len(s.live) != 1 {
			continue
		}
		due := s.live[0].sent.Add(q.config.HedgeDelay)
		if now.Before(due) {
			q.wakeBy(due)
			continue
		}
		s.hedged = true
		if q.mayTryOther(s) && q.config.TakeBudget(s.plan.Name, ExtraHedge) {
			q.try(now, s, true, out)
		}
	}
}

func (q *Query) wakeBy(t time.Time) {
	if q.hedgeAt.IsZero() || t.Before(q.hedgeAt) {
		q.hedgeAt = t
	}
}

// NextWake returns when Wake is due next.
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

// drop ends a live attempt.
func (s *shard) drop(id uint64) {
	s.live = slices.DeleteFunc(s.live, func(a attempt) bool { return a.id == id })
}
