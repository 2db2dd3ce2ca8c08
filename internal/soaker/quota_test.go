package soaker

import (
	"context"
	"math/rand/v2"
	"os/exec"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestQuotaLimitsProcessorTime covers the quota of a process that would use a whole core.
func TestQuotaLimitsProcessorTime(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	command := exec.Command("sh", "-c", "while :; do :; done")
	is.NoErr(command.Start())
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	started := time.Now()
	applyQuota(ctx, command.Process, &faultRecord{})
	elapsed := time.Since(started)
	is.NoErr(command.Process.Kill())
	_ = command.Wait()
	used := command.ProcessState.UserTime() + command.ProcessState.SystemTime()
	t.Logf("used %v of %v", used, elapsed)
	is.True(used > 0)
	is.True(used < elapsed/2)
	applyQuota(t.Context(), command.Process, &faultRecord{}) // ends with the process
}

// TestOnlyLongPausesExcuseCuts covers the pauses of a quota that last for longer than they
// should: they excuse cuts like a suspension.
func TestOnlyLongPausesExcuseCuts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	faults := &faultRecord{}
	is.True(!faults.wasSuspendedSince(time.Now()))
	faults.recordPause(time.Now().Add(-quotaPeriod), time.Now())
	is.True(faults.wasSuspendedSince(time.Now()))
	is.True(!faults.wasSuspendedSince(time.Now().Add(suspensionEffect)))
}

// TestQuotasDependOnSeed covers the faults of a seed: a number of processes get a quota, and
// some of them are terminated meanwhile.
func TestQuotasDependOnSeed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	newRuns := func(seed uint64) []limitedRun {
		s := &Soak{quotaRng: rand.New(rand.NewPCG(seed, quotaStream))}
		for n := range 6 {
			s.processes = append(s.processes, &process{index: n})
		}
		runs := s.randomLimitedRuns()
		for n := range runs {
			runs[n].process = &process{index: runs[n].process.index}
		}
		return runs
	}
	seen, stops := map[int]bool{}, 0
	for _, r := range newRuns(1) {
		seen[r.process.index] = true
		if r.stops {
			stops++
		}
	}
	is.Equal(len(seen), limitedProcesses)
	is.Equal(stops, limitedStops)
	is.Equal(newRuns(1), newRuns(1))
	is.True(newRuns(1)[0].duration != newRuns(2)[0].duration)
}
