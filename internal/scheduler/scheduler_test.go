package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/scheduler"
)

// TestSuspensionIsDetected guards against a process that takes what it reads after a
// suspension for new: overdue callbacks show it, before and after they have run.
func TestSuspensionIsDetected(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := scheduler.New()
	defer s.Close()
	now := time.Now()
	is.True(!s.JustResumed(now))
	ran := make(chan struct{})
	s.At(now.Add(100*time.Millisecond), func(time.Time) { close(ran) })
	is.True(!s.JustResumed(now.Add(200 * time.Millisecond)))
	s.At(now.Add(-time.Second), func(time.Time) {})
	is.True(s.JustResumed(now))
	go func() { _ = s.Run() }()
	<-ran
	is.True(s.JustResumed(now.Add(100 * time.Millisecond)))
	is.True(!s.JustResumed(time.Now().Add(time.Minute)))
}
