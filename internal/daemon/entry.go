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
	// mergeReserve is kept back from a deadline for merging and replying.
	mergeReserve = 2 * time.Millisecond
	// maxHits is how many hits an answer holds.
	maxHits = 100
)

// sentAttempt is where an attempt went.
type sentAttempt struct {
	searcher string
	gateway  string
	at       time.Time
}

// runner drives the state machine of one query.
type runner struct {
	daemon   *Daemon
	query    *gatherer.Query
	hedger   *hedger.Hedger
	id       string
	service  string
	class    declarer.Class
	body     []byte
	deadline time.Time
	// turn spreads queries over the gateways of a group.
	turn uint64
	// out holds the attempts that have not ended.
	out     map[uint64]sentAttempt
	results chan *messenger.ShardResult
}

// deadlineOf returns how long a request may take: the class's deadline, or the
// caller's where it is shorter.
func deadlineOf(class declarer.Class, wanted time.Duration) time.Duration {
	limit := time.Duration(class.Deadline)
	if wanted > 0 && wanted < limit {
		return wanted
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
		return caller.Answer{}, failer.New("admit", KindOverloaded, "class %q is refused while backend servers are overloaded", class.Name)
	}
	r := d.newRunner(request, id, class, plan, started)
	r.run(ctx)
	return r.answer(started), nil
}

func (d *Daemon) newRunner(request caller.Request, id string, class declarer.Class, plan planner.Plan, now time.Time) *runner {
	wanted := time.Duration(request.DeadlineMillis) * time.Millisecond
	r := &runner{
		daemon:   d,
		hedger:   d.hedgerFor(class, plan),
		id:       id,
		service:  request.Service,
		class:    class,
		body:     request.Body,
		deadline: now.Add(deadlineOf(class, wanted) - mergeReserve),
		turn:     xxhash.Sum64String(id),
		out:      make(map[uint64]sentAttempt, len(plan.Shards)),
		results:  make(chan *messenger.ShardResult, len(plan.Shards)+8),
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
		TakeBudget:  r.spend,
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

// spend asks the budget for a further attempt.
func (r *runner) spend(_ string, extra gatherer.ExtraKind) bool {
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

// hedgerFor returns the hedger that all queries of a class on a service share.
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

// run feeds events to the state machine until the query has ended.
func (r *runner) run(ctx context.Context) {
	driver.Driver[*messenger.ShardResult]{
		Query:     r.query,
		Scheduler: r.daemon.scheduler,
		Results:   r.results,
		Perform:   r.perform,
		Deliver:   r.deliver,
		CancelAll: r.abandon,
	}.Run(ctx)
}

// perform carries out the actions of the state machine and reports whether it is done.
func (r *runner) perform(actions gatherer.Actions) bool {
	r.cancel(actions.Cancels)
	now := time.Now()
	byGateway := map[string]*messenger.QueryBatch{}
	for _, send := range actions.Sends {
		r.stage(now, send, byGateway)
	}
	r.hedger.RecordFirstAttempts(firstAttempts(actions.Sends))
	for gateway, batch := range byGateway {
		r.daemon.submit(gateway, batch, r.collect)
	}
	return actions.Done
}

// firstAttempts counts the sends that are no hedges or retries.
func firstAttempts(sends []gatherer.Send) int {
	n := 0
	for _, send := range sends {
		if !send.Extra {
			n++
		}
	}
	return n
}

// stage puts one shard request into the batch of its gateway.
func (r *runner) stage(now time.Time, send gatherer.Send, byGateway map[string]*messenger.QueryBatch) {
	turn := r.turn
	if send.Extra {
		turn += send.Attempt
		r.daemon.metrics.extraRequests.Inc()
	}
	r.daemon.metrics.shardRequests.Inc()
	gateway, ok := r.daemon.gatewayFor(send.Searcher, turn)
	r.out[send.Attempt] = sentAttempt{searcher: send.Searcher, gateway: gateway, at: now}
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

func (r *runner) newBatch(now time.Time, snapshot string) *messenger.QueryBatch {
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

// submit hands a batch to this daemon's own gateway or to a peer's.
func (d *Daemon) submit(gateway string, batch *messenger.QueryBatch, deliver func(*messenger.ShardResult)) {
	if gateway == d.settings.PeerAddress {
		d.sender.Submit(batch, deliver)
		return
	}
	d.linker.Submit(gateway, batch, deliver)
}

// collect takes results from any goroutine. Once the query has ended nobody
// reads them, so it never blocks: the channel holds a result for every attempt
// that a query of this size may make at once, and what overflows is handed over
// by a goroutine that ends with the deadline.
func (r *runner) collect(result *messenger.ShardResult) {
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

func (r *runner) deliver(result *messenger.ShardResult) bool {
	sent, ok := r.out[result.GetAttempt()]
	if !ok {
		return false
	}
	now := time.Now()
	delete(r.out, result.GetAttempt())
	r.daemon.learn(now, r.hedger, sent, result)
	return r.perform(r.query.Deliver(now, replyOf(result)))
}

// cancel gives attempts up at their gateways and learns from how long they took.
func (r *runner) cancel(attempts []uint64) {
	if len(attempts) == 0 {
		return
	}
	now := time.Now()
	byGateway := map[string][]uint64{}
	for _, attempt := range attempts {
		sent, ok := r.out[attempt]
		if !ok {
			continue
		}
		delete(r.out, attempt)
		r.daemon.picker.Release(sent.searcher)
		r.daemon.picker.RecordAbandoned(now, sent.searcher, now.Sub(sent.at))
		byGateway[sent.gateway] = append(byGateway[sent.gateway], attempt)
	}
	for gateway, list := range byGateway {
		r.daemon.cancel(gateway, list)
	}
}

func (d *Daemon) cancel(gateway string, attempts []uint64) {
	if gateway == d.settings.PeerAddress {
		d.sender.Cancel(attempts)
		return
	}
	d.linker.Cancel(gateway, attempts)
}

// abandon gives up everything that is out, since the caller is gone.
func (r *runner) abandon() {
	attempts := make([]uint64, 0, len(r.out))
	for attempt := range r.out {
		attempts = append(attempts, attempt)
	}
	r.cancel(attempts)
}
