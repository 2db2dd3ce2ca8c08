package stager_test

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/stager"
)

// TestTierStopAnswersArrivingCallers guards against new connections that are reset, because
// they wait to be accepted as the listener of a stopping daemon closes. The process has a
// processor quota, so that connections wait.
func TestTierStopAnswersArrivingCallers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tier := newTier(t, func(c *stager.TierConfig) { c.ExternalDaemons = true })
	p := startDaemonProcess(t, tier)
	stopAt := time.Now()
	is.NoErr(p.command.Process.Signal(syscall.SIGTERM))
	var wait sync.WaitGroup
	requests := make([]partedRequest, 300)
	established := make([]bool, len(requests))
	for n := range requests {
		dialAt := stopAt.Add(2300*time.Millisecond + time.Duration(n)*3*time.Millisecond)
		wait.Go(func() {
			time.Sleep(time.Until(dialAt))
			conn, err := dialCaller(p.TierDaemon)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			established[n] = true
			requests[n] = sendInParts(conn, n, 0, dialAt, dialAt)
		})
	}
	time.Sleep(time.Until(stopAt.Add(2250 * time.Millisecond)))
	for time.Since(stopAt) < 4*time.Second && p.command.Process.Signal(syscall.SIGSTOP) == nil {
		time.Sleep(73 * time.Millisecond)
		_ = p.command.Process.Signal(syscall.SIGCONT)
		time.Sleep(27 * time.Millisecond)
	}
	wait.Wait()
	accepted, lost := 0, 0
	for n, r := range requests {
		if !established[n] {
			continue
		}
		accepted++
		if r.err != nil {
			lost++
			t.Logf("%s, %v after the stop: %v", r.path, r.firstBy.Sub(stopAt).Round(time.Millisecond), r.err)
			continue
		}
		checkParted(t, tier, r)
	}
	t.Logf("%d connections, %d requests lost", accepted, lost)
	is.True(accepted >= 100)
	is.Equal(lost, 0)
}
