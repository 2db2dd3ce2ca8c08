//go:build review

// Command harness-3 runs the cases of the second review's repeated hand-in. It starts
// the daemon as separate processes on loopback addresses; the store and the searchers
// are the project's stand-ins, in this process.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/stager"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun means that a case could not run.
var errNotRun = errors.New("the case could not run")

// bench is what a case works with.
type bench struct {
	tier    *stager.Tier
	program string
	record  io.Writer
	started time.Time
	daemons []*daemon
	mu      sync.Mutex
}

// daemon is one daemon process.
type daemon struct {
	*stager.TierDaemon
	process *exec.Cmd
	log     *os.File
	exited  chan struct{}
}

func main() {
	runtime.LockOSThread() // Pdeathsig refers to the thread that started the daemons.
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: harness-3 CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	cases := map[string]func(*bench, bool) (bool, error){"stop": runStop}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	b := &bench{program: os.Args[2], record: io.MultiWriter(record, os.Stdout), started: time.Now()}
	held, err := run(b, os.Getenv("TROUBLE") != "0")
	b.close()
	switch {
	case err != nil:
		b.note("not run: %v", err)
		os.Exit(exitNotRun)
	case !held:
		b.note("RESULT broken")
		os.Exit(exitBroken)
	}
	b.note("RESULT held")
	os.Exit(exitHeld)
}

// note writes a line to the record with the time since the start.
func (b *bench) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f  %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
}

// start starts the store, the searchers and the daemons, and waits until all are ready.
func (b *bench) start(config stager.TierConfig) error {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return err
	}
	config.SettingsDirectory, config.ExternalDaemons = directory, true
	if b.tier, err = stager.NewTier(context.Background(), config); err != nil {
		return err
	}
	for n := range len(config.Domains) * config.DaemonsPerDomain {
		if err := b.startDaemon(n, true); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range b.daemons {
			if b.tier.ProbeReadiness(context.Background(), d.TierDaemon) {
				ready++
			}
		}
		if ready == len(b.daemons) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%w: %d of %d daemons ready", errNotRun, ready, len(b.daemons))
		}
	}
}

// startDaemon starts the n-th daemon as the deploy file says.
func (b *bench) startDaemon(n int, bootstrap bool) error {
	settings, err := b.tier.WriteSettings(n, bootstrap)
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(b.tier.Config.SettingsDirectory, settings.Settings.Name+".log"))
	if err != nil {
		return err
	}
	d := &daemon{TierDaemon: settings, log: log, exited: make(chan struct{})}
	d.process = exec.Command(b.program, "front")
	d.process.Env = []string{"PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C.UTF-8", "FUCHSIASTILE_CONFIG=" + settings.SettingsFile}
	d.process.Stdout, d.process.Stderr = log, log
	// The daemons end with this process, also if it is killed at its time limit.
	d.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.process.Start(); err != nil {
		return err
	}
	go func() { _ = d.process.Wait(); close(d.exited) }()
	if n < len(b.daemons) {
		b.daemons[n] = d
	} else {
		b.daemons = append(b.daemons, d)
	}
	return nil
}

// close ends all processes that the case started.
func (b *bench) close() {
	for _, d := range b.daemons {
		_ = d.process.Process.Signal(syscall.SIGKILL)
		<-d.exited
		_ = d.log.Close()
	}
	if b.tier != nil {
		b.tier.Close()
		if os.Getenv("KEEP_LOGS") == "" {
			_ = os.RemoveAll(b.tier.Config.SettingsDirectory)
		}
	}
}

// runs returns how often the searchers ran a request.
func (b *bench) runs(id string) int {
	total := 0
	for _, s := range b.tier.Backends {
		total += s.Stats().Runs[id]
	}
	return total
}
