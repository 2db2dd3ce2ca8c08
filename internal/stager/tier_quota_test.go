package stager_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/stager"
)

// startTierProcess starts the first daemon of a tier with external daemons as a process, and
// waits until it is ready.
func startTierProcess(t *testing.T, tier *stager.Tier) (*stager.TierDaemon, *exec.Cmd) {
	t.Helper()
	is := is.New(t)
	program := filepath.Join(t.TempDir(), "fuchsiastile")
	out, err := exec.Command("go", "build", "-o", program, "../../cmd/fuchsiastile").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	d, err := tier.WriteSettings(0, true)
	is.NoErr(err)
	command := exec.Command(program, "front", "-settings", d.SettingsFile, "-metrics", "0")
	log, err := os.Create(filepath.Join(logDir(t), "daemon.log"))
	is.NoErr(err)
	command.Stdout, command.Stderr = log, log
	is.NoErr(command.Start())
	t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		_ = command.Wait()
		_ = log.Close()
	})
	eventually(t, "the daemon is ready", func() bool { return tier.ProbeReadiness(t.Context(), d) })
	return d, command
}

// TestTierStopAnswersArrivingCallers guards against new connections that are reset, because
// they wait to be accepted as the listener of a stopping daemon closes. The process has a
// processor quota, so that connections wait.
func TestTierStopAnswersArrivingCallers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tier := newTier(t, func(c *stager.TierConfig) { c.ExternalDaemons = true })
	d, command := startTierProcess(t, tier)
	stopAt := time.Now()
	is.NoErr(command.Process.Signal(syscall.SIGTERM))
	var wait sync.WaitGroup
	requests := make([]partedRequest, 300)
	established := make([]bool, len(requests))
	for n := range requests {
		dialAt := stopAt.Add(2300*time.Millisecond + time.Duration(n)*3*time.Millisecond)
		wait.Go(func() {
			time.Sleep(time.Until(dialAt))
			conn, err := dialCaller(d)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			established[n] = true
			requests[n] = sendInParts(conn, n, 0, dialAt, dialAt)
		})
	}
	time.Sleep(time.Until(stopAt.Add(2250 * time.Millisecond)))
	for time.Since(stopAt) < 4*time.Second && command.Process.Signal(syscall.SIGSTOP) == nil {
		time.Sleep(73 * time.Millisecond)
		_ = command.Process.Signal(syscall.SIGCONT)
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
