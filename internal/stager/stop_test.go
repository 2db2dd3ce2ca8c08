package stager_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/loader"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/pkg/caller"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// startStoppingCluster starts a cluster whose searchers take about 400 ms and whose
// daemons stop within 3 s, and returns it. timeout is the deadline of each class.
func startStoppingCluster(t *testing.T, timeout time.Duration) *stager.Cluster {
	t.Helper()
	cluster := startCluster(t, 1, func(c *stager.Config) {
		for i := range c.Declarations.Classes {
			c.Declarations.Classes[i].Deadline = declarer.Duration(timeout)
		}
		c.ModifySettings = func(s *loader.Settings) {
			s.Shutdown.ReadinessDelay = declarer.Duration(500 * time.Millisecond)
			s.Shutdown.DrainTimeout = declarer.Duration(2500 * time.Millisecond)
		}
	})
	for _, service := range []string{"parts-finder", "bookings"} {
		for _, searcher := range cluster.SearchersOf(service) {
			searcher.SetFaults(emulator.SearcherFaults{SlowFactor: 100})
		}
	}
	return cluster
}

// TestLateRequestsAtStoppingDaemonAreAnswered stops a daemon while the bodies of requests
// arrive, which are whole at any time until it exits. Each must be answered.
func TestLateRequestsAtStoppingDaemonAreAnswered(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	cluster := startStoppingCluster(t, time.Second)
	stopped := cluster.Daemons[0]
	const callers = 30
	uploads := make([]slowUpload, callers)
	stopAt := time.Now().Add(500 * time.Millisecond)
	var wait sync.WaitGroup
	for n := range uploads {
		path, h := "/v1/search/parts-finder", http.Header{caller.HeaderClass: {"counter"}}
		if n%3 == 0 {
			ticket, err := cluster.Client(0).Ticket(t.Context())
			is.NoErr(err)
			path, h = "/v1/once/bookings/a", http.Header{caller.HeaderClass: {"booking"}, caller.HeaderTicket: {ticket}}
		}
		wait.Go(func() {
			uploads[n] = uploadSlowly(stopped.Settings().CallerAddress, path, h, stopAt.Add(2600*time.Millisecond*time.Duration(n)/(callers-1)))
		})
	}
	time.Sleep(time.Until(stopAt))
	stopped.Stop()
	wait.Wait()
	is.NoErr(<-stopped.RunErr)
	refused := 0
	for _, u := range uploads {
		t.Logf("whole %v after the stop: status %d, %.80s, %v", u.wholeAt.Sub(stopAt).Round(time.Millisecond), u.status, u.body, u.err)
		is.NoErr(u.err)
		if u.status == http.StatusServiceUnavailable && strings.Contains(u.body, `"stopping"`) {
			refused++
			// The daemon exits 3 s after the stop, and a request may take a second.
			is.True(u.wholeAt.Sub(stopAt) > 1500*time.Millisecond)
		}
	}
	is.True(refused > 0)
}

// TestSearchesInProgressAreAnsweredAtStop stops a daemon while searches are in progress whose
// deadlines are later than its exit.
func TestSearchesInProgressAreAnsweredAtStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	cluster := startStoppingCluster(t, 10*time.Second)
	for n, searcher := range cluster.SearchersOf("parts-finder") {
		searcher.SetFaults(emulator.SearcherFaults{Freeze: n%2 == 0})
	}
	results := make(chan error, 4)
	for range cap(results) {
		go func() {
			answer, err := cluster.Client(0).Search(context.Background(), searchRequest("parts-finder"))
			if answer.RequestID == "" {
				results <- err
				return
			}
			results <- nil
		}()
	}
	time.Sleep(300 * time.Millisecond)
	cluster.Daemons[0].Stop()
	for range cap(results) {
		is.NoErr(<-results)
	}
	is.NoErr(<-cluster.Daemons[0].RunErr)
}
