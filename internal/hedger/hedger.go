// Package hedger decides when a slow shard request may be hedged and limits the
// additional load of hedges and retries by a budget. It performs no I/O.
package hedger

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramWindow is the number of samples at which the current latency
	// histogram replaces the previous one.
	histogramWindow = 4000
	// minSamples is the number of latency samples needed before the quantile is used.
	minSamples = 100
	// defaultHedgeDelay is the hedge delay until minSamples have been recorded.
	defaultHedgeDelay = 25 * time.Millisecond
	// minHedgeDelay prevents a hedge from being sent immediately after the request.
	minHedgeDelay = time.Millisecond
	// maxRecordedMicros is the highest latency that the histograms can record;
	// higher ones are clamped to it.
	maxRecordedMicros = 60_000_000
	// budgetBurst is the maximum number of unused tokens in the budget for hedges
	// and for retries after refusals.
	budgetBurst = 50
	// failureRetryRatio is the fraction of requests that may be retried after failures.
	failureRetryRatio = 0.1
	// failureRetryBurst is the maximum number of unused tokens in that budget.
	failureRetryBurst = 200
	// queuedRatioSmoothing is the weight of one reply in the ratio of replies that
	// reported a queue.
	queuedRatioSmoothing = 0.01
	// minRefillFactor is the fraction of the refill that remains if every reply
	// reported a queue.
	minRefillFactor = 0.1
	// crossRegionRTT is the network round-trip time that a hedge may need to a
	// server in another region.
	crossRegionRTT = 24 * time.Millisecond
	// connectionSetupTime is the additional time that a hedge needs if no connection
	// is open for it: one more round trip and the handshake of the server.
	connectionSetupTime = 30 * time.Millisecond
	// hedgeLatencyFactor is the time allowed for a hedge, as a multiple of the
	// median latency.
	hedgeLatencyFactor = 2
	// coldObjectiveDivisor divides the latency objective to get the hedge delay
	// while there are fewer than minSamples latency samples.
	coldObjectiveDivisor = 3
)

// Hedger tracks the latencies and the budget of one request class on one service.
// It is safe for concurrent use.
type Hedger struct {
	mu          sync.Mutex
	quantile    float64
	budgetRatio float64
	// previous and current are the latency histograms of the last two windows. The
	// quantiles come from previous unless it has fewer than minSamples samples.
	previous *hdrhistogram.Histogram
	current  *hdrhistogram.Histogram
	// tokens is the number of hedges and retries after refusals that may be sent
	// now. It never exceeds budgetBurst.
	tokens float64
	// failureRetryTokens is the number of retries after failures that may be sent
	// now. It never exceeds failureRetryBurst.
	failureRetryTokens float64
	// queuedRatio is the moving average of the ratio of replies that reported a queue.
	queuedRatio float64
	unlimited   bool
	// delay is the cached latency quantile, updated after every minSamples samples.
	delay time.Duration
	// median is the cached median latency.
	median  time.Duration
	samples int
}

// New returns a hedger that hedges at the given latency quantile (0 disables
// hedging). budgetRatio is the number of additional requests allowed per request.
func New(quantile, budgetRatio float64) *Hedger {
	return &Hedger{
		quantile:    quantile,
		budgetRatio: budgetRatio,
		previous:    hdrhistogram.New(1, maxRecordedMicros, 2),
		current:     hdrhistogram.New(1, maxRecordedMicros, 2),
		tokens:      budgetBurst / 2,

		failureRetryTokens: failureRetryBurst,
		delay:              defaultHedgeDelay,
	}
}

// WithUnlimitedBudget disables the budget and returns the hedger. It serves as a
// baseline for benchmarks.
func (h *Hedger) WithUnlimitedBudget() *Hedger {
	h.unlimited = true
	return h
}

// RecordFirstAttempts counts n first attempts, which refill the budgets.
func (h *Hedger) RecordFirstAttempts(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	refill := max(minRefillFactor, 1-h.queuedRatio)
	h.tokens = min(budgetBurst, h.tokens+float64(n)*h.budgetRatio*refill)
	h.failureRetryTokens = min(failureRetryBurst, h.failureRetryTokens+float64(n)*failureRetryRatio)
}

// RecordLatency records the latency of one shard request and whether its server
// reported a queue.
func (h *Hedger) RecordLatency(latency time.Duration, queued bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.current.RecordValue(max(1, min(latency.Microseconds(), maxRecordedMicros)))
	sample := 0.0
	if queued {
		sample = 1
	}
	h.queuedRatio += queuedRatioSmoothing * (sample - h.queuedRatio)
	h.samples++
	if h.samples%minSamples == 0 {
		h.updateQuantiles()
	}
	if h.current.TotalCount() >= histogramWindow {
		h.previous, h.current = h.current, h.previous
		h.current.Reset()
	}
}

func (h *Hedger) updateQuantiles() {
	source := h.previous
	if source.TotalCount() < minSamples {
		source = h.current
	}
	micros := source.ValueAtQuantile(100 * h.quantile)
	h.delay = max(minHedgeDelay, time.Duration(micros)*time.Microsecond)
	h.median = time.Duration(source.ValueAtQuantile(50)) * time.Microsecond
}

// Delay returns the hedge delay; ok is false if hedging is disabled.
func (h *Hedger) Delay() (delay time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.delay, h.quantile > 0
}

// DelayWithin returns the hedge delay for a request with a latency objective: the
// latency quantile, or less if the reply to the hedge would come too late for the
// objective. connected is true if a connection for the hedge is expected to be open.
func (h *Hedger) DelayWithin(objective time.Duration, connected bool) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if objective <= 0 {
		return h.delay
	}
	if h.samples < minSamples {
		return objective / coldObjectiveDivisor
	}
	latest := objective - crossRegionRTT - hedgeLatencyFactor*h.median
	if !connected {
		latest -= connectionSetupTime
	}
	return max(minHedgeDelay, min(h.delay, max(latest, h.median)))
}

// Spend takes a token for a hedge, or for a retry after a refusal for lack of
// capacity, and reports whether one was available.
func (h *Hedger) Spend() bool { return h.takeToken(&h.tokens) }

// SpendFailureRetry takes a token for a retry after a failure and reports whether
// one was available. This budget is larger because a failing server is soon ejected
// and because the response would be incomplete without the retry.
func (h *Hedger) SpendFailureRetry() bool { return h.takeToken(&h.failureRetryTokens) }

func (h *Hedger) takeToken(tokens *float64) bool {
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
