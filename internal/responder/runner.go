package responder

import (
	"context"
	"math"
	"net/http"
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
	// goldenRatio spreads consecutive requests evenly over the weights.
	goldenRatio = 0.6180339887498949
	// proofWait bounds waiting for the ends of cancelled attempts.
	proofWait = 30 * time.Millisecond
	// sparePlaces is room in the channel of results for retries.
	sparePlaces = 8
)

// runner drives one request.
type runner struct {
	responder *Responder
	call      *call
	state     *follower.State
	query     *gatherer.Query
	hedger    *hedger.Hedger
	ctx       context.Context
	// out holds the attempts that have not ended.
	out     map[uint64]*sent
	results chan result
	// done is closed when nobody takes results any more.
	done chan struct{}
	// replies holds the searchers' replies by attempt.
	replies map[uint64]exchanger.Reply
	// failure is a searcher's own failure that may be passed on.
	failure *exchanger.Reply
	// givenUp holds the attempts that were cancelled.
	givenUp map[uint64]bool
	trail   trail
	gone    bool
}

// sent is an attempt that has not ended.
type sent struct {
	searcher planner.Searcher
	shard    string
	at       time.Time
	cancel   context.CancelFunc
	extra    bool
}

// result is the end of an attempt.
type result struct {
	attempt uint64
	reply   exchanger.Reply
	err     error
}

// answer runs a request and returns what its caller gets.
func (r *Responder) answer(request *http.Request, c *call) answer {
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
		out:       make(map[uint64]*sent, len(plan.Shards)),
		results:   make(chan result, len(plan.Shards)+sparePlaces),
		done:      make(chan struct{}),
		replies:   make(map[uint64]exchanger.Reply, len(plan.Shards)),
		givenUp:   map[uint64]bool{},
	}
	defer close(run.done)
	run.query = gatherer.New(run.queryConfig(plan))
	driver.Driver[result]{
		Query:     run.query,
		Scheduler: r.config.Scheduler,
		Results:   run.results,
		Perform:   run.perform,
		Deliver:   run.deliver,
		CancelAll: run.abandon,
	}.Run(run.ctx)
	return run.answer()
}

// plan names the shards of a route and their searchers; a request for one
// searcher is a plan of one shard.
func (r *Responder) plan(route *planner.Route, state *follower.State) planner.Plan {
	plan := planner.Plan{Snapshot: "current"}
	services := route.Shards
	if !route.IsScatterGather() {
		point := math.Mod(float64(r.turn.Add(1)%(1<<32))*goldenRatio, 1)
		services = []string{route.Backend(point)}
	}
	searchers := r.reachOf(state).searchers
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
		Class:          declarer.Class{Answer: declarer.AnswerLateFull},
		Deadline:       c.deadline,
		MaxSearchers:   c.route.MaxSearchers,
		AtMostOnce:     !c.route.Idempotent,
		RequiredShards: 1,
		NextAttempt:    func() uint64 { return r.attempts.Add(1) },
		TakeBudget:     run.spend,
		Pick:           run.pick,
		Replan:         func() (planner.Plan, bool) { return planner.Plan{}, false },
	}
	if c.route.Idempotent && r.has(PolicyHedge) {
		config.HedgeDelay = run.hedgeDelay(plan)
	}
	if !c.route.IsScatterGather() {
		return config
	}
	config.RequiredShards = c.route.NeededShards()
	if r.has(PolicySkipUnresponsive) {
		config.Unavailable = func(shard planner.Shard) bool { return r.picker.AllUnavailable(time.Now(), shard.Candidates) }
	}
	if r.has(PolicyPartialResponse) {
		config.PartialAnswerAt = c.arrived.Add(c.route.Objective - objectiveReserve)
	}
	return config
}

func (run *runner) hedgeDelay(plan planner.Plan) time.Duration {
	if !run.responder.has(PolicyEarlyHedge) {
		delay, _ := run.hedger.Delay()
		return delay
	}
	return run.hedger.DelayWithin(run.call.route.Objective, isWarm(run.state, plan.Shards[0].Name))
}

// pick chooses among the candidates that still take work.
func (run *runner) pick(candidates []planner.Searcher, excluded []string) (string, bool) {
	current := run.responder.config.State().Fleet.Keys()
	usable := make([]planner.Searcher, 0, len(candidates))
	for _, c := range candidates {
		if current[c.Key()] {
			usable = append(usable, c)
		}
	}
	rule := declarer.TrafficRule{Locality: declarer.LocalityAny}
	return run.responder.picker.Pick(time.Now(), rule, usable, excluded)
}

// spend asks the budget that all daemons share for a further attempt.
func (run *runner) spend(shard string, extra gatherer.ExtraKind) bool {
	if extra == gatherer.ExtraReroute {
		return true
	}
	ok := run.responder.budget.Spend(time.Now(), shard)
	if !ok {
		run.responder.config.Metrics.budgetDenied.Inc()
		run.trail.denied(shard)
	}
	return ok
}

func (run *runner) perform(actions gatherer.Actions) bool {
	for _, attempt := range actions.Cancels {
		run.cancel(attempt)
	}
	for _, send := range actions.Sends {
		run.send(send)
	}
	return actions.Done
}

func (run *runner) send(send gatherer.Send) {
	r := run.responder
	searcher, ok := run.find(send.Shard, send.Searcher)
	if !ok {
		go run.hand(result{attempt: send.Attempt, err: failer.New("send", exchanger.KindUnsent, "the searcher is gone")})
		return
	}
	r.config.Metrics.shardRequests.Inc()
	if send.Extra {
		r.config.Metrics.extraRequests.Inc()
	}
	now := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), run.call.deadline)
	run.out[send.Attempt] = &sent{searcher: searcher, shard: send.Shard, at: now, cancel: cancel, extra: send.Extra}
	c := run.call
	target := targetOf(run.state, send.Shard, searcher)
	request := exchanger.Request{
		Method: c.method,
		Target: c.target,
		Host:   c.host,
		Header: platform.SearcherHeaders(c.header, searcher.Instance, c.deadline.Sub(now)),
		Body:   c.body,

		CheckNewConnection: !c.route.Idempotent,
		Owns:               func(h http.Header) bool { return platform.IsReplyTo(h, c.id) },
	}
	go func() {
		defer cancel()
		reply, err := r.exchanger.Do(ctx, target, request)
		run.hand(result{attempt: send.Attempt, reply: reply, err: err})
	}()
}

// hand passes a result to the query, unless that has ended.
func (run *runner) hand(res result) {
	select {
	case run.results <- res:
	case <-run.done:
	}
}

// find returns the searcher with a key.
func (run *runner) find(shard, key string) (planner.Searcher, bool) {
	for _, s := range run.state.Fleet.Searchers(shard) {
		if s.Key() == key {
			return s, true
		}
	}
	return planner.Searcher{}, false
}

// cancel gives an attempt up, since another was faster or the query has ended.
func (run *runner) cancel(attempt uint64) {
	s, ok := run.out[attempt]
	if !ok {
		return
	}
	delete(run.out, attempt)
	run.givenUp[attempt] = true
	s.cancel()
	p, now := run.responder.picker, time.Now()
	p.Release(s.searcher.Key())
	p.RecordAbandoned(now, s.searcher.Key(), now.Sub(s.at))
	run.trail.ended(s, now, "outrun")
}

// neverSent waits for the ends of what was given up and reports whether none of
// it was sent. A cancelled attempt ends at once.
func (run *runner) neverSent() bool {
	timer := time.NewTimer(proofWait)
	defer timer.Stop()
	for left := len(run.givenUp); left > 0; {
		select {
		case res := <-run.results:
			if !run.givenUp[res.attempt] {
				continue
			}
			left--
			if !isUnsent(res.err) {
				return false
			}
		case <-timer.C:
			return false
		}
	}
	return true
}

// isUnsent reports whether an attempt's end proves that nothing was sent.
func isUnsent(err error) bool {
	return failer.Is(err, exchanger.KindDial) || failer.Is(err, exchanger.KindConnectionLimit) || failer.Is(err, exchanger.KindUnsent)
}

func (run *runner) abandon() {
	run.gone = true
	for attempt, s := range run.out {
		delete(run.out, attempt)
		s.cancel()
		run.responder.picker.Release(s.searcher.Key())
	}
}
