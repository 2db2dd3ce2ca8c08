package daemon

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/driver"
	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/gatherer"
	"github.com/fuchsiastile/fuchsiastile/internal/hedger"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/pkg/caller"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

const (
	// mergeReserve is subtracted from a request's deadline to leave time for
	// merging the results and replying.
	mergeReserve = 2 * time.Millisecond
	// maxHits is the maximum number of hits in an answer.
	maxHits = 100
)

// sentAttempt records the target and the send time of an attempt.
type sentAttempt struct {
	searcher string
	gateway  string
	sentAt   time.Time
}

// queryRunner feeds events to the state machine of one query and carries out its
// actions.
type queryRunner struct {
	daemon   *Daemon
	query    *gatherer.Query
	hedger   *hedger.Hedger
	id       string
	service  string
	class    declarer.Class
	body     []byte
	deadline time.Time
	// gatewayHash selects the gateway of a searcher, so that queries are spread
	// over the gateways of a group.
	gatewayHash uint64
	// inFlight holds the attempts without a result, by attempt ID.
	inFlight map[uint64]sentAttempt
	results  chan *messenger.ShardResult
}

// requestTimeout returns the time limit of a request: the deadline of its class
// or, if shorter, the one that the caller requested.
func requestTimeout(class declarer.Class, requested time.Duration) time.Duration {
	limit := time.Duration(class.Deadline)
	if requested > 0 && requested < limit {
		return requested
	}
	return limit
}

// search runs one idempotent query and returns its answer.
func (d *Daemon) search(ctx context.Context, request caller.Request, id string) (caller.Answer, error) {
	started := time.Now()
	view := d.documents.View()
	class, err := view.Class(request.Class)
	if err != nil {
		return caller.Answer{}, err
	}
	plan, err := view.Plan(request.Service)
	if err != nil {
		return caller.Answer{}, err
	}
	if d.settings.Policy.AdmissionGate && !d.gate.Admit(started, class.Priority) {
		return caller.Answer{}, failer.New("admit", KindOverloaded, "requests of class %q are rejected while backend servers are overloaded", class.Name)
	}
	timeout := requestTimeout(class, time.Duration(request.DeadlineMillis)*time.Millisecond)
	if err := d.checkStop(started, timeout); err != nil {
		return caller.Answer{}, err
	}
	r := d.newRunner(request, id, class, plan, started.Add(timeout-mergeReserve))
	r.run(ctx)
	return r.mergedAnswer(started), nil
}

func (d *Daemon) newRunner(request caller.Request, id string, class declarer.Class, plan planner.Plan, deadline time.Time) *queryRunner {
	r := &queryRunner{
		daemon:      d,
		hedger:      d.hedgerFor(class, plan),
		id:          id,
		service:     request.Service,
		class:       class,
		body:        request.Body,
		deadline:    deadline,
		gatewayHash: xxhash.Sum64String(id),
		inFlight:    make(map[uint64]sentAttempt, len(plan.Shards)),
		results:     make(chan *messenger.ShardResult, len(plan.Shards)+8),
	}
	delay, hedging := r.hedger.Delay()
	if !hedging {
		delay = 0
	}
	r.query = gatherer.New(gatherer.Config{
		RequestID:   id,
		Plan:        plan,
		Class:       class,
		Deadline:    r.deadline,
		HedgeDelay:  delay,
		NextAttempt: d.nextAttempt,
		SpendBudget: r.allowExtra,
		Pick: func(candidates []planner.Searcher, excluded []string) (string, bool) {
			return d.picker.Pick(time.Now(), plan.Rule, candidates, excluded)
		},
		Replan: func() (planner.Plan, bool) {
			plan, err := d.documents.View().Plan(request.Service)
			return plan, err == nil
		},
	})
	return r
}

// allowExtra reports whether a further attempt may be sent, and charges it to the
// hedger's budgets: retries after a failure have a budget of their own, hedges and
// retries after a refusal for overload share the other. An ExtraReroute is free.
func (r *queryRunner) allowExtra(_ string, extra gatherer.ExtraKind) bool {
	switch extra {
	case gatherer.ExtraReroute:
		return true
	case gatherer.ExtraFailure:
		return r.hedger.SpendFailureRetry()
	case gatherer.ExtraHedge, gatherer.ExtraOverload:
		return r.hedger.Spend()
	default:
		return false
	}
}

// hedgerFor returns the hedger shared by all queries of a class and service.
func (d *Daemon) hedgerFor(class declarer.Class, plan planner.Plan) *hedger.Hedger {
	key := hedgerKey{class: class.Name, service: plan.Service.Name}
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.hedgers[key]
	if ok {
		return h
	}
	quantile := plan.Rule.Hedge.Quantile
	if !d.settings.Policy.Hedge {
		quantile = 0
	}
	h = hedger.New(quantile, plan.Rule.Hedge.Budget)
	if !d.settings.Policy.RetryBudget {
		h = h.WithUnlimitedBudget()
	}
	d.hedgers[key] = h
	return h
}

// run drives the state machine until the query has ended.
func (r *queryRunner) run(ctx context.Context) {
	driver.Driver[*messenger.ShardResult]{
		Query:     r.query,
		Scheduler: r.daemon.scheduler,
		Results:   r.results,
		Perform:   r.perform,
		Expired:   r.daemon.expired,
		Deliver:   r.deliver,
	}.Run(ctx)
}

// perform carries out the actions of the state machine and reports whether the
// query has ended.
func (r *queryRunner) perform(actions gatherer.Actions) bool {
	r.cancel(actions.Cancels)
	for _, send := range actions.Unsent {
		r.daemon.picker.Release(send.Searcher)
	}
	now := time.Now()
	byGateway := map[string]*messenger.QueryBatch{}
	for _, send := range actions.Sends {
		r.addToBatch(now, send, byGateway)
	}
	r.hedger.RecordFirstAttempts(countFirstAttempts(actions.Sends))
	for gateway, batch := range byGateway {
		r.daemon.submit(gateway, batch, r.collect)
	}
	return actions.Done
}

// countFirstAttempts returns the number of sends that are neither hedges nor retries.
func countFirstAttempts(sends []gatherer.Send) int {
	n := 0
	for _, send := range sends {
		if !send.Extra {
			n++
		}
	}
	return n
}

// addToBatch adds a shard request to the batch for its gateway. If no gateway is
// available, the attempt ends as not run.
func (r *queryRunner) addToBatch(now time.Time, send gatherer.Send, byGateway map[string]*messenger.QueryBatch) {
	gatewayHash := r.gatewayHash
	if send.Extra {
		gatewayHash += send.Attempt
		r.daemon.metrics.extraRequests.Inc()
	}
	r.daemon.metrics.shardRequests.Inc()
	gateway, ok := r.daemon.gatewayFor(send.Searcher, gatewayHash)
	r.inFlight[send.Attempt] = sentAttempt{searcher: send.Searcher, gateway: gateway, sentAt: now}
	if !ok {
		r.collect(&messenger.ShardResult{Attempt: send.Attempt, Outcome: messenger.Outcome_NOT_RUN, Reason: messenger.Reason_NOT_GATEWAY})
		return
	}
	batch, ok := byGateway[gateway]
	if !ok {
		batch = r.newBatch(now, send.Snapshot)
		byGateway[gateway] = batch
	}
	batch.Calls = append(batch.Calls, &messenger.ShardCall{Attempt: send.Attempt, Searcher: send.Searcher, Shard: send.Shard})
}

func (r *queryRunner) newBatch(now time.Time, snapshot string) *messenger.QueryBatch {
	return &messenger.QueryBatch{
		RequestId:       r.id,
		Service:         r.service,
		Snapshot:        snapshot,
		Class:           r.class.Name,
		Priority:        int32(r.class.Priority),
		RemainingMicros: r.deadline.Sub(now).Microseconds(),
		Body:            r.body,
	}
}

// submit passes a batch to the sender of this daemon or to a peer that is the gateway.
func (d *Daemon) submit(gateway string, batch *messenger.QueryBatch, deliver func(*messenger.ShardResult)) {
	if gateway == d.settings.PeerAddress {
		d.sender.Submit(batch, deliver)
		return
	}
	d.linker.Submit(gateway, batch, deliver)
}

// collect queues a result for the query. It may be called from any goroutine and
// never blocks, because the channel has no reader after the query has ended. The
// channel has room for every attempt that a query of this size may have in
// flight at once. A result beyond that is queued by a goroutine, which drops it at
// the deadline.
func (r *queryRunner) collect(result *messenger.ShardResult) {
	select {
	case r.results <- result:
	default:
		go func() {
			select {
			case r.results <- result:
			case <-time.After(time.Until(r.deadline)):
			}
		}()
	}
}

// deliver passes a result to the state machine and reports whether the query has
// ended. Results of attempts that are not in flight are ignored.
func (r *queryRunner) deliver(result *messenger.ShardResult) bool {
	sent, ok := r.inFlight[result.GetAttempt()]
	if !ok {
		return false
	}
	now := time.Now()
	delete(r.inFlight, result.GetAttempt())
	r.daemon.recordResult(now, r.hedger, sent, result)
	return r.perform(r.query.Deliver(now, replyOf(result)))
}

// cancel cancels attempts at their gateways. The picker records for each searcher
// how long the attempt had been running without a reply.
func (r *queryRunner) cancel(attempts []uint64) {
	if len(attempts) == 0 {
		return
	}
	now := time.Now()
	byGateway := map[string][]uint64{}
	for _, attempt := range attempts {
		sent, ok := r.inFlight[attempt]
		if !ok {
			continue
		}
		delete(r.inFlight, attempt)
		r.daemon.picker.Release(sent.searcher)
		r.daemon.picker.RecordAbandoned(now, sent.searcher, now.Sub(sent.sentAt))
		byGateway[sent.gateway] = append(byGateway[sent.gateway], attempt)
	}
	for gateway, gatewayAttempts := range byGateway {
		r.daemon.cancel(gateway, gatewayAttempts)
	}
}

func (d *Daemon) cancel(gateway string, attempts []uint64) {
	if gateway == d.settings.PeerAddress {
		d.sender.Cancel(attempts)
		return
	}
	d.linker.Cancel(gateway, attempts)
}
