package admitter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/admitter"
)

var start = time.Unix(1000, 0)

func item(attempt uint64, priority int, wait time.Duration) admitter.Item[string] {
	return admitter.Item[string]{Attempt: attempt, Priority: priority, Deadline: start.Add(wait)}
}

// sent returns the attempts of decisions that send.
func sent(decisions []admitter.Decision[string]) []uint64 {
	var out []uint64
	for _, d := range decisions {
		if d.Refusal == admitter.RefusedNone {
			out = append(out, d.Item.Attempt)
		}
	}
	return out
}

func TestLaneSendsByPriorityThenDeadline(t *testing.T) {
	is := is.New(t)
	lane := admitter.New[string](admitter.Config{MaxConcurrency: 1, QueueLimit: 10})
	is.Equal(sent(lane.Offer(start, item(1, 0, time.Second))), []uint64{1})
	for _, i := range []admitter.Item[string]{item(2, 0, time.Second), item(3, 5, time.Minute), item(4, 5, time.Second), item(5, 0, time.Minute)} {
		is.Equal(len(lane.Offer(start, i)), 0)
	}
	for _, want := range []uint64{4, 3, 2, 5} {
		is.Equal(sent(lane.Done(start, time.Millisecond, false)), []uint64{want})
	}
}

func TestLaneRefuses(t *testing.T) {
	is := is.New(t)
	lane := admitter.New[string](admitter.Config{MaxConcurrency: 1, QueueLimit: 2})
	lane.Offer(start, item(1, 0, time.Second))
	lane.Offer(start, item(2, 0, time.Second))
	lane.Offer(start, item(3, 1, time.Second))
	out := lane.Offer(start, item(4, 2, time.Second))
	is.Equal(len(out), 1) // the one that would be sent last makes room
	is.Equal(out[0].Item.Attempt, uint64(2))
	is.Equal(out[0].Refusal, admitter.RefusedQueueFull)

	_, ok := lane.Cancel(3)
	is.True(ok)
	_, ok = lane.Cancel(1) // it is at the server
	is.True(!ok)

	out = lane.Done(start.Add(2*time.Second), 100*time.Millisecond, false)
	is.Equal(out[0].Refusal, admitter.RefusedTooLate) // the deadline of 4 has passed

	lane.Offer(start, item(6, 0, time.Minute))
	lane.Offer(start, item(7, 0, time.Minute))
	out = lane.Close(admitter.RefusedDraining)
	is.Equal(len(out), 1)
	is.Equal(lane.Offer(start, item(8, 0, time.Minute))[0].Refusal, admitter.RefusedDraining)
}

func TestLaneAdaptsToSheds(t *testing.T) {
	is := is.New(t)
	lane := admitter.New[string](admitter.Config{MaxConcurrency: 8, QueueLimit: 100, Adaptive: true})
	attempt := uint64(0)
	offer := func() {
		attempt++
		lane.Offer(start, item(attempt, 0, time.Hour))
	}
	for range 50 {
		offer()
	}
	for range 40 {
		lane.Done(start, time.Millisecond, false)
	}
	is.Equal(lane.Limit(), 8) // grows to the connection budget, not above
	before := lane.Limit()
	lane.Done(start, 0, true)
	is.True(lane.Limit() < before)
	for range 20 {
		offer()
		lane.Done(start, 0, true)
	}
	is.Equal(lane.Limit(), 1) // never below one
}

func TestGateRefusesLowestPriorityFirst(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	gate := admitter.NewGate(rand.New(rand.NewPCG(3, 4)))
	now := start
	admitted := map[int]int{}
	for range 20_000 {
		now = now.Add(time.Millisecond)
		for _, priority := range []int{1, 10} {
			if gate.Admit(now, priority) {
				admitted[priority]++
			}
			// Servers have room for 7 in 10 of the traffic, and refuse what is above.
			gate.RecordResult(rng.Float64() > 0.7/gate.AdmittedShare())
		}
	}
	is.True(admitted[10] > 19_000)
	is.True(admitted[1] < 10_000)
	is.True(admitted[1] > 0)
}
