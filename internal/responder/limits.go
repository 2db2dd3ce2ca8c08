package responder

import (
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/gatherer"
	"github.com/fuchsiastile/fuchsiastile/internal/limiter"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// maxLimitedRetryAfter is the longest Retry-After time that is sent because of rate
// limits. Callers come back to another daemon, which may have a permit sooner.
const maxLimitedRetryAfter = time.Second

// recordRateLimit records the rate limit that a searcher's reply to a request sent at the
// given time names, or that it names none.
func (r *Responder) recordRateLimit(now, sentAt time.Time, key string, h http.Header) {
	perSecond, limited, err := platform.RateLimit(h)
	switch {
	case err != nil:
		klog.InfoS("ignoring malformed rate limit", "searcher", key, "cause", err.Error())
	case limited:
		if r.limiter.RecordLimit(now, key, perSecond) {
			klog.InfoS("searcher limits its requests", "searcher", key, "perSecond", perSecond)
		}
	case r.limiter.RecordNoLimit(now, sentAt, key):
		klog.InfoS("searcher no longer limits its requests", "searcher", key)
	}
}

// RateLimits returns the rate limits that other daemons are told.
func (r *Responder) RateLimits(now time.Time) []limiter.Observation { return r.limiter.News(now) }

// MergeRateLimits applies the rate limits that another daemon told.
func (r *Responder) MergeRateLimits(now time.Time, news []limiter.Observation) {
	if changed := r.limiter.Merge(now, news); changed > 0 {
		klog.InfoS("rate limits learned from another daemon", "changed", changed)
	}
}

// reportRateLimits logs and counts the requests to searchers that name a rate limit
// since the last call.
func (r *Responder) reportRateLimits(now time.Time) {
	usage := r.limiter.TakeUsage(now)
	m := r.config.Metrics
	m.limitedSearchers.Set(float64(usage.Limited))
	m.limitedRequests.Add(usage.Requests)
	m.limitDenied.Add(usage.Denied)
	if usage.Limited > 0 {
		klog.InfoS("requests to rate-limited searchers", "searchers", usage.Limited, "perSecond", usage.PerSecond,
			"daemons", r.config.State().Daemons, "requests", usage.Requests, "denied", usage.Denied)
	}
}

// pick is a searcher that the query picked, the time and the permit of its rate limit.
type pick struct {
	searcher planner.Searcher
	at       time.Time
	permit   limiter.Permit
}

// permitTaker returns a function that reports whether the rate limit of a searcher allows
// a request of this query, for one pick.
func (run *runner) permitTaker(now time.Time) func(key string) bool {
	draw := run.draw
	return func(key string) bool {
		permit, ok := run.responder.limiter.Take(now, key, draw)
		if !ok {
			// The next replica has another draw, or a query that lost one would lose them all.
			draw = math.Mod(draw+goldenRatio, 1)
			return false
		}
		run.picks[key] = pick{at: now, permit: permit}
		return true
	}
}

// withdraw releases a picked searcher to which nothing is sent.
func (run *runner) withdraw(key string) {
	p := run.picks[key]
	run.responder.picker.Withdraw(p.at, key)
	run.returnPermit(key)
}

// returnPermit returns the permit of a request that was not sent.
func (run *runner) returnPermit(key string) {
	run.responder.limiter.Return(time.Now(), run.picks[key].permit)
}

// retryAfter returns when the caller of a request that no searcher ran should retry:
// once the rate limits of the shards without an attempt are likely to allow it. It is
// spread at random, so that the callers do not return together.
func (run *runner) retryAfter(missing map[string]gatherer.Reason) time.Duration {
	now, longest := time.Now(), time.Duration(0)
	for shard := range missing {
		shortest := maxLimitedRetryAfter
		for _, s := range run.state.Fleet.Searchers(shard) {
			shortest = min(shortest, run.responder.limiter.Wait(now, s.Key()))
		}
		if len(run.state.Fleet.Searchers(shard)) > 0 {
			longest = max(longest, shortest)
		}
	}
	if longest == 0 {
		return unavailableRetryAfter
	}
	return min(maxLimitedRetryAfter, max(unavailableRetryAfter, longest+rand.N(longest)))
}
