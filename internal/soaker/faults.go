package soaker

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/interposer"
)

// pick returns a random one of values.
func pick[T any](s *Soak, values ...T) T { return values[s.rng.IntN(len(values))] }

// randomDuration returns a random duration in [low, high).
func (s *Soak) randomDuration(low, high time.Duration) time.Duration {
	return randomDuration(s.rng, low, high)
}

func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

// injectFaults starts random faults, which may overlap, for faultPhase and waits until
// all have ended. The parameters of a fault are drawn before its goroutine starts, so
// that the seed determines them.
func (s *Soak) injectFaults(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(s.stopBesideChanges())
	for end := time.Now().Add(faultPhase); time.Now().Before(end) && ctx.Err() == nil; {
		startFault := pick(s, s.killProcess, s.killProcess, s.suspendProcess, s.terminateProcess, s.faultStoreConnections, s.faultStore, s.restoreStore, s.faultSearcherConnections, s.faultSearcher, s.faultSearcher, s.limitSearcher)
		runFault := startFault()
		wait.Add(1)
		go func() {
			defer wait.Done()
			runFault()
		}()
		time.Sleep(s.randomDuration(50*time.Millisecond, 700*time.Millisecond))
	}
	wait.Wait()
}

// killProcess kills a process with SIGKILL and restarts it after a pause.
func (s *Soak) killProcess() func() {
	p, pause := pick(s, s.processes...), s.randomDuration(100*time.Millisecond, 2*time.Second)
	return func() {
		if !p.tryClaim() {
			return
		}
		defer p.release()
		s.logf("process %d: killing it, restart after %v", p.index, pause)
		s.faultsOf(p).recordKill()
		s.signal(p, syscall.SIGKILL)
		s.restartProcess(p, pause)
	}
}

// terminateProcess sends SIGTERM to a process and restarts it. Callers keep using its
// connections until it exits.
func (s *Soak) terminateProcess() func() {
	p := pick(s, s.processes...)
	return func() { s.stopProcess(p) }
}

func (s *Soak) stopProcess(p *process) {
	if !p.tryClaim() {
		return
	}
	defer p.release()
	s.terminate(p)
}

// terminate sends SIGTERM to a process that is claimed and restarts it.
func (s *Soak) terminate(p *process) {
	s.logf("process %d: sending SIGTERM", p.index)
	sent := time.Now()
	s.signal(p, syscall.SIGTERM)
	s.restartProcess(p, 100*time.Millisecond)
	if elapsed := time.Since(sent); elapsed > stopTimeout {
		s.reportViolation("process %d: took %v to stop and restart", p.index, elapsed)
	}
}

// stopBesideChanges sends SIGTERM to two processes, one shortly after the other, while the
// configuration changes several times.
func (s *Soak) stopBesideChanges() func() {
	first := s.changeRng.IntN(len(s.processes))
	second := (first + 1 + s.changeRng.IntN(len(s.processes)-1)) % len(s.processes)
	begin, between := randomDuration(s.changeRng, 0, 2*time.Second), randomDuration(s.changeRng, 0, 2*time.Second)
	type change struct{ pause, idleTimeout time.Duration }
	changes := make([]change, 3+s.changeRng.IntN(4))
	for n := range changes {
		changes[n] = change{randomDuration(s.changeRng, 50*time.Millisecond, 1500*time.Millisecond), randomIdleTimeout(s.changeRng)}
	}
	return func() {
		var wait sync.WaitGroup
		time.Sleep(begin)
		wait.Go(func() { s.stopProcess(s.processes[first]) })
		wait.Go(func() {
			time.Sleep(between)
			s.stopProcess(s.processes[second])
		})
		for _, c := range changes {
			time.Sleep(c.pause)
			s.applyNext("", c.idleTimeout)
		}
		wait.Wait()
	}
}

// randomIdleTimeout returns an idle limit for the next configuration.
func randomIdleTimeout(rng *rand.Rand) time.Duration {
	limits := []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 15 * time.Second}
	return limits[rng.IntN(len(limits))]
}

// stopTimeout is the shutdown time that the settings grant a process plus an allowance
// for the pause before its restart.
const stopTimeout = 6*time.Second + 200*time.Millisecond

// suspendProcess suspends a process with SIGSTOP for a while.
func (s *Soak) suspendProcess() func() {
	p, duration := pick(s, s.processes...), s.randomDuration(200*time.Millisecond, 4*time.Second)
	return func() {
		if !p.tryClaim() {
			return
		}
		defer p.release()
		s.logf("process %d: suspending it for %v", p.index, duration)
		s.faultsOf(p).recordSuspension()
		s.signal(p, syscall.SIGSTOP)
		time.Sleep(duration)
		s.signal(p, syscall.SIGCONT)
		s.faultsOf(p).recordResumption()
	}
}

// randomProxyFault returns a random fault for a proxy.
func (s *Soak) randomProxyFault() interposer.Faults {
	return pick(s,
		interposer.Faults{Reset: true},
		interposer.Faults{DropRequests: true},
		interposer.Faults{DropReplies: true},
		interposer.Faults{DropRequests: true, DropReplies: true},
		interposer.Faults{Delay: s.randomDuration(5*time.Millisecond, 400*time.Millisecond)},
	)
}

func (s *Soak) faultStoreConnections() func() {
	fault, duration := s.randomProxyFault(), s.randomDuration(300*time.Millisecond, 5*time.Second)
	return func() {
		s.logf("connections to the store: faults %+v for %v", fault, duration)
		s.storeProxy.InjectFaults(fault)
		time.Sleep(duration)
		s.storeProxy.InjectFaults(interposer.Faults{})
	}
}

func (s *Soak) faultStore() func() {
	fault, duration := pick(s, emulator.StoreFaults{Refuse: 503}, emulator.StoreFaults{Refuse: 429}, emulator.StoreFaults{Silent: true}, emulator.StoreFaults{Deaf: true}), s.randomDuration(300*time.Millisecond, 4*time.Second)
	return func() {
		s.logf("store: faults %+v for %v", fault, duration)
		s.tier.Store.SetFaults(fault)
		time.Sleep(duration)
		s.tier.Store.Compact()
		s.tier.Store.SetFaults(emulator.StoreFaults{})
	}
}

func (s *Soak) faultSearcherConnections() func() {
	p, fault, duration := pick(s, s.searcherProxies...), s.randomProxyFault(), s.randomDuration(300*time.Millisecond, 4*time.Second)
	return func() {
		s.logf("connections to %s: faults %+v for %v", p.Address(), fault, duration)
		p.InjectFaults(fault)
		time.Sleep(duration)
		p.InjectFaults(interposer.Faults{})
	}
}

func (s *Soak) faultSearcher() func() {
	b, duration := pick(s, s.tier.Backends...), s.randomDuration(300*time.Millisecond, 4*time.Second)
	fault := pick(s,
		emulator.BackendFaults{Pause: s.randomDuration(20*time.Millisecond, 500*time.Millisecond)},
		emulator.BackendFaults{Shed: true},
		emulator.BackendFaults{Fail: true},
		emulator.BackendFaults{Reset: true},
		emulator.BackendFaults{Truncate: true},
		emulator.BackendFaults{Unframed: true},
		emulator.BackendFaults{Extra: true},
		emulator.BackendFaults{ForgetIdle: true},
	)
	return func() {
		s.logf("searcher %s: faults %+v for %v", b.Server.Instance, fault, duration)
		b.SetFaults(fault)
		time.Sleep(duration)
		b.SetFaults(emulator.BackendFaults{})
	}
}

// limitSearcher makes a searcher name a rate limit for a while, so that daemons that stop,
// start or are suspended meanwhile have old news of limits to tell.
func (s *Soak) limitSearcher() func() {
	b, perSecond, duration := pick(s, s.tier.Backends...), s.randomRateLimit(), s.randomDuration(300*time.Millisecond, 4*time.Second)
	return func() {
		s.logf("searcher %s: limit of %.1f requests a second for %v", b.Server.Instance, perSecond, duration)
		b.SetRateLimit(perSecond)
		time.Sleep(duration)
		b.SetRateLimit(0)
	}
}

// randomRateLimit returns a rate limit in requests a second.
func (s *Soak) randomRateLimit() float64 { return 1 + s.rng.Float64()*20 }

// rewriteTime is the time within which the operator and the searchers write again what a
// restored store has lost.
const rewriteTime = 1500 * time.Millisecond

// restoreStore changes the configuration, restores the store from a copy that lacks the
// change and writes again what was lost.
func (s *Soak) restoreStore() func() {
	lost, away, rewrite := s.randomDuration(300*time.Millisecond, 3*time.Second), s.randomDuration(50*time.Millisecond, 2*time.Second), s.randomDuration(0, rewriteTime)
	idleTimeout := randomIdleTimeout(s.changeRng)
	return func() {
		if !s.restoring.CompareAndSwap(false, true) {
			return
		}
		defer s.restoring.Store(false)
		c := s.tier.Store.Copy()
		s.applyNext("", idleTimeout)
		time.Sleep(lost)
		s.logf("store: restored from a copy %v old after %v", lost, away)
		s.tier.Store.SetFaults(emulator.StoreFaults{Refuse: 503})
		time.Sleep(away)
		s.tier.Store.Restore(c)
		s.tier.Store.SetFaults(emulator.StoreFaults{})
		time.Sleep(rewrite)
		for _, b := range s.tier.Backends {
			s.tier.Register(b.Server)
		}
		s.applyAgain()
	}
}
