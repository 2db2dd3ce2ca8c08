package stager_test

import (
	"net/http"
	"sync"
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

// TestTierTellsRateLimitsToStartingDaemons guards against a daemon that has just started
// and floods a searcher whose limit the others know: it must know the limit, and how
// many daemons share it, before its first request.
func TestTierTellsRateLimitsToStartingDaemons(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tier := newTier(t, func(c *stager.TierConfig) { c.DaemonsPerDomain = 2 })
	const (
		perSecond = 3
		restarted = 5 // no seed
		burst     = 40
		// gossipTime is enough for several probes from each daemon.
		gossipTime = 4 * time.Second
	)
	replicas := backendsOf(tier, stager.ShardServiceName(1))
	for _, b := range replicas {
		b.SetRateLimit(perSecond)
	}
	eventually(t, "every searcher's limit is known", func() bool {
		for daemon := range restarted {
			sendRequest(t, tier, daemon, stager.ScatterGatherPath+"x")
		}
		for _, b := range replicas {
			if b.LimitedRequests("") == 0 {
				return false
			}
		}
		return true
	})
	time.Sleep(gossipTime)
	tier.Daemons[restarted].Kill()
	is.NoErr(<-tier.Daemons[restarted].RunErr)
	before := 0
	for _, b := range replicas {
		before += b.LimitedRequests(tier.Daemons[restarted].Settings.IP)
	}
	_, err := tier.StartDaemon(restarted, false)
	is.NoErr(err)
	eventually(t, "the daemon is ready", tier.Daemons[restarted].IsReady)
	var wait sync.WaitGroup
	for range burst {
		wait.Go(func() {
			_, _ = tier.Send(t.Context(), tier.Daemons[restarted], http.MethodGet, stager.ScatterGatherPath+"x", nextID(), time.Second, nil)
		})
	}
	wait.Wait()
	after := 0
	for _, b := range replicas {
		after += b.LimitedRequests(tier.Daemons[restarted].Settings.IP)
	}
	// The whole limits of the three replicas allow as many a second.
	if got := after - before; got > 3*perSecond {
		t.Errorf("the daemon sent %d requests of a burst of %d to searchers with limits of %d a second", got, burst, perSecond)
	}
}

// TestTierKeepsLimitsOfMissingSearchers guards against a limit that is forgotten because the
// searcher's registration is gone for a moment, and a flood when it is back.
func TestTierKeepsLimitsOfMissingSearchers(t *testing.T) {
	t.Parallel()
	tier := newTier(t, nil)
	const (
		perSecond = 3
		burst     = 400
		// missingTime is longer than the interval at which daemons drop the state of
		// searchers that are gone.
		missingTime = 3 * time.Second
	)
	limited := backendsOf(tier, stager.ShardServiceName(1))
	for _, b := range limited {
		b.SetRateLimit(perSecond)
	}
	eventually(t, "every daemon knows every limit", func() bool {
		known := true
		for daemon := range tier.Daemons {
			sendRequest(t, tier, daemon, stager.ScatterGatherPath+"x")
			for _, b := range limited {
				known = known && b.LimitedRequests(tier.Daemons[daemon].Settings.IP) > 0
			}
		}
		return known
	})
	for _, b := range limited {
		tier.Store.Delete(platform.ObjectKindServer, b.Server.Instance)
	}
	time.Sleep(missingTime)
	before := map[*emulator.Backend]int{}
	for _, b := range limited {
		before[b] = b.LimitedRequests("")
		tier.Register(b.Server)
	}
	time.Sleep(time.Second)
	var wait sync.WaitGroup
	for n := range burst {
		wait.Go(func() {
			_, _ = tier.Send(t.Context(), tier.Daemons[n%len(tier.Daemons)], http.MethodGet, stager.ScatterGatherPath+"x", nextID(), time.Second, nil)
		})
	}
	wait.Wait()
	const allowed = limitTolerance*perSecond*float64(limitWindow/time.Second) + limitSlack
	for _, b := range limited {
		if got := b.LimitedRequests("") - before[b]; float64(got) > allowed {
			t.Errorf("searcher %s with a limit of %d a second received %d requests of a burst of %d; allowed %g", b.Server.Instance, perSecond, got, burst, allowed)
		}
	}
}
