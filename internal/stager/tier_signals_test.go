package stager_test

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/stager"
)

// startSignalled starts the first daemon of a tier as a process that gets signals while it
// reads its settings for the first time.
func startSignalled(t *testing.T, tier *stager.Tier, signals ...syscall.Signal) *daemonProcess {
	t.Helper()
	is := is.New(t)
	settings, err := tier.WriteSettings(0, true)
	is.NoErr(err)
	file := settings.SettingsFile
	content, err := os.ReadFile(file)
	is.NoErr(err)
	is.NoErr(os.Rename(file, file+".next"))
	is.NoErr(syscall.Mkfifo(file, 0o600))
	p := startProcess(t, settings)
	// It is opened once the process opens it.
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0)
	is.NoErr(err)
	for _, s := range signals {
		is.NoErr(p.command.Process.Signal(s))
		time.Sleep(20 * time.Millisecond)
	}
	is.NoErr(os.Rename(file+".next", file))
	_, err = pipe.Write(content)
	is.NoErr(err)
	is.NoErr(pipe.Close())
	return p
}

// TestReloadSignalAtStartKeepsProcess guards against a daemon that the reload signal ends
// because it comes before the daemon has started.
func TestReloadSignalAtStartKeepsProcess(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tier := newTier(t, func(c *stager.TierConfig) { c.ExternalDaemons = true })
	p := startSignalled(t, tier, syscall.SIGHUP)
	eventually(t, "the process is ready", func() bool { return tier.ProbeReadiness(t.Context(), p.TierDaemon) })
	is.NoErr(p.command.Process.Signal(syscall.SIGTERM))
	<-p.exited
	is.True(p.command.ProcessState.Success())
}

// TestStopSignalAfterReloadSignalsStopsProcess guards against a stop signal that is lost
// because reload signals came before it, faster than the daemon handled them.
func TestStopSignalAfterReloadSignalsStopsProcess(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tier := newTier(t, func(c *stager.TierConfig) { c.ExternalDaemons = true })
	p := startSignalled(t, tier, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM)
	select {
	case <-p.exited:
		is.True(p.command.ProcessState.Success())
	case <-time.After(6 * time.Second):
		t.Error("the process still runs at the end of its grace period")
	}
}
