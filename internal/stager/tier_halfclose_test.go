package stager_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// callerRequest returns a request as it is sent to the tier.
func callerRequest(path, id string) string {
	h, head := http.Header{}, &strings.Builder{}
	platform.WriteCallerHeaders(h, id, 2*time.Second)
	_, _ = fmt.Fprintf(head, "POST %sx HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n", path, stager.TierHost)
	_ = h.Write(head)
	return head.String() + "\r\n"
}

// TestTierAnswersHalfClosedConnections guards against empty successes, which net/http sends
// for a handler that writes nothing, and against refusals of requests that ran: a caller that
// ends its sending direction may read on.
func TestTierAnswersHalfClosedConnections(t *testing.T) {
	t.Parallel()
	for _, path := range []string{stager.SinglePath, stager.AtMostOncePath, stager.ScatterGatherPath} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			t.Parallel()
			tier := newTier(t, nil)
			for _, b := range tier.Backends {
				b.SetFaults(emulator.BackendFaults{Pause: 150 * time.Millisecond})
			}
			var wait sync.WaitGroup
			for n := range 30 {
				wait.Go(func() {
					id, after := nextID(), time.Duration(n/3)*20*time.Millisecond
					reply := leaveAfter(t, tier.Daemons[n%len(tier.Daemons)].Settings.CallerAddress, callerRequest(path, id), after, (*net.TCPConn).CloseWrite)
					if reply == nil {
						t.Errorf("left after %v: no response", after)
						return
					}
					checkReply(t, tier, path, id, *reply)
					if ran := runCount(tier, id); reply.Status == http.StatusServiceUnavailable && ran > 0 {
						t.Errorf("left after %v: refused, and ran on %d searchers", after, ran)
					}
				})
			}
			wait.Wait()
		})
	}
}

// TestTierCancelsWorkOfBrokenConnections guards against searchers that go on working for a
// caller whose connection has broken, and against responses that count as sent on it.
func TestTierCancelsWorkOfBrokenConnections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tier := newTier(t, nil)
	url := startMeasuredDaemon(t, tier)
	for _, b := range tier.Backends {
		b.SetFaults(emulator.BackendFaults{Pause: time.Second})
	}
	paths := []string{stager.SinglePath, stager.AtMostOncePath, stager.ScatterGatherPath}
	for _, path := range paths {
		reply := leaveAfter(t, tier.Daemons[0].Settings.CallerAddress, callerRequest(path, nextID()), 100*time.Millisecond, func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		})
		is.Equal(reply, nil)
	}
	leftAt := time.Now()
	running := func() int {
		n := 0
		for _, b := range tier.Backends {
			stats := b.Stats()
			n += len(stats.Runs) - stats.Cancelled
		}
		return n
	}
	eventually(t, "all work is cancelled", func() bool { return running() == 0 })
	is.True(time.Since(leftAt) < 500*time.Millisecond)
	eventually(t, "all requests count as left", func() bool {
		return strings.Contains(readMetrics(t, url), fmt.Sprintf("callerRequestsTotal{outcome=%q} %d\n", "callerLeft", len(paths)))
	})
}
