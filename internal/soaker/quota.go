package soaker

import (
	"context"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// quotaPeriod is the period of a processor quota, and quotaTime the part of it in which
	// a process runs.
	quotaPeriod, quotaTime = 100 * time.Millisecond, 27 * time.Millisecond
	// limitedProcesses is the number of processes with a quota in each round, of which
	// limitedStops are terminated meanwhile.
	limitedProcesses, limitedStops = 3, 2
)

// limitedRun is what happens to a process with a processor quota.
type limitedRun struct {
	process *process
	// begin is when the quota begins, and duration how long it lasts.
	begin, duration time.Duration
	// stops is set if the process is terminated stopAfter the beginning.
	stops     bool
	stopAfter time.Duration
}

func (s *Soak) randomLimitedRuns() []limitedRun {
	var runs []limitedRun
	for n, index := range s.quotaRng.Perm(len(s.processes))[:limitedProcesses] {
		runs = append(runs, limitedRun{
			process: s.processes[index], stops: n < limitedStops,
			begin: randomDuration(s.quotaRng, 0, time.Second), duration: randomDuration(s.quotaRng, 2*time.Second, 6*time.Second),
			stopAfter: randomDuration(s.quotaRng, 0, 2*time.Second),
		})
	}
	return runs
}

// limitProcessorTime gives some processes a processor quota, terminates some of them
// meanwhile and changes the idle limit, and waits until all this has ended.
func (s *Soak) limitProcessorTime(ctx context.Context) {
	var wait sync.WaitGroup
	for _, r := range s.randomLimitedRuns() {
		wait.Go(func() { s.runLimited(ctx, r) })
	}
	for range 2 {
		pause, idleTimeout := randomDuration(s.quotaRng, time.Second, 2*time.Second), randomIdleTimeout(s.quotaRng)
		time.Sleep(pause)
		s.applyNext("", idleTimeout)
	}
	wait.Wait()
}

func (s *Soak) runLimited(ctx context.Context, r limitedRun) {
	if !r.process.tryClaim() {
		return
	}
	defer r.process.release()
	time.Sleep(r.begin)
	s.logf("process %d: %v of processor time in %v for %v", r.process.index, quotaTime, quotaPeriod, r.duration)
	limitCtx, cancel := context.WithTimeout(ctx, r.duration)
	defer cancel()
	var wait sync.WaitGroup
	s.mu.Lock()
	command, faults := r.process.command, r.process.faults
	s.mu.Unlock()
	wait.Go(func() { applyQuota(limitCtx, command.Process, faults) })
	if r.stops {
		time.Sleep(r.stopAfter)
		s.terminate(r.process)
	}
	wait.Wait()
}

// applyQuota lets a process run for quotaTime of each quotaPeriod until ctx is done or the
// process has exited. Its pauses excuse nothing, except those that last for longer than a
// quota's because the machine is busy.
func applyQuota(ctx context.Context, p *os.Process, faults *faultRecord) {
	for ctx.Err() == nil && p.Signal(syscall.SIGSTOP) == nil {
		stopped := time.Now()
		time.Sleep(quotaPeriod - quotaTime)
		if time.Since(stopped) > quotaPeriod {
			faults.recordPause(stopped, time.Now())
		}
		_ = p.Signal(syscall.SIGCONT)
		time.Sleep(quotaTime)
	}
}
