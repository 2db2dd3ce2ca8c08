package responder

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/driver"
	"github.com/fuchsiastile/fuchsiastile/internal/exchanger"
	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/follower"
	"github.com/fuchsiastile/fuchsiastile/internal/gatherer"
	"github.com/fuchsiastile/fuchsiastile/internal/hedger"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

const (
	// goldenRatio is the step between the weight positions of consecutive requests:
	// its multiples modulo 1 spread them evenly over the weights.
	goldenRatio = 0.6180339887498949
	// cancelledWait limits the wait for cancelled attempts to end.
	cancelledWait = 30 * time.Millisecond
	// retryResultSlots is the capacity that is added to the results channel for hedges
	// and retries.
	retryResultSlots = 8
)

// runner executes one request: it starts the attempts that the query requests and
// passes their results back to it.
type runner struct {
	responder *Responder
	call      *callerRequest
	state     *follower.State
	query     *gatherer.Query
	hedger    *hedger.Hedger
	ctx       context.Context
	// pending holds the attempts in progress by ID.
	pending map[uint64]*pendingAttempt
	results chan result
	// done is closed when the query has ended and results are no longer received.
	done chan struct{}
	// replies holds the successful replies by attempt ID.
	replies map[uint64]exchanger.Reply
	// errorReply is a searcher's own error reply that may be forwarded to the caller.
	errorReply *exchanger.Reply
	// cancelled holds the IDs of cancelled attempts.
	cancelled  map[uint64]bool
	trail      trail
	callerLeft bool
	// picks holds the picked searchers by key; a query picks each at most once.
	picks map[string]pick
	// draw is this query's random number for the limiter. All shards share it, so that
	// small permits of many shards are granted to the same queries.
	draw float64
}

// pendingAttempt is an attempt in progress.
type pendingAttempt struct {
	searcher planner.Searcher
	shard    string
	sentAt   time.Time
	cancel   context.CancelFunc
	extra    bool
}

// result is the outcome of an attempt.
type result struct {
	attemptID uint64
	reply     exchanger.Reply
	err       error
}

// execute runs a request's query and returns the response to its caller.
func (r *Responder) execute(request *http.Request, c *callerRequest) response {
	state := r.config.State()
	plan := r.plan(c.route, state)
	now := time.Now()
	for _, shard := range plan.Shards {
		r.budget.RecordRequest(now, shard.Name)
	}
	run := &runner{
		responder: r,
		call:      c,
		state:     state,
		hedger:    r.hedgerFor(c.route),
		ctx:       request.Context(),
		pending:   make(map[uint64]*pendingAttempt, len(plan.Shards)),
		results:   make(chan result, len(plan.Shards)+retryResultSlots),
		done:      make(chan struct{}),
		replies:   make(map[uint64]exchanger.Reply, len(plan.Shards)),
		cancelled: map[uint64]bool{},
		picks:     make(map[string]pick, len(plan.Shards)),
		draw:      rand.Float64(),
	}
	defer close(run.done)
	run.query = gatherer.New(run.queryConfig(plan))
	driver.Driver[result]{
		Query:     run.query,
		Scheduler: r.config.Scheduler,
		Results:   run.results,
		Perform:   run.apply,
		Deliver:   run.handleResult,
		Expired:   r.config.Expired,

		OnCancelled: func() { run.callerLeft = true },
	}.Run(run.ctx)
	return run.response()
}

// plan returns the shards of a route with their candidate searchers. A request to
// a single searcher is planned as one shard.
func (r *Responder) plan(route *planner.Route, state *follower.State) planner.Plan {
	plan := planner.Plan{Snapshot: "current"}
	services := route.Shards
	if !route.IsScatterGather() {
		position := math.Mod(float64(r.backendSequence.Add(1)%(1<<32))*goldenRatio, 1)
		services = []string{route.Backend(position)}
	}
	searchers := r.subsetFor(state).searchers
	for _, service := range services {
		plan.Shards = append(plan.Shards, planner.Shard{Name: service, Candidates: searchers[service]})
	}
	return plan
}

func (run *runner) queryConfig(plan planner.Plan) gatherer.Config {
	r, c := run.responder, run.call
	config := gatherer.Config{
		RequestID:      c.id,
		Plan:           plan,
		Class:          declarer.Class{Completion: declarer.CompletionOnAllShards},
		Deadline:       c.deadline,
		MaxSearchers:   c.route.MaxSearchers,
		AtMostOnce:     !c.route.Idempotent,
		RequiredShards: 1,
		NextAttempt:    func() uint64 { return r.attempts.Add(1) },
		SpendBudget:    run.spendBudget,
		Pick:           run.pickSearcher,
		Replan:         func() (planner.Plan, bool) { return planner.Plan{}, false },
	}
	if c.route.Idempotent && r.isEnabled(PolicyHedge) {
		config.HedgeDelay = run.hedgeDelay(plan)
	}
	if !c.route.IsScatterGather() {
		return config
	}
	config.RequiredShards = c.route.RequiredShards()
	if r.isEnabled(PolicySkipUnresponsive) {
		config.Unavailable = func(shard planner.Shard) bool { return r.picker.AllUnavailable(time.Now(), shard.Candidates) }
	}
	if r.isEnabled(PolicyPartialResponse) {
		config.PartialAnswerAt = c.arrived.Add(c.route.Objective - objectiveReserve)
	}
	return config
}

func (run *runner) hedgeDelay(plan planner.Plan) time.Duration {
	if !run.responder.isEnabled(PolicyEarlyHedge) {
		delay, _ := run.hedger.Delay()
		return delay
	}
	return run.hedger.DelayWithin(run.call.route.Objective, usesPreconnect(run.state, plan.Shards[0].Name))
}

// pickSearcher picks one of the candidates that are still in the fleet.
func (run *runner) pickSearcher(candidates []planner.Searcher, excluded []string) (string, bool) {
	current := run.responder.config.State().Fleet.Keys()
	usable := make([]planner.Searcher, 0, len(candidates))
	for _, c := range candidates {
		if current[c.Key()] {
			usable = append(usable, c)
		}
	}
	rule := declarer.TrafficRule{Locality: declarer.LocalityAny}
	now := time.Now()
	key, ok := run.responder.picker.PickAllowed(now, rule, usable, excluded, run.permitTaker(now))
	if !ok {
		return "", false
	}
	picked := run.picks[key]
	picked.searcher = usable[slices.IndexFunc(usable, func(s planner.Searcher) bool { return s.Key() == key })]
	run.picks[key] = picked
	return key, true
}

// spendBudget reports whether the retry budget, which all daemons share, allows
// another attempt. An attempt that follows one which put no load on a searcher needs
// no budget.
func (run *runner) spendBudget(shard string, extra gatherer.ExtraKind) bool {
	if extra == gatherer.ExtraReroute {
		return true
	}
	allowed := run.responder.budget.Spend(time.Now(), shard)
	if !allowed {
		run.responder.config.Metrics.budgetDenied.Inc()
		run.trail.retryDenied(shard)
	}
	return allowed
}

// apply performs the query's actions and reports whether the query is done.
func (run *runner) apply(actions gatherer.Actions) bool {
	for _, id := range actions.Cancels {
		run.cancel(id)
	}
	for _, send := range actions.Unsent {
		run.withdraw(send.Searcher)
	}
	for _, send := range actions.Sends {
		run.send(send)
	}
	return actions.Done
}

// send starts an attempt; its result arrives on the results channel.
func (run *runner) send(send gatherer.Send) {
	r := run.responder
	searcher := run.picks[send.Searcher].searcher
	r.config.Metrics.shardRequests.Inc()
	if send.Extra {
		r.config.Metrics.extraRequests.Inc()
	}
	now := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), run.call.deadline)
	run.pending[send.Attempt] = &pendingAttempt{searcher: searcher, shard: send.Shard, sentAt: now, cancel: cancel, extra: send.Extra}
	c := run.call
	target := newTarget(run.state, send.Shard, searcher)
	request := exchanger.Request{
		Method: c.method,
		Target: c.target,
		Host:   c.host,
		Header: platform.SearcherHeaders(c.header, searcher.Instance, c.deadline.Sub(now)),
		Body:   c.body,

		CheckNewConnection: !c.route.Idempotent,
		Matches:            func(h http.Header) bool { return platform.IsReplyTo(h, c.id) },
	}
	go func() {
		defer cancel()
		reply, err := r.exchanger.Do(ctx, target, request)
		run.report(result{attemptID: send.Attempt, reply: reply, err: err})
	}()
}

// report sends a result to the query unless the query has ended.
func (run *runner) report(res result) {
	select {
	case run.results <- res:
	case <-run.done:
	}
}

// cancel cancels an attempt because another one was faster or the query has ended. A caller
// that disconnects says nothing about the searcher.
func (run *runner) cancel(id uint64) {
	attempt, ok := run.pending[id]
	if !ok {
		return
	}
	delete(run.pending, id)
	run.cancelled[id] = true
	attempt.cancel()
	p, now := run.responder.picker, time.Now()
	p.Release(attempt.searcher.Key())
	if run.callerLeft {
		return
	}
	p.RecordAbandoned(now, attempt.searcher.Key(), now.Sub(attempt.sentAt))
	run.observeAbandoned(attempt, now.Sub(attempt.sentAt))
	run.trail.attemptEnded(attempt, now, "outrun")
}

// allCancelledUnsent waits for the cancelled attempts to end and reports whether
// none of them sent its request. A cancelled attempt ends immediately.
func (run *runner) allCancelledUnsent() bool {
	timer := time.NewTimer(cancelledWait)
	defer timer.Stop()
	for remaining := len(run.cancelled); remaining > 0; {
		select {
		case res := <-run.results:
			if !run.cancelled[res.attemptID] {
				continue
			}
			remaining--
			if !isUnsent(res.err) {
				return false
			}
		case <-timer.C:
			return false
		}
	}
	return true
}

// isUnsent reports whether an attempt's error proves that its request was not sent.
func isUnsent(err error) bool {
	return failer.Is(err, exchanger.KindDial) || failer.Is(err, exchanger.KindConnectionLimit) || failer.Is(err, exchanger.KindUnsent)
}
