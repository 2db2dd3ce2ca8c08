// Package responder serves callers' HTTP requests on the platform. It matches a
// request to a route, sends it to one searcher or to one searcher of each shard,
// and responds with the reply or the merged replies and their shard coverage.
package responder

import (
	"context"
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
	"github.com/fuchsiastile/fuchsiastile/internal/limiter"
	"github.com/fuchsiastile/fuchsiastile/internal/picker"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/internal/reporter"
	"github.com/fuchsiastile/fuchsiastile/internal/scheduler"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

const (
	// responseReserve is subtracted from a request's deadline to leave time for
	// merging the replies and for sending the response.
	responseReserve = 15 * time.Millisecond
	// objectiveReserve is subtracted from a latency objective for the same reason
	// and for delays on a busy CPU, so that a partial response still meets the
	// objective.
	objectiveReserve = 15 * time.Millisecond
	// hedgeQuantile is the quantile of shard request latencies after which a request
	// counts as slow and is hedged.
	hedgeQuantile = 0.95
	// maxEjection limits how long a failing searcher is ejected. It need not be
	// longer, because the platform removes a dead searcher from its list after three
	// missed heartbeats.
	maxEjection = 4 * time.Second
	// defaultTimeout applies to a request if neither its caller nor its route sets a
	// timeout.
	defaultTimeout = 10 * time.Second
	// sweepInterval is the interval at which expired idle connections are closed and
	// missing ones are preconnected.
	sweepInterval = time.Second
	// startupPeriod is the time after its start during which a daemon delays requests
	// until it has a first state, which arrives from a peer or the store within that
	// time. startupWait is the maximum delay of one request.
	startupPeriod = time.Second
	startupWait   = 200 * time.Millisecond
	// startupRetryAfter is the Retry-After time sent while the daemon has no
	// configuration; the caller may retry at this daemon or at another.
	startupRetryAfter = 300 * time.Millisecond
	// maxDiscardedBytes is how much of the body of a refused request is read; net/http reads
	// as much on connections that stay open.
	maxDiscardedBytes = 256 << 10
	// unavailableRetryAfter is the Retry-After time sent if no searcher had capacity
	// for the request.
	unavailableRetryAfter = 100 * time.Millisecond
)

// Config holds the settings and dependencies of a Responder.
type Config struct {
	Settings  platform.Settings
	Network   dialer.Network
	Scheduler *scheduler.Scheduler
	// State returns the current routes and searchers.
	State func() *follower.State
	// Ready is closed when the first state is available.
	Ready <-chan struct{}
	// OnDisplaced is called with the key of a searcher when this daemon detects that
	// its address now belongs to another process.
	OnDisplaced func(key string)
	// SendReport sends observations to the other collectors of this failure domain and
	// reports whether this daemon is one. SendSummary sends pooled observations to the
	// other daemons of the failure domain.
	SendReport  func([]reporter.Observation) (isCollector bool)
	SendSummary func(reporter.Summary)
	// Stop returns the schedule of the daemon's shutdown; nil while it runs.
	Stop func() *Stop
	// Announce adds to the header of a response for how long the connection of its request,
	// whose context it gets, may be used again.
	Announce func(ctx context.Context, h http.Header)
	// Expired is closed at Stop.AnswerBy.
	Expired <-chan struct{}
	// DisabledPolicies lists policies to disable, for comparison measurements.
	DisabledPolicies []Policy
	Metrics          *Metrics
	Rand             *rand.Rand
}

// Responder is an http.Handler that serves callers' requests. It is safe for
// concurrent use.
type Responder struct {
	config    Config
	picker    *picker.Picker
	budget    *budgeter.Budgeter
	exchanger *exchanger.Exchanger
	reporter  *reporter.Reporter
	limiter   *limiter.Limiter
	// attempts is the last attempt ID. Attempt IDs are used only in this process.
	attempts atomic.Uint64
	// backendSequence is the number of the last request; the number selects the
	// request's backend by the weights of the route.
	backendSequence atomic.Uint64

	// cachedSubset is the last result of subsetFor. It is rebuilt when the fleet or
	// the number of daemons has changed.
	cachedSubset atomic.Pointer[searcherSubset]

	mu      sync.Mutex
	hedgers map[hedgerKey]*hedger.Hedger

	started time.Time
}

// hedgerKey identifies a class of requests with similar latencies.
type hedgerKey struct {
	objective     time.Duration
	rank          int
	scatterGather bool
}

// New returns a Responder and schedules its periodic sweep.
func New(config Config) *Responder {
	now := time.Now()
	replicaPolicy := picker.PolicyLoadAware
	if slices.Contains(config.DisabledPolicies, PolicyLoadAware) {
		replicaPolicy = picker.PolicyRandom
	}
	r := &Responder{
		config: config,
		picker: picker.New(picker.Config{
			FailureDomain: config.Settings.FailureDomain,
			Region:        config.Settings.Region,
			Policy:        replicaPolicy,
			Rand:          config.Rand,
			Direct:        true,
			MaxEjection:   maxEjection,
		}),
		budget:    budgeter.New(budgetConfig(config.Settings.Bounds), now, config.Settings.Bootstrap),
		exchanger: exchanger.New(config.Network, config.Metrics.dials.Inc),
		reporter:  reporter.New(),
		limiter:   limiter.New(now),
		hedgers:   map[hedgerKey]*hedger.Hedger{},
		started:   now,
	}
	r.backendSequence.Store(config.Rand.Uint64())
	r.ConfigureShares(config.Settings.Bounds, config.State())
	config.Scheduler.Every(sweepInterval, r.sweep)
	config.Scheduler.Every(reportInterval, r.shareObservations)
	return r
}

func budgetConfig(b platform.Bounds) budgeter.Config {
	return budgeter.Config{Ratio: b.RetryBudgetRatio, Slack: b.RetryBudgetSlack, Window: b.RetryBudgetWindow}
}

// ConfigureShares configures this daemon's shares of the retry budget and of the
// searchers' rate limits for new bounds or a new state.
func (r *Responder) ConfigureShares(bounds platform.Bounds, state *follower.State) {
	budget := budgetConfig(bounds)
	if !state.Joined {
		// Each daemon of a tier that cannot find the others would take the whole.
		budget.Slack = 0
	}
	r.budget.Configure(budget, state.Daemons)
	r.limiter.Configure(time.Now(), state.Daemons)
}

// sweep closes expired connections, deletes the state of removed searchers and
// services, and preconnects to searchers without a connection.
func (r *Responder) sweep(now time.Time) {
	state := r.config.State()
	if !state.Ready() {
		return
	}
	keep := state.Fleet.Keys()
	r.exchanger.Sweep(now, keep)
	r.picker.Forget(now, keep)
	r.reportRateLimits(now)
	r.budget.Forget(func(service string) bool { return len(state.Fleet.Searchers(service)) > 0 })
	r.preconnect(now, state)
	r.config.Metrics.connections.Set(float64(r.exchanger.ConnectionCount()))
}

// MarkDisplaced stops requests to a searcher whose address now belongs to another
// process. Each request to that address would reach the wrong searcher, so one
// daemon's detection is announced to all others. detectedLocally is false for a
// displacement that another daemon announced.
func (r *Responder) MarkDisplaced(now time.Time, key string, detectedLocally bool) {
	if !r.picker.MarkDraining(now, key) {
		return
	}
	r.exchanger.CloseIdle(key)
	klog.InfoS("searcher displaced", "searcher", key, "detectedLocally", detectedLocally)
	if detectedLocally {
		r.config.OnDisplaced(key)
	}
}

// markLeaving stops requests to a searcher whose reply says that it is about to exit, also
// while its registration does not, or cannot be read.
func (r *Responder) markLeaving(now time.Time, key string) {
	if !r.picker.MarkLeaving(now, key) {
		return
	}
	r.exchanger.CloseIdle(key)
	klog.InfoS("searcher leaves", "searcher", key)
}

// Close closes the idle connections to searchers.
func (r *Responder) Close() { r.exchanger.Sweep(time.Now(), nil) }

// callerRequest is a caller's request with its route and deadline.
type callerRequest struct {
	id      string
	route   *planner.Route
	version uint64
	method  string
	// target is the path and query as the caller sent them.
	target string
	host   string
	header http.Header
	body   []byte
	// arrived is the time at which the request's headers had been read.
	arrived time.Time
	// deadline is the time by which the searchers' replies are needed.
	deadline time.Time
}

// ServeHTTP implements http.Handler.
func (r *Responder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	c, errorResponse := r.readRequest(w, request)
	var resp response
	if errorResponse != nil {
		resp = *errorResponse
	} else {
		resp = r.execute(request, c)
	}
	r.config.Announce(request.Context(), w.Header())
	// A caller that left may still read, and net/http would send it an empty success.
	resp.write(w, c.id)
	r.record(c, resp)
	if errorResponse != nil && request.Close {
		discardBody(w, request, r.config.Expired)
	}
}

// readRequest reads a request and matches it to a route. It returns an error
// response if the request cannot be processed.
func (r *Responder) readRequest(w http.ResponseWriter, request *http.Request) (*callerRequest, *response) {
	c := &callerRequest{
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
	limitBodyTime(w, request, c.arrived.Add(c.timeout(request.Header)))
	state := r.awaitState(request.Context(), c.arrived)
	if !state.Ready() {
		return c, newErrorResponse(http.StatusServiceUnavailable, "no configuration is known yet").withRetryAfter(startupRetryAfter)
	}
	configuration := state.Table.Configuration()
	c.version = configuration.Version
	path, _, _ := strings.Cut(c.target, "?")
	route, ok := state.Table.Match(c.host, path)
	if !ok {
		return c, newErrorResponse(http.StatusNotFound, "no route matches the host and path")
	}
	c.route = route
	if c.id == "" {
		return c, newErrorResponse(http.StatusBadRequest, "the request has no id")
	}
	limits := configuration.Limits
	if limits.HeaderBytes > 0 && headerBytes(request.Header) > limits.HeaderBytes {
		return c, newErrorResponse(http.StatusRequestHeaderFieldsTooLarge, "the headers are too large")
	}
	limitBodyTime(w, request, c.arrived.Add(c.timeout(request.Header)))
	if errorResponse := c.readBody(w, request, limits.BodyBytes, r.config.Expired); errorResponse != nil {
		return c, errorResponse
	}
	if stop := r.config.Stop(); stop != nil && !stop.accepts(time.Now(), route.Objective) {
		return c, newErrorResponse(http.StatusServiceUnavailable, "the daemon is stopping").withRetryAfter(unavailableRetryAfter)
	}
	c.deadline = c.arrived.Add(c.timeout(request.Header) - responseReserve)
	return c, nil
}

// awaitState returns the current state. Shortly after startup it waits up to
// startupWait for the first usable state, so that the caller need not retry.
func (r *Responder) awaitState(ctx context.Context, now time.Time) *follower.State {
	state := r.config.State()
	if state.Ready() || now.Sub(r.started) > startupPeriod {
		return state
	}
	timer := time.NewTimer(startupWait)
	defer timer.Stop()
	select {
	case <-r.config.Ready:
	case <-timer.C:
	case <-ctx.Done():
	}
	return r.config.State()
}

// headerBytes returns the approximate size of a request's headers on the wire.
func headerBytes(h http.Header) int {
	size := 0
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// timeout returns how long the request may take: the route's timeout or, if there is none,
// the default one, shortened to the caller's if that is less.
func (c *callerRequest) timeout(h http.Header) time.Duration {
	timeout := defaultTimeout
	if c.route != nil && c.route.Timeout > 0 {
		timeout = c.route.Timeout
	}
	if callerTimeout, ok := platform.RequestTimeout(h); ok {
		timeout = min(timeout, callerTimeout)
	}
	return timeout
}

// hedgerFor returns the hedger shared by requests of the route's class, which
// derives the hedge delay from their latencies.
func (r *Responder) hedgerFor(route *planner.Route) *hedger.Hedger {
	key := hedgerKey{objective: route.Objective, rank: route.Rank, scatterGather: route.IsScatterGather()}
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.hedgers[key]
	if !ok {
		h = hedger.New(hedgeQuantile, 0)
		r.hedgers[key] = h
	}
	return h
}
