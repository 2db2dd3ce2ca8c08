package stager_test

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
)

// gracePeriod is that of the tier's settings.
const gracePeriod = 6 * time.Second

// TestStopWithoutProcessorTimeAnswersRequests guards against a stop that cuts requests in
// progress because the process, short of processor time, needs longer for its last responses
// than the stop leaves for them.
func TestStopWithoutProcessorTimeAnswersRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tier := newTier(t, func(c *stager.TierConfig) { c.ExternalDaemons, c.SingleSearchersPerDomain = true, 4 })
	withLongTimeouts(t, tier)
	for _, b := range tier.Backends {
		b.SetFaults(emulator.BackendFaults{Pause: 20 * time.Second})
	}
	p := startDaemonProcess(t, tier)
	time.Sleep(500 * time.Millisecond)
	const callers, sendingTime = 150, 2 * time.Second
	requests := make([]ownRequest, callers)
	firstAt := time.Now().Add(200 * time.Millisecond)
	var wait sync.WaitGroup
	paths := []string{stager.AtMostOncePath, stager.SinglePath, stager.ScatterGatherPath}
	for n := range requests {
		wait.Go(func() {
			time.Sleep(time.Until(firstAt.Add(sendingTime * time.Duration(n) / callers)))
			requests[n] = sendOnOwnConnection(p.Settings.CallerAddress, paths[n%len(paths)])
		})
	}
	time.Sleep(time.Until(firstAt.Add(sendingTime / 2)))
	go p.useQuota(2 * time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	stopAt := time.Now()
	is.NoErr(p.command.Process.Signal(syscall.SIGTERM))
	p.killAt(stopAt.Add(gracePeriod))
	wait.Wait()
	t.Logf("the process ended %v after the stop", p.endedAt.Sub(stopAt).Round(time.Millisecond))
	lost := 0
	for _, r := range requests {
		if r.err != nil {
			lost++
			t.Logf("%s: %v after %v, %v after the stop", r.path, r.err, r.endedAt.Sub(r.sentAt).Round(time.Millisecond), r.endedAt.Sub(stopAt).Round(time.Millisecond))
			continue
		}
		is.True(r.status == http.StatusBadGateway || r.status == http.StatusServiceUnavailable)
	}
	is.Equal(lost, 0)
}
