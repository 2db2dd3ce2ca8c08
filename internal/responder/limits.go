package responder

import (
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/platform"
)

// recordRateLimit records the rate limit that a searcher's reply names, or that it
// names none.
func (r *Responder) recordRateLimit(now time.Time, key string, h http.Header) {
	perSecond, limited, err := platform.RateLimit(h)
	if err != nil {
		klog.InfoS("ignoring malformed rate limit", "searcher", key, "cause", err.Error())
		return
	}
	if !r.limiter.Record(now, key, perSecond, limited) {
		return
	}
	if limited {
		klog.InfoS("searcher limits its requests", "searcher", key, "perSecond", perSecond)
		return
	}
	klog.InfoS("searcher no longer limits its requests", "searcher", key)
}

// reportRateLimits logs and counts the requests to searchers that name a rate limit
// since the last call.
func (r *Responder) reportRateLimits() {
	usage := r.limiter.TakeUsage()
	m := r.config.Metrics
	m.limitedSearchers.Set(float64(usage.Limited))
	m.limitedRequests.Add(usage.Requests)
	if usage.Limited > 0 {
		klog.InfoS("requests to rate-limited searchers", "searchers", usage.Limited, "perSecond", usage.PerSecond,
			"daemons", r.config.State().Daemons, "requests", usage.Requests, "extra", usage.Extra)
	}
}
