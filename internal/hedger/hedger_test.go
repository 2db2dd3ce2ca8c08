package hedger_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/hedger"
)

// TestHedgesLeaveTimeForTheirAnswer names the pattern: requests of different
// objectives on the same paused searchers; a second answer from another region
// must still be in time.
func TestHedgesLeaveTimeForTheirAnswer(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ usual, tail, objective time.Duration }{
		{4 * time.Millisecond, 200 * time.Millisecond, 100 * time.Millisecond},
		{11 * time.Millisecond, 200 * time.Millisecond, 150 * time.Millisecond},
		{28 * time.Millisecond, 300 * time.Millisecond, 250 * time.Millisecond},
		{220 * time.Millisecond, 600 * time.Millisecond, time.Second},
	} {
		h := hedger.New(0.95, 0)
		is.True(h.DelayWithin(c.objective, true) < c.objective/2) // nothing is known yet
		for n := range 1000 {
			took := c.usual
			if n%10 == 0 {
				took = c.tail
			}
			h.RecordLatency(took, false)
		}
		delay := h.DelayWithin(c.objective, true)
		is.True(delay >= c.usual)
		is.True(h.DelayWithin(c.objective, false) <= delay)
		is.True(delay+24*time.Millisecond+c.usual <= c.objective)
		is.True(h.DelayWithin(0, true) >= c.usual)
	}
}
