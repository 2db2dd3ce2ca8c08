package hedger_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/hedger"
)

// TestHedgeDelayLeavesTimeForReply guards against sending a hedge too late for its
// reply to meet the latency objective. Fault pattern: requests with different
// objectives wait for the same paused searchers, and the hedge goes to another
// region.
func TestHedgeDelayLeavesTimeForReply(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ median, tail, objective time.Duration }{
		{4 * time.Millisecond, 200 * time.Millisecond, 100 * time.Millisecond},
		{11 * time.Millisecond, 200 * time.Millisecond, 150 * time.Millisecond},
		{28 * time.Millisecond, 300 * time.Millisecond, 250 * time.Millisecond},
		{220 * time.Millisecond, 600 * time.Millisecond, time.Second},
	} {
		h := hedger.New(0.95, 0)
		is.True(h.DelayWithin(c.objective, true) < c.objective/2) // no samples yet
		for n := range 1000 {
			latency := c.median
			if n%10 == 0 {
				latency = c.tail
			}
			h.RecordLatency(latency, false)
		}
		delay := h.DelayWithin(c.objective, true)
		is.True(delay >= c.median)
		is.True(h.DelayWithin(c.objective, false) <= delay)
		is.True(delay+24*time.Millisecond+c.median <= c.objective)
		is.True(h.DelayWithin(0, true) >= c.median)
	}
}
