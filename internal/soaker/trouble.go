package soaker

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/interposer"
)

// pick returns one of several values.
func pick[T any](s *Soak, values ...T) T { return values[s.rng.IntN(len(values))] }

// between draws a time.
func (s *Soak) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.rng.Int64N(int64(most-least)))
}

// trouble begins faults in series, which overlap, and returns when all have ended.
func (s *Soak) trouble(ctx context.Context) {
	var wait sync.WaitGroup
	for end := time.Now().Add(troubleTime); time.Now().Before(end) && ctx.Err() == nil; {
		fault := pick(s, s.kill, s.kill, s.freeze, s.stop, s.harmStore, s.faultStore, s.harmSearcher, s.faultSearcher, s.faultSearcher)
		ends := fault()
		wait.Add(1)
		go func() {
			defer wait.Done()
			ends()
		}()
		time.Sleep(s.between(50*time.Millisecond, 700*time.Millisecond))
	}
	wait.Wait()
}

// kill ends a process at once and starts it again.
func (s *Soak) kill() func() {
	p, pause := pick(s, s.processes...), s.between(100*time.Millisecond, 2*time.Second)
	return func() {
		if !p.claim() {
			return
		}
		defer p.release()
		s.tell("process %d is killed for %v", p.number, pause)
		s.signal(p, syscall.SIGKILL)
		s.relaunch(p, pause)
	}
}

// stop asks a process to end and starts it again; callers keep using its
// connections until it is gone.
func (s *Soak) stop() func() {
	p := pick(s, s.processes...)
	return func() {
		if !p.claim() {
			return
		}
		defer p.release()
		s.tell("process %d is asked to stop", p.number)
		asked := time.Now()
		s.signal(p, syscall.SIGTERM)
		s.relaunch(p, 100*time.Millisecond)
		if took := time.Since(asked); took > grace {
			s.broken("process %d took %v to stop", p.number, took)
		}
	}
}

// grace is what the settings give a stopping process, and the pause before its start.
const grace = 6*time.Second + 200*time.Millisecond

// freeze makes a process stand still.
func (s *Soak) freeze() func() {
	p, span := pick(s, s.processes...), s.between(200*time.Millisecond, 4*time.Second)
	return func() {
		if !p.claim() {
			return
		}
		defer p.release()
		s.tell("process %d stands still for %v", p.number, span)
		s.signal(p, syscall.SIGSTOP)
		time.Sleep(span)
		s.signal(p, syscall.SIGCONT)
	}
}

// harm draws what a proxy does.
func (s *Soak) harm() interposer.Faults {
	return pick(s,
		interposer.Faults{Reset: true},
		interposer.Faults{DropRequests: true},
		interposer.Faults{DropReplies: true},
		interposer.Faults{DropRequests: true, DropReplies: true},
		interposer.Faults{Delay: s.between(5*time.Millisecond, 400*time.Millisecond)},
	)
}

func (s *Soak) harmStore() func() {
	h, span := s.harm(), s.between(300*time.Millisecond, 5*time.Second)
	return func() {
		s.tell("connections to the store: %+v for %v", h, span)
		s.store.InjectFaults(h)
		time.Sleep(span)
		s.store.InjectFaults(interposer.Faults{})
	}
}

func (s *Soak) faultStore() func() {
	f, span := pick(s, emulator.StoreFaults{Refuse: 503}, emulator.StoreFaults{Refuse: 429}, emulator.StoreFaults{Silent: true}, emulator.StoreFaults{Deaf: true}), s.between(300*time.Millisecond, 4*time.Second)
	return func() {
		s.tell("store: %+v for %v", f, span)
		s.tier.Store.SetFaults(f)
		time.Sleep(span)
		s.tier.Store.Compact()
		s.tier.Store.SetFaults(emulator.StoreFaults{})
	}
}

func (s *Soak) harmSearcher() func() {
	p, h, span := pick(s, s.proxies...), s.harm(), s.between(300*time.Millisecond, 4*time.Second)
	return func() {
		s.tell("connections to %s: %+v for %v", p.Address(), h, span)
		p.InjectFaults(h)
		time.Sleep(span)
		p.InjectFaults(interposer.Faults{})
	}
}

func (s *Soak) faultSearcher() func() {
	b, span := pick(s, s.tier.Backends...), s.between(300*time.Millisecond, 4*time.Second)
	f := pick(s,
		emulator.BackendFaults{Pause: s.between(20*time.Millisecond, 500*time.Millisecond)},
		emulator.BackendFaults{Shed: true},
		emulator.BackendFaults{Fail: true},
		emulator.BackendFaults{Reset: true},
		emulator.BackendFaults{Truncate: true},
		emulator.BackendFaults{Unframed: true},
		emulator.BackendFaults{Extra: true},
		emulator.BackendFaults{ForgetIdle: true},
	)
	return func() {
		s.tell("searcher %s: %+v for %v", b.Server.Instance, f, span)
		b.SetFaults(f)
		time.Sleep(span)
		b.SetFaults(emulator.BackendFaults{})
	}
}
