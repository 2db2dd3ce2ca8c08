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

	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// stalledRequests returns requests of which a part of the body is missing, with a length and
// in chunks.
func stalledRequests(path, id string, wait time.Duration) []string {
	h, head := http.Header{}, &strings.Builder{}
	platform.WriteCallerHeaders(h, id, wait)
	_, _ = fmt.Fprintf(head, "POST %sx HTTP/1.1\r\nHost: %s\r\n", path, stager.TierHost)
	_ = h.Write(head)
	return []string{
		head.String() + "Content-Length: 100\r\n\r\n" + strings.Repeat("x", 50),
		head.String() + "Transfer-Encoding: chunked\r\n\r\n64\r\n" + strings.Repeat("x", 50),
		head.String() + "Transfer-Encoding: chunked\r\n\r\n2\r\nxx\r\n",
	}
}

// TestTierAnswersStalledBodies guards against requests that are held for as long as their
// caller waits because the rest of their body does not arrive, on routes and beside them.
func TestTierAnswersStalledBodies(t *testing.T) {
	t.Parallel()
	tier := newTier(t, nil)
	const wait, late = time.Second, 500 * time.Millisecond
	var group sync.WaitGroup
	for path, status := range map[string]int{
		stager.SinglePath: http.StatusRequestTimeout, stager.AtMostOncePath: http.StatusRequestTimeout, stager.ScatterGatherPath: http.StatusRequestTimeout,
		"/nowhere/": http.StatusNotFound,
	} {
		id := nextID()
		for _, request := range stalledRequests(path, id, wait) {
			group.Go(func() {
				sentAt := time.Now()
				reply := leaveAfter(t, tier.Daemons[0].Settings.CallerAddress, request, 0, func(c *net.TCPConn) error {
					return c.SetReadDeadline(sentAt.Add(wait + late))
				})
				if reply == nil || reply.Status != status || runCount(tier, id) > 0 {
					t.Errorf("%s: no response within %v, or another: %+v", path, time.Since(sentAt), reply)
				}
			})
		}
	}
	group.Wait()
}

// TestTierStopRefusesStalledBodies guards against requests that a stopping daemon cuts because
// the rest of their body has not arrived when it exits.
func TestTierStopRefusesStalledBodies(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tier := newTier(t, nil)
	withLongTimeouts(t, tier)
	stopped := tier.Daemons[0]
	var group sync.WaitGroup
	for _, path := range []string{stager.SinglePath, stager.AtMostOncePath, stager.ScatterGatherPath} {
		for _, request := range stalledRequests(path, nextID(), 10*time.Second) {
			group.Go(func() {
				reply := leaveAfter(t, stopped.Settings.CallerAddress, request, 0, func(*net.TCPConn) error { return nil })
				if reply == nil || reply.Status != http.StatusRequestTimeout {
					t.Errorf("%s: no refusal: %+v", path, reply)
				}
			})
		}
	}
	time.Sleep(500 * time.Millisecond)
	stopped.Stop()
	group.Wait()
	is.NoErr(<-stopped.RunErr)
}
