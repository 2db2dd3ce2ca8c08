package stager_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// withLongTimeouts applies a configuration whose routes to single searchers time out after
// the grace period of a stop.
func withLongTimeouts(t *testing.T, tier *stager.Tier) {
	t.Helper()
	c := tier.InitialConfiguration()
	c.Version++
	for n := range c.Routes {
		c.Routes[n].Timeout = 10 * time.Second
	}
	tier.Apply(c)
	time.Sleep(time.Second)
}

// TestTierStopAnswersLateRequests stops a daemon while the bodies of requests arrive, which
// are whole at any time of the grace period of 6 s. Each must be answered: with a success, or
// with a refusal if it has not run.
func TestTierStopAnswersLateRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tier := newTier(t, func(c *stager.TierConfig) { c.ServiceTime = 600 * time.Millisecond })
	withLongTimeouts(t, tier)
	const callers = 40
	stopped := tier.Daemons[0]
	stopAt := time.Now().Add(500 * time.Millisecond)
	first, last := stopAt.Add(-100*time.Millisecond), stopAt.Add(5200*time.Millisecond)
	uploads, ids := make([]slowUpload, callers), make([]string, callers)
	var wait sync.WaitGroup
	for n := range uploads {
		wait.Go(func() {
			path := []string{stager.AtMostOncePath, stager.SinglePath}[n%2]
			h := http.Header{}
			ids[n] = nextID()
			platform.WriteCallerHeaders(h, ids[n], 10*time.Second)
			uploads[n] = uploadSlowly(stopped.Settings.CallerAddress, path+"x", h, first.Add(last.Sub(first)*time.Duration(n)/(callers-1)))
		})
	}
	time.Sleep(time.Until(stopAt))
	stopped.Stop()
	wait.Wait()
	is.NoErr(<-stopped.RunErr)
	is.True(time.Since(stopAt) < 6*time.Second)
	answered := 0
	for n, u := range uploads {
		ran := runCount(tier, ids[n])
		t.Logf("whole %v after the stop: status %d, runs %d, %v", u.wholeAt.Sub(stopAt).Round(time.Millisecond), u.status, ran, u.err)
		is.NoErr(u.err)
		switch u.status {
		case http.StatusOK:
			answered++
		default:
			is.Equal(u.status, http.StatusServiceUnavailable)
			is.Equal(ran, 0)
		}
		// A searcher needs 600 ms, and the latency objective is 1 s.
		is.True(u.status == http.StatusOK || u.wholeAt.Sub(stopAt) > 4*time.Second)
	}
	is.True(answered >= callers/2)
}

// TestTierStopAnswersRequestsInProgress stops a daemon while requests are in progress that
// would take longer than the grace period. None of them may be cut off without an answer.
func TestTierStopAnswersRequestsInProgress(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tier := newTier(t, nil)
	withLongTimeouts(t, tier)
	for _, b := range tier.Backends {
		if b.Server.Service == singles || b.Server.Service == stager.ShardServiceName(0) {
			b.SetFaults(emulator.BackendFaults{Pause: 20 * time.Second})
		}
	}
	stopped := tier.Daemons[0]
	replies := make(chan error, 6)
	send := func(path string, want int) {
		id := nextID()
		reply, err := tier.Send(t.Context(), stopped, http.MethodPost, path, id, 10*time.Second, nil)
		if err == nil && reply.Status != want {
			err = fmt.Errorf("status %d on %s, want %d", reply.Status, path, want)
		}
		replies <- err
	}
	for _, delay := range []time.Duration{0, 2 * time.Second} {
		time.AfterFunc(delay, func() {
			go send(stager.AtMostOncePath+"x", http.StatusBadGateway)
			go send(stager.SinglePath+"x", http.StatusBadGateway)
			go send(stager.ScatterGatherPath+"x", http.StatusOK)
		})
	}
	time.Sleep(500 * time.Millisecond)
	stopped.Stop()
	for range cap(replies) {
		is.NoErr(<-replies)
	}
	is.NoErr(<-stopped.RunErr)
}
