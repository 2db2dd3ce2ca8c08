// Package responder answers callers' requests on the platform: it finds the
// route, sends the request to one searcher or to one of each shard, and answers
// with what came back and how whole it is.
package responder

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/budgeter"
	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
	"github.com/fuchsiastile/fuchsiastile/internal/exchanger"
	"github.com/fuchsiastile/fuchsiastile/internal/follower"
	"github.com/fuchsiastile/fuchsiastile/internal/hedger"
	"github.com/fuchsiastile/fuchsiastile/internal/picker"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/internal/scheduler"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

const (
	// answerReserve is kept back from a deadline for merging and the way back.
	answerReserve = 15 * time.Millisecond
	// objectiveReserve is kept back from an objective for the same and for a busy
	// processor, so that a thin answer still counts as timely.
	objectiveReserve = 15 * time.Millisecond
	// hedgeQuantile is the part of the shard requests that are not hedged for
	// being slow.
	hedgeQuantile = 0.95
	// maxEject bounds how long a searcher that fails is avoided: the platform
	// takes one that is dead off the list after three heartbeats.
	maxEject = 4 * time.Second
	// defaultWait is how long a request waits whose caller and route name no time.
	defaultWait = 10 * time.Second
	// sweepInterval is how often unused connections are looked at.
	sweepInterval = time.Second
	// coldTime is how long after its start a daemon lets requests wait for the first
	// state, which comes from a peer or the store within that time, and coldWait is
	// how long one of them waits.
	coldTime = time.Second
	coldWait = 200 * time.Millisecond
	// coldRetryAfter is when a caller should come back to a daemon, or another,
	// that knows no configuration yet.
	coldRetryAfter = 300 * time.Millisecond
	// busyRetryAfter is when a caller should come back that found no room.
	busyRetryAfter = 100 * time.Millisecond
)

// Config is what a responder needs from its surroundings.
type Config struct {
	Settings  platform.Settings
	Network   dialer.Network
	Scheduler *scheduler.Scheduler
	// State returns what is known of routes and searchers.
	State func() *follower.State
	// Ready is closed when the first state is there.
	Ready <-chan struct{}
	// OnDisplaced is told of a searcher whose address another process has, as this
	// daemon has found out.
	OnDisplaced func(key string)
	// Stopping reports whether the daemon stops; callers are told to leave.
	Stopping func() bool
	// DisabledPolicies lists policies that are switched off, for comparisons.
	DisabledPolicies []Policy
	Metrics          *Metrics
	Rand             *rand.Rand
}

// Responder is safe for concurrent use.
type Responder struct {
	config    Config
	picker    *picker.Picker
	budget    *budgeter.Budgeter
	exchanger *exchanger.Exchanger
	// attempts counts attempts; their ids never leave the process.
	attempts atomic.Uint64
	// turn places requests within the weights of a route's backends.
	turn atomic.Uint64

	// reached is the searchers as this daemon may dial them, made anew on demand.
	reached atomic.Pointer[reach]

	mu      sync.Mutex
	hedgers map[hedgerKey]*hedger.Hedger

	started time.Time
}

// hedgerKey tells requests apart whose latencies have nothing in common.
type hedgerKey struct {
	objective time.Duration
	rank      int
	gather    bool
}

// New returns a responder.
func New(config Config) *Responder {
	now := time.Now()
	replica := picker.PolicyLoadAware
	if slices.Contains(config.DisabledPolicies, PolicyLoadAware) {
		replica = picker.PolicyRandom
	}
	r := &Responder{
		config: config,
		picker: picker.New(picker.Config{
			FailureDomain: config.Settings.FailureDomain,
			Region:        config.Settings.Region,
			Policy:        replica,
			Rand:          config.Rand,
			Direct:        true,
			MaxEjection:   maxEject,
		}),
		budget:    budgeter.New(budgetOf(config.Settings.Bounds), now, config.Settings.Bootstrap),
		exchanger: exchanger.New(config.Network, config.Metrics.dials.Inc),
		hedgers:   map[hedgerKey]*hedger.Hedger{},
		started:   now,
	}
	r.turn.Store(config.Rand.Uint64())
	config.Scheduler.Every(sweepInterval, r.sweep)
	return r
}

func budgetOf(b platform.Bounds) budgeter.Config {
	return budgeter.Config{Ratio: b.RetryBudgetRatio, Slack: b.RetryBudgetSlack, Window: b.RetryBudgetWindow}
}

// ConfigureBudget takes a new state.
func (r *Responder) ConfigureBudget(bounds platform.Bounds, s *follower.State) {
	r.budget.Configure(budgetOf(bounds), s.Daemons)
}

func (r *Responder) sweep(now time.Time) {
	state := r.config.State()
	if !state.Ready() {
		return
	}
	keep := state.Fleet.Keys()
	r.exchanger.Sweep(now, keep)
	r.picker.Forget(now, keep)
	r.budget.Forget(func(service string) bool { return len(state.Fleet.Searchers(service)) > 0 })
	r.warm(state)
	r.config.Metrics.connections.Set(float64(r.exchanger.ConnectionCount()))
}

// MarkDisplaced takes a searcher out for good: another process has its address. Each
// request that goes there arrives at a searcher that did not ask for it, so that
// what one daemon finds out all are told.
func (r *Responder) MarkDisplaced(now time.Time, key string, own bool) {
	if !r.picker.MarkDraining(now, key) {
		return
	}
	r.exchanger.CloseIdle(key)
	klog.InfoS("searcher displaced", "searcher", key, "firstHand", own)
	if own {
		r.config.OnDisplaced(key)
	}
}

// Close ends the unused connections to searchers.
func (r *Responder) Close() { r.exchanger.Sweep(time.Now(), nil) }

// call is one request of a caller.
type call struct {
	id      string
	route   *planner.Route
	version uint64
	method  string
	// target is the path and query as the caller sent them.
	target string
	host   string
	header http.Header
	body   []byte
	// arrived is when the request's head had been read.
	arrived time.Time
	// deadline is when the answer must be given.
	deadline time.Time
}

// ServeHTTP answers one request.
func (r *Responder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	c, refusal := r.read(w, request)
	var a answer
	if refusal != nil {
		a = *refusal
	} else {
		a = r.answer(request, c)
	}
	if r.config.Stopping() {
		w.Header().Set("Connection", "close")
	}
	if a.gone {
		// The caller has left; nothing is owed.
		r.record(c, a)
		return
	}
	a.write(w, c.id)
	r.record(c, a)
}

// read takes a request and finds its route; a refusal comes in place of one that
// cannot be served.
func (r *Responder) read(w http.ResponseWriter, request *http.Request) (*call, *answer) {
	c := &call{
		id:      platform.RequestID(request.Header),
		method:  request.Method,
		target:  request.RequestURI,
		host:    request.Host,
		header:  platform.EndToEndHeaders(request.Header),
		arrived: time.Now(),
	}
	if !strings.HasPrefix(c.target, "/") {
		c.target = request.URL.RequestURI()
	}
	state := r.awaitState(request.Context(), c.arrived)
	if !state.Ready() {
		return c, refused(http.StatusServiceUnavailable, "no configuration is known yet").after(coldRetryAfter)
	}
	configuration := state.Table.Configuration()
	c.version = configuration.Version
	path, _, _ := strings.Cut(c.target, "?")
	route, ok := state.Table.Match(c.host, path)
	if !ok {
		return c, refused(http.StatusNotFound, "no route matches the host and path")
	}
	c.route = route
	if c.id == "" {
		return c, refused(http.StatusBadRequest, "the request has no id")
	}
	limits := configuration.Limits
	if limits.HeaderBytes > 0 && headerBytes(request.Header) > limits.HeaderBytes {
		return c, refused(http.StatusRequestHeaderFieldsTooLarge, "the headers are too large")
	}
	if refusal := c.readBody(w, request, limits.BodyBytes); refusal != nil {
		return c, refusal
	}
	c.deadline = c.arrived.Add(c.wait(request.Header) - answerReserve)
	return c, nil
}

// awaitState returns what is known; just after the start it waits a little for
// the first that decides requests, rather than send the caller away.
func (r *Responder) awaitState(ctx context.Context, now time.Time) *follower.State {
	state := r.config.State()
	if state.Ready() || now.Sub(r.started) > coldTime {
		return state
	}
	timer := time.NewTimer(coldWait)
	defer timer.Stop()
	select {
	case <-r.config.Ready:
	case <-timer.C:
	case <-ctx.Done():
	}
	return r.config.State()
}

// headerBytes is about how many bytes a request's headers took.
func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}

func (c *call) readBody(w http.ResponseWriter, request *http.Request, limit int64) *answer {
	if request.Body == nil || request.Body == http.NoBody {
		return nil
	}
	body := request.Body
	if limit > 0 {
		body = http.MaxBytesReader(w, body, limit)
	}
	var err error
	c.body, err = io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refused(http.StatusRequestEntityTooLarge, "the body is too large")
	case err != nil:
		return refused(http.StatusBadRequest, "the body did not arrive whole")
	default:
		return nil
	}
}

// wait is how long the request may take: the caller's time or the route's.
func (c *call) wait(h http.Header) time.Duration {
	wait := defaultWait
	if c.route.Timeout > 0 {
		wait = c.route.Timeout
	}
	if span, ok := platform.Deadline(h); ok {
		wait = min(wait, span)
	}
	return wait
}

// hedgerFor returns the latencies that requests like this one share.
func (r *Responder) hedgerFor(route *planner.Route) *hedger.Hedger {
	key := hedgerKey{objective: route.Objective, rank: route.Rank, gather: route.IsScatterGather()}
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.hedgers[key]
	if !ok {
		h = hedger.New(hedgeQuantile, 0)
		r.hedgers[key] = h
	}
	return h
}
