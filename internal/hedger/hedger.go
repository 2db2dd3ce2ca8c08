// Package hedger decides when a slow shard may be tried a second time and
// keeps the extra load of hedges and retries within a budget. It does no
// input or output.
package hedger

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowSize is how many latencies make a window before the older one is dropped.
	windowSize = 4000
	// minSamples is how many latencies are needed before the quantile is used.
	minSamples = 100
	// defaultDelay is used until then.
	defaultDelay = 25 * time.Millisecond
	// minDelay keeps hedges from following the request at once.
	minDelay = time.Millisecond
	// maxLatencyMicros is the largest latency that is told apart.
	maxLatencyMicros = 60_000_000
	// burst is the budget, in requests, that may be saved up.
	burst = 50
	// failureBudget is the share of requests that may be retried after failures.
	failureBudget = 0.1
	// failureBurst is the budget for those, in requests, that may be saved up.
	failureBurst = 200
	// queueSmoothing is the weight of one reply in the share of replies that saw a queue.
	queueSmoothing = 0.01
	// refillFloor is the share of the refill that is left when every reply saw a queue.
	refillFloor = 0.1
	// farRoundTrip is what a second attempt may need for the way to another region and back.
	farRoundTrip = 24 * time.Millisecond
	// newConnection is what a second attempt needs besides where no connection is
	// kept open for it: one more round trip and the server's handshake.
	newConnection = 30 * time.Millisecond
	// secondFactor times the usual latency is the time that a second attempt is given.
	secondFactor = 2
	// blindShare is the part of the objective that passes before a hedge while
	// too few latencies are known.
	blindShare = 3
)

// Hedger keeps the latencies of one class on one service and its budget.
// It is safe for concurrent use.
type Hedger struct {
	mu       sync.Mutex
	quantile float64
	budget   float64
	older    *hdrhistogram.Histogram
	newer    *hdrhistogram.Histogram
	// tokens is how many extra requests may be sent now; never above burst.
	tokens float64
	// failureTokens is how many retries after failures may be sent now; never above failureBurst.
	failureTokens float64
	// queueing is the smoothed share of replies that reported a queue.
	queueing  float64
	unlimited bool
	// delay is the cached quantile; it is refreshed as latencies come in.
	delay time.Duration
	// usual is the cached median latency.
	usual time.Duration
	count int
}

// New returns a hedger for a quantile (0 turns hedging off) and a budget, the
// share of requests that may be sent in addition.
func New(quantile, budget float64) *Hedger {
	return &Hedger{
		quantile: quantile,
		budget:   budget,
		older:    hdrhistogram.New(1, maxLatencyMicros, 2),
		newer:    hdrhistogram.New(1, maxLatencyMicros, 2),
		tokens:   burst / 2,

		failureTokens: failureBurst,
		delay:         defaultDelay,
	}
}

// WithUnlimitedBudget returns a hedger whose budget never runs out, as a baseline.
func (h *Hedger) WithUnlimitedBudget() *Hedger {
	h.unlimited = true
	return h
}

// RecordFirstAttempts counts first attempts, which earn budget.
func (h *Hedger) RecordFirstAttempts(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	refill := max(refillFloor, 1-h.queueing)
	h.tokens = min(burst, h.tokens+float64(n)*h.budget*refill)
	h.failureTokens = min(failureBurst, h.failureTokens+float64(n)*failureBudget)
}

// RecordLatency learns the latency of one shard request and whether its server had a queue.
func (h *Hedger) RecordLatency(latency time.Duration, queued bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.newer.RecordValue(max(1, min(latency.Microseconds(), maxLatencyMicros)))
	seen := 0.0
	if queued {
		seen = 1
	}
	h.queueing += queueSmoothing * (seen - h.queueing)
	h.count++
	if h.count%minSamples == 0 {
		h.refresh()
	}
	if h.newer.TotalCount() >= windowSize {
		h.older, h.newer = h.newer, h.older
		h.newer.Reset()
	}
}

func (h *Hedger) refresh() {
	source := h.older
	if source.TotalCount() < minSamples {
		source = h.newer
	}
	micros := source.ValueAtQuantile(100 * h.quantile)
	h.delay = max(minDelay, time.Duration(micros)*time.Microsecond)
	h.usual = time.Duration(source.ValueAtQuantile(50)) * time.Microsecond
}

// Delay returns how long to wait before a hedge; ok is false where hedging is off.
func (h *Hedger) Delay() (delay time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.delay, h.quantile > 0
}

// DelayWithin returns how long to wait before a hedge whose answer is wanted
// within the objective: the quantile of the latencies, or earlier where the
// second answer would come too late; warm tells whether a connection is kept
// open for it.
func (h *Hedger) DelayWithin(objective time.Duration, warm bool) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if objective <= 0 {
		return h.delay
	}
	if h.count < minSamples {
		return objective / blindShare
	}
	latest := objective - farRoundTrip - secondFactor*h.usual
	if !warm {
		latest -= newConnection
	}
	return max(minDelay, min(h.delay, max(latest, h.usual)))
}

// Spend takes one hedge, or one retry after a refusal for lack of room, from
// the budget, if it has one.
func (h *Hedger) Spend() bool { return h.take(&h.tokens) }

// SpendFailureRetry takes one retry after a failure from the budget for those. It
// is larger, since a failing server is ejected soon, and since without a retry
// the answer would be thin.
func (h *Hedger) SpendFailureRetry() bool { return h.take(&h.failureTokens) }

func (h *Hedger) take(tokens *float64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unlimited {
		return true
	}
	if *tokens < 1 {
		return false
	}
	*tokens--
	return true
}
