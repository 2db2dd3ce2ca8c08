// Package scheduler is a daemon's timer service: it runs callbacks at their due
// times, in order, on a single goroutine.
package scheduler

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

const (
	// maxLateness is how long after its due time a callback may start before the process
	// is considered to have been suspended, or to have had no processor time.
	maxLateness = 500 * time.Millisecond
	// recoveryTime is how long after a suspension the process may still be reading what
	// arrived during it.
	recoveryTime = 500 * time.Millisecond
)

// Scheduler runs callbacks when they are due.
type Scheduler struct {
	mu     sync.Mutex
	timers timerHeap
	// resumedAt is when a callback last started later than maxLateness after it was due.
	resumedAt time.Time
	wake      chan struct{}
	stop      chan struct{}
	closeOnce sync.Once
}

// Timer is one scheduled callback.
type Timer struct {
	at        time.Time
	callback  func(now time.Time)
	index     int
	scheduler *Scheduler
}

// New returns a scheduler without callbacks; Run must be called to run them.
func New() *Scheduler {
	return &Scheduler{wake: make(chan struct{}, 1), stop: make(chan struct{})}
}

// At schedules a callback for a point in time. It runs on the scheduler's goroutine
// and must not block.
func (s *Scheduler) At(at time.Time, callback func(now time.Time)) *Timer {
	t := &Timer{at: at, callback: callback, scheduler: s}
	s.mu.Lock()
	heap.Push(&s.timers, t)
	first := t.index == 0
	s.mu.Unlock()
	if first {
		s.wakeRun()
	}
	return t
}

// Every schedules a callback that repeats until the scheduler is closed. The
// interval is counted from the end of one run to the start of the next.
func (s *Scheduler) Every(interval time.Duration, callback func(now time.Time)) {
	s.At(time.Now().Add(interval), func(now time.Time) {
		callback(now)
		s.Every(interval, callback)
	})
}

// Stop cancels the timer; it has no effect if the callback has already started.
func (t *Timer) Stop() {
	t.scheduler.mu.Lock()
	defer t.scheduler.mu.Unlock()
	if t.index >= 0 {
		heap.Remove(&t.scheduler.timers, t.index)
	}
}

// wakeRun makes Run compute the time until the next callback again.
func (s *Scheduler) wakeRun() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run runs callbacks until Close is called.
func (s *Scheduler) Run() error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(s.runDue())
		select {
		case <-timer.C:
		case <-s.wake:
		case <-s.stop:
			return nil
		}
	}
}

// runDue runs the callbacks that are due and returns the time until the next one.
func (s *Scheduler) runDue() time.Duration {
	for {
		select {
		case <-s.stop:
			return 0
		default:
		}
		s.mu.Lock()
		if len(s.timers) == 0 {
			s.mu.Unlock()
			return time.Hour
		}
		now := time.Now()
		next := s.timers[0]
		if wait := next.at.Sub(now); wait > 0 {
			s.mu.Unlock()
			return wait
		}
		s.recordLateness(now)
		heap.Pop(&s.timers)
		s.mu.Unlock()
		next.callback(now)
	}
}

// recordLateness records whether the first callback is late. The caller holds mu, and there
// is a callback.
func (s *Scheduler) recordLateness(now time.Time) {
	if now.Sub(s.timers[0].at) > maxLateness {
		s.resumedAt = now
	}
}

// JustResumed reports whether the process was suspended until a moment ago, as far as
// late callbacks show it. The age of a message that it reads is then unknown.
func (s *Scheduler) JustResumed(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.timers) > 0 {
		// The callbacks may not have had their turn yet.
		s.recordLateness(now)
	}
	return !s.resumedAt.IsZero() && now.Sub(s.resumedAt) < recoveryTime
}

// Sleep waits for a duration or until the context is done.
func Sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Close makes Run return.
func (s *Scheduler) Close() {
	s.closeOnce.Do(func() { close(s.stop) })
}

// timerHeap implements heap.Interface, ordered by due time.
type timerHeap []*Timer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].at.Before(t[j].at) }

func (t timerHeap) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

// Push implements heap.Interface.
func (t *timerHeap) Push(x any) {
	timer := x.(*Timer)
	timer.index = len(*t)
	*t = append(*t, timer)
}

// Pop implements heap.Interface.
func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	timer := (*t)[last]
	(*t)[last] = nil
	timer.index = -1
	*t = (*t)[:last]
	return timer
}
