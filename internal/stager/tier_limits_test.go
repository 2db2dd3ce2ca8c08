package stager_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// The rule on rate limits: in any window of limitWindow, a searcher receives at most
// limitTolerance times what its limit allows and limitSlack requests more, counted
// from limitSettle after it first named the limit and over the daemons that received
// it limitDelay before or earlier.
const (
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
	limitSettle    = 5 * time.Second
	limitDelay     = 500 * time.Millisecond
)

// checkRateLimit checks that a searcher received no more than its limit allows.
func checkRateLimit(t *testing.T, b *emulator.Backend, perSecond float64) {
	t.Helper()
	allowed := limitTolerance*perSecond*limitWindow.Seconds() + limitSlack
	if peak := b.PeakLimited(limitSettle, limitWindow, limitDelay); float64(peak) > allowed {
		t.Errorf("searcher %s with a limit of %g a second received %d requests in %s; allowed %g", b.Server.Instance, perSecond, peak, limitWindow, allowed)
	}
}

// TestTierKeepsRateLimits guards against searchers that receive more requests than the
// limit that they name in their replies, from all daemons together.
func TestTierKeepsRateLimits(t *testing.T) {
	t.Parallel()
	const perSecond = 12
	for name, limited := range map[string]int{"one replica of a shard": 1, "all replicas of a shard": 3} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			tier := newTier(t, func(c *stager.TierConfig) { c.DaemonsPerDomain = 2 })
			replicas := backendsOf(tier, stager.ShardServiceName(1))[:limited]
			for _, b := range replicas {
				b.SetRateLimit(perSecond)
			}
			var answered, failed atomic.Int64
			stop := runWorkers(len(tier.Daemons), func(worker, _ int) {
				reply, err := tier.Send(t.Context(), tier.Daemons[worker], http.MethodGet, stager.ScatterGatherPath+"x", nextID(), time.Second, nil)
				switch {
				case err == nil && reply.Status == http.StatusOK && len(platform.ParseCoverage(reply.Header).Stamps) >= 3:
					answered.Add(1)
				default:
					failed.Add(1)
				}
				time.Sleep(25 * time.Millisecond)
			})
			time.Sleep(limitSettle + 2*limitWindow)
			stop()
			for _, b := range replicas {
				checkRateLimit(t, b, perSecond)
			}
			is.Equal(failed.Load(), int64(0)) // three of four shards are enough
			is.True(answered.Load() > 0)
		})
	}
}
