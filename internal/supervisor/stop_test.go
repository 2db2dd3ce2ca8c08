package supervisor

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStopSchedule covers the order of the times of a stop, and that requests in progress end
// in the last sixth of the grace period only.
func TestStopSchedule(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Now()
	for _, gracePeriod := range []time.Duration{100 * time.Millisecond, time.Second, 6 * time.Second, time.Minute} {
		stop := newStop(now, gracePeriod)
		is.True(stop.AcceptUntil.After(now))
		is.True(stop.AcceptUntil.Before(stop.AnswerBy))
		is.True(stop.AnswerBy.Before(stop.ExitBy))
		is.True(stop.ExitBy.Before(now.Add(gracePeriod)))
		is.True(stop.AnswerBy.Sub(now) > gracePeriod*5/6)
	}
	is.Equal(newStop(now, 6*time.Second).AcceptUntil, now.Add(lameDuckPeriod))
}
