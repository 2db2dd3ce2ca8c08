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

// replicas are a searcher of one shard in each of three regions.
var replicas = []planner.Searcher{
	{Address: "1", Instance: "near", FailureDomain: "a", Region: "r", Slots: 2},
	{Address: "2", Instance: "far", FailureDomain: "b", Region: "s", Slots: 2},
	{Address: "3", Instance: "other", FailureDomain: "c", Region: "t", Slots: 2},
}

// load sends requests to replicas that answer as a pattern says, 10 a second
// as one daemon of a small tier does.
type load struct {
	*picker.Picker
	now time.Time
	// took is how long a searcher takes for a request that begins now; 0 refuses.
	took func(instance int) time.Duration
	sent [3]int
	// pending holds requests that are out.
	pending []request
}

type request struct {
	key  string
	sent time.Time
	ends time.Time
}

func newLoad() *load {
	l := &load{now: start}
	l.Picker = picker.New(picker.Config{
		FailureDomain: "a", Region: "r", Policy: picker.PolicyLoadAware, Rand: rand.New(rand.NewPCG(1, 1)),
		Direct: true, MaxEjection: 4 * time.Second,
	})
	l.took = func(int) time.Duration { return 10 * time.Millisecond }
	return l
}

// giveUp is when a request that got no reply is given up, since a hedge was faster.
const giveUp = 80 * time.Millisecond

// run sends a request every 100 ms for a span and returns how many went to each replica.
func (l *load) run(span time.Duration) [3]int {
	l.sent = [3]int{}
	for end := l.now.Add(span); l.now.Before(end); l.now = l.now.Add(10 * time.Millisecond) {
		l.settle()
		if l.now.Sub(start)%(100*time.Millisecond) != 0 {
			continue
		}
		key, _ := l.Pick(l.now, anyOf, replicas, nil)
		for i, r := range replicas {
			if r.Key() != key {
				continue
			}
			l.sent[i]++
			took := l.took(i)
			if took == 0 {
				l.Release(key)
				l.RecordRefusal(l.now, key, framer.Load{})
				continue
			}
			if i > 0 {
				took += 24 * time.Millisecond
			}
			l.pending = append(l.pending, request{key: key, sent: l.now, ends: l.now.Add(took)})
		}
	}
	return l.sent
}

func (l *load) settle() {
	kept := l.pending[:0]
	for _, r := range l.pending {
		switch {
		case !l.now.Before(r.ends):
			l.Release(r.key)
			l.RecordReply(l.now, r.key, r.ends.Sub(r.sent), framer.Load{})
		case l.now.Sub(r.sent) >= giveUp:
			l.Release(r.key)
			l.RecordAbandoned(l.now, r.key, l.now.Sub(r.sent))
		default:
			kept = append(kept, r)
		}
	}
	l.pending = kept
}

func TestCalmStaysNear(t *testing.T) {
	is := is.New(t)
	l := newLoad()
	is.Equal(l.run(10*time.Second), [3]int{100, 0, 0})
}

// TestAPauseIsLeftAndSoonForgotten names the pattern: every searcher stands still
// for 200 ms each 4.5 s.
func TestAPauseIsLeftAndSoonForgotten(t *testing.T) {
	is := is.New(t)
	l := newLoad()
	l.run(2 * time.Second)
	pauseEnds := l.now.Add(200 * time.Millisecond)
	l.took = func(i int) time.Duration {
		if i == 0 {
			return max(0, pauseEnds.Sub(l.now)) + 10*time.Millisecond
		}
		return 10 * time.Millisecond
	}
	l.run(400 * time.Millisecond)
	is.True(l.run(2 * time.Second)[0] >= 18) // at most two requests go elsewhere afterwards
}

// TestASlowSearcherIsLeftAndTriedAgain names the pattern: searchers of many shards
// turn eight times slower, and recover.
func TestASlowSearcherIsLeftAndTriedAgain(t *testing.T) {
	is := is.New(t)
	l := newLoad()
	l.run(2 * time.Second)
	l.took = func(i int) time.Duration {
		if i == 0 {
			return 88 * time.Millisecond
		}
		return 10 * time.Millisecond
	}
	l.run(2 * time.Second)
	is.True(l.run(5 * time.Second)[0] <= 15) // of 50
	l.took = func(int) time.Duration { return 10 * time.Millisecond }
	l.run(5 * time.Second)
	is.True(l.run(5 * time.Second)[0] >= 45)
}

// TestAGreySearcherIsLeft names the pattern: half of the searchers refuse most of
// what they get, with good health; a repeat is dearer than the way.
func TestAGreySearcherIsLeft(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	l := newLoad()
	l.run(2 * time.Second)
	l.took = func(i int) time.Duration {
		if i == 0 && rng.Float64() < 0.6 {
			return 0
		}
		return 10 * time.Millisecond
	}
	l.run(2 * time.Second)
	is.True(l.run(6 * time.Second)[0] <= 20) // of 60
	l.took = func(int) time.Duration { return 10 * time.Millisecond }
	l.run(6 * time.Second)
	is.True(l.run(5 * time.Second)[0] >= 45)
}

// TestASilentSearcherIsAskedRarely names the pattern: a searcher goes dark and its
// registration lasts for three heartbeats more.
func TestASilentSearcherIsAskedRarely(t *testing.T) {
	is := is.New(t)
	l := newLoad()
	l.run(2 * time.Second)
	l.took = func(i int) time.Duration {
		if i == 0 {
			return time.Hour
		}
		return 10 * time.Millisecond
	}
	is.True(l.run(4 * time.Second)[0] <= 8) // of 40
}

// TestARestartBeginsWithoutAPast keeps what is known of a process apart from what
// comes after it under the same identity.
func TestARestartBeginsWithoutAPast(t *testing.T) {
	is := is.New(t)
	l := newLoad()
	for range 3 {
		l.RecordFailure(start, replicas[0].Key())
	}
	key, _ := l.Pick(start, anyOf, replicas, nil)
	is.True(key != replicas[0].Key())
	born := append([]planner.Searcher{}, replicas...)
	born[0].Born = 7
	key, _ = l.Pick(start, anyOf, born, nil)
	is.Equal(key, born[0].Key())
	// Another process has its address: it is never asked again, not even last.
	l.MarkDraining(start, key)
	_, ok := l.Pick(start, anyOf, born[:1], nil)
	is.True(!ok)
}

// TestADeadShardIsKnownAndAPauseIsNot names the pattern: all searchers of a shard
// crash or fall silent; one that only pauses leaves hope.
func TestADeadShardIsKnownAndAPauseIsNot(t *testing.T) {
	is := is.New(t)
	l := newLoad()
	l.run(2 * time.Second)
	is.True(!l.AllUnavailable(l.now, replicas))
	pauseEnds := l.now.Add(300 * time.Millisecond)
	l.took = func(int) time.Duration { return max(0, pauseEnds.Sub(l.now)) + 10*time.Millisecond }
	l.run(250 * time.Millisecond)
	is.True(!l.AllUnavailable(l.now, replicas))
	l.run(2 * time.Second)
	l.took = func(int) time.Duration { return time.Hour }
	l.run(4 * time.Second)
	is.True(l.AllUnavailable(l.now, replicas))
	l.took = func(int) time.Duration { return 10 * time.Millisecond }
	l.run(2 * time.Second)
	is.True(!l.AllUnavailable(l.now, replicas))
}
