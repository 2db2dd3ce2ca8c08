package picker_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/framer"
	"github.com/fuchsiastile/fuchsiastile/internal/picker"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
)

// replicas holds one searcher of the same shard in each of three regions.
var replicas = []planner.Searcher{
	{Address: "1", Instance: "near", FailureDomain: "a", Region: "r", Slots: 2},
	{Address: "2", Instance: "far", FailureDomain: "b", Region: "s", Slots: 2},
	{Address: "3", Instance: "other", FailureDomain: "c", Region: "t", Slots: 2},
}

// simulation sends 10 requests per second, the rate of one daemon of a small tier,
// to replicas with a configurable latency.
type simulation struct {
	*picker.Picker
	now time.Time
	// latency returns the time that a replica takes for a request that starts now,
	// without the network round trip, or 0 if it refuses the request.
	latency func(replica int) time.Duration
	sent    [3]int
	// pending holds the outstanding requests.
	pending []request
}

type request struct {
	key  string
	sent time.Time
	done time.Time
}

func newSimulation() *simulation {
	sim := &simulation{now: start}
	sim.Picker = picker.New(picker.Config{
		FailureDomain: "a", Region: "r", Policy: picker.PolicyLoadAware, Rand: rand.New(rand.NewPCG(1, 1)),
		Direct: true, MaxEjection: 4 * time.Second,
	})
	sim.latency = func(int) time.Duration { return 10 * time.Millisecond }
	return sim
}

// abandonAfter is the time after which an unanswered request is abandoned because
// its hedge was faster.
const abandonAfter = 80 * time.Millisecond

// run sends a request every 100 ms for the given duration and returns how many
// went to each replica.
func (sim *simulation) run(duration time.Duration) [3]int {
	sim.sent = [3]int{}
	for end := sim.now.Add(duration); sim.now.Before(end); sim.now = sim.now.Add(10 * time.Millisecond) {
		sim.completeRequests()
		if sim.now.Sub(start)%(100*time.Millisecond) != 0 {
			continue
		}
		key, _ := sim.Pick(sim.now, anyOf, replicas, nil)
		for i, r := range replicas {
			if r.Key() != key {
				continue
			}
			sim.sent[i]++
			latency := sim.latency(i)
			if latency == 0 {
				sim.Release(key)
				sim.RecordRefusal(sim.now, key, framer.Load{})
				continue
			}
			if i > 0 {
				latency += 24 * time.Millisecond
			}
			sim.pending = append(sim.pending, request{key: key, sent: sim.now, done: sim.now.Add(latency)})
		}
	}
	return sim.sent
}

func (sim *simulation) completeRequests() {
	kept := sim.pending[:0]
	for _, r := range sim.pending {
		switch {
		case !sim.now.Before(r.done):
			sim.Release(r.key)
			sim.RecordReply(sim.now, r.key, r.done.Sub(r.sent), framer.Load{})
		case sim.now.Sub(r.sent) >= abandonAfter:
			sim.Release(r.key)
			sim.RecordAbandoned(sim.now, r.key, sim.now.Sub(r.sent))
		default:
			kept = append(kept, r)
		}
	}
	sim.pending = kept
}

func TestHealthyNearReplicaGetsAllRequests(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	is.Equal(sim.run(10*time.Second), [3]int{100, 0, 0})
}

// TestPausedSearcherIsAvoidedBriefly guards against avoiding a searcher long after
// a pause. Fault pattern: every searcher pauses for 200 ms every 4.5 s.
func TestPausedSearcherIsAvoidedBriefly(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	sim.run(2 * time.Second)
	pauseEnds := sim.now.Add(200 * time.Millisecond)
	sim.latency = func(i int) time.Duration {
		if i == 0 {
			return max(0, pauseEnds.Sub(sim.now)) + 10*time.Millisecond
		}
		return 10 * time.Millisecond
	}
	sim.run(400 * time.Millisecond)
	is.True(sim.run(2 * time.Second)[0] >= 18) // after the pause at most two requests go elsewhere
}

// TestSlowSearcherIsAvoidedUntilItRecovers guards against staying with a slow
// searcher and against never trying it again. Fault pattern: searchers of many
// shards become eight times slower and then recover.
func TestSlowSearcherIsAvoidedUntilItRecovers(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	sim.run(2 * time.Second)
	sim.latency = func(i int) time.Duration {
		if i == 0 {
			return 88 * time.Millisecond
		}
		return 10 * time.Millisecond
	}
	sim.run(2 * time.Second)
	is.True(sim.run(5 * time.Second)[0] <= 15) // of 50
	sim.latency = func(int) time.Duration { return 10 * time.Millisecond }
	sim.run(5 * time.Second)
	is.True(sim.run(5 * time.Second)[0] >= 45)
}

// TestRefusingSearcherIsAvoidedUntilItRecovers guards against staying with a
// searcher in gray failure. Fault pattern: half of the searchers refuse most of
// their requests while their health checks pass; a retry costs more than the
// longer round trip to another replica.
func TestRefusingSearcherIsAvoidedUntilItRecovers(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	sim := newSimulation()
	sim.run(2 * time.Second)
	sim.latency = func(i int) time.Duration {
		if i == 0 && rng.Float64() < 0.6 {
			return 0
		}
		return 10 * time.Millisecond
	}
	sim.run(2 * time.Second)
	is.True(sim.run(6 * time.Second)[0] <= 20) // of 60
	sim.latency = func(int) time.Duration { return 10 * time.Millisecond }
	sim.run(6 * time.Second)
	is.True(sim.run(5 * time.Second)[0] >= 45)
}

// TestUnresponsiveSearcherGetsFewRequests guards against sending to a searcher that
// stopped replying. Fault pattern: the searcher becomes unreachable and its
// registration lasts for another three heartbeats.
func TestUnresponsiveSearcherGetsFewRequests(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	sim.run(2 * time.Second)
	sim.latency = func(i int) time.Duration {
		if i == 0 {
			return time.Hour
		}
		return 10 * time.Millisecond
	}
	is.True(sim.run(4 * time.Second)[0] <= 8) // of 40
}

// TestRestartedSearcherHasNoHistory guards against applying the failures of a
// process to its successor with the same address and instance name.
func TestRestartedSearcherHasNoHistory(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	for range 3 {
		sim.RecordFailure(start, replicas[0].Key())
	}
	key, _ := sim.Pick(start, anyOf, replicas, nil)
	is.True(key != replicas[0].Key())
	restarted := append([]planner.Searcher{}, replicas...)
	restarted[0].Born = 7
	key, _ = sim.Pick(start, anyOf, restarted, nil)
	is.Equal(key, restarted[0].Key())
	// Another process has its address: it is never picked again, not even as a last resort.
	sim.MarkDraining(start, key)
	_, ok := sim.Pick(start, anyOf, restarted[:1], nil)
	is.True(!ok)
}

// TestShardIsUnavailableOnlyAfterLongSilence guards against waiting for a shard
// whose searchers have all crashed or stopped replying, and against giving up on
// one whose searchers only pause.
func TestShardIsUnavailableOnlyAfterLongSilence(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	sim.run(2 * time.Second)
	is.True(!sim.AllUnavailable(sim.now, replicas))
	pauseEnds := sim.now.Add(300 * time.Millisecond)
	sim.latency = func(int) time.Duration { return max(0, pauseEnds.Sub(sim.now)) + 10*time.Millisecond }
	sim.run(250 * time.Millisecond)
	is.True(!sim.AllUnavailable(sim.now, replicas))
	sim.run(2 * time.Second)
	sim.latency = func(int) time.Duration { return time.Hour }
	sim.run(4 * time.Second)
	is.True(sim.AllUnavailable(sim.now, replicas))
	sim.latency = func(int) time.Duration { return 10 * time.Millisecond }
	sim.run(2 * time.Second)
	is.True(!sim.AllUnavailable(sim.now, replicas))
}
