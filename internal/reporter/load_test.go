package reporter_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/framer"
	"github.com/fuchsiastile/fuchsiastile/internal/picker"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/internal/reporter"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// The model tier: one failure domain of a large fleet. Each daemon runs a query every
// three seconds, keeps connections to one replica of each shard and sends a shard
// request to two searchers at most. An answer may lack four of 90 shards.
const (
	modelDaemons   = 49
	modelShards    = 90
	modelReplicas  = 3
	modelSearchers = 2
	modelMissing   = 4
	queryInterval  = 3 * time.Second
	reportInterval = 500 * time.Millisecond
	serviceTime    = 25 * time.Millisecond
	crossRegionRTT = 24 * time.Millisecond
)

// model is a tier whose searchers refuse requests with given probabilities, and are
// slower than usual by given factors.
type model struct {
	rng      *rand.Rand
	shards   [][]planner.Searcher
	refusing map[string]float64
	slow     map[string]float64
	daemons  []*modelDaemon
	// avoidable counts the shard requests for which a replica was not slow, and
	// avoided those of them that went to such a replica.
	avoidable, avoided int
	// shared is set if the daemons share their observations.
	shared bool
}

type modelDaemon struct {
	picker   *picker.Picker
	reporter *reporter.Reporter
	// nextQuery is when the daemon runs its next query.
	nextQuery time.Time
}

var modelStart = time.Unix(1000, 0)

func newModel(shared bool) *model {
	m := &model{rng: rand.New(rand.NewPCG(18, 27)), refusing: map[string]float64{}, slow: map[string]float64{}, shared: shared}
	for shard := range modelShards {
		var replicas []planner.Searcher
		for n := range modelReplicas {
			name := fmt.Sprint(shard, "-", n)
			domain := string(rune('a' + n))
			replicas = append(replicas, planner.Searcher{Address: name, Instance: name, FailureDomain: domain, Region: "region-" + domain, Slots: 7, Spare: n > 0})
		}
		m.shards = append(m.shards, replicas)
	}
	for n := range modelDaemons {
		m.daemons = append(m.daemons, &modelDaemon{
			picker: picker.New(picker.Config{
				FailureDomain: "a", Region: "region-a", Policy: picker.PolicyLoadAware, Direct: true,
				MaxEjection: 4 * time.Second, Rand: rand.New(rand.NewPCG(1, uint64(n))),
			}),
			reporter:  reporter.New(),
			nextQuery: modelStart.Add(time.Duration(n) * queryInterval / modelDaemons),
		})
	}
	return m
}

// run lets the time pass and returns the share of the queries that were answered.
func (m *model) run(from, to time.Time) float64 {
	queries, answered := 0, 0
	for now := from; now.Before(to); now = now.Add(reportInterval) {
		for _, d := range m.daemons {
			for d.nextQuery.Before(now.Add(reportInterval)) {
				queries++
				if m.query(d.nextQuery, d) {
					answered++
				}
				d.nextQuery = d.nextQuery.Add(queryInterval)
			}
		}
		if m.shared {
			m.share(now.Add(reportInterval))
		}
	}
	return float64(answered) / float64(queries)
}

// share pools all reports at one daemon and applies its summary everywhere.
func (m *model) share(now time.Time) {
	collector := m.daemons[0].reporter
	for n, d := range m.daemons {
		collector.Collect(fmt.Sprint(n), d.reporter.Report())
	}
	keys := map[uint64]string{}
	for _, replicas := range m.shards {
		for _, s := range replicas {
			keys[reporter.Hash(s.Key())] = s.Key()
		}
	}
	summary := collector.Summary()
	for _, o := range summary.Searchers {
		for _, d := range m.daemons {
			d.picker.RecordShared(now, keys[o.Searcher], o, summary.TypicalServiceTime)
		}
	}
}

func (m *model) query(now time.Time, d *modelDaemon) bool {
	missing := 0
	for _, replicas := range m.shards {
		if !m.shardRequest(now, d, replicas) {
			missing++
		}
	}
	return missing <= modelMissing
}

func (m *model) shardRequest(now time.Time, d *modelDaemon, replicas []planner.Searcher) bool {
	var tried []string
	for range modelSearchers {
		key, ok := d.picker.Pick(now, declarer.TrafficRule{Locality: declarer.LocalityAny}, replicas, tried)
		if !ok {
			return false
		}
		tried = append(tried, key)
		d.picker.Release(key)
		if m.rng.Float64() < m.refusing[key] {
			d.picker.RecordRefusal(now, key, framer.Load{})
			d.reporter.RecordFailure(key)
			continue
		}
		m.answer(now, d, replicas, key)
		return true
	}
	return false
}

// answer records the answer of a replica, which may be slow.
func (m *model) answer(now time.Time, d *modelDaemon, replicas []planner.Searcher, key string) {
	for n, s := range replicas {
		if s.Key() != key {
			continue
		}
		latency := time.Duration(max(1, m.slow[key]) * float64(serviceTime))
		if n > 0 {
			latency += crossRegionRTT
		}
		d.picker.RecordReply(now, key, latency, framer.Load{})
		d.reporter.RecordAnswer(key, d.picker.ServiceTimeSample(s, latency))
	}
	if slices.ContainsFunc(replicas, func(s planner.Searcher) bool { return m.slow[s.Key()] == 0 }) {
		m.avoidable++
		if m.slow[key] == 0 {
			m.avoided++
		}
	}
}

// bestAnswered returns the share of queries that can be answered by daemons that know
// which searchers refuse: each sends to sound replicas first.
func (m *model) bestAnswered() float64 {
	const queries = 2000
	answered := 0
	for range queries {
		missing := 0
		for _, replicas := range m.shards {
			sound := false
			for _, s := range replicas {
				sound = sound || m.refusing[s.Key()] == 0
			}
			rate := m.refusing[replicas[0].Key()]
			if !sound && m.rng.Float64() < rate*rate {
				missing++
			}
		}
		if missing <= modelMissing {
			answered++
		}
	}
	return float64(answered) / queries
}

// TestShedIntervalOfHalfTheSearchers covers an interval of eight seconds in which half
// of the searchers refuse 45% of their requests. The answered share must come within a
// tenth of what daemons reach that know the refusing searchers, once they have had
// two seconds to learn them.
func TestShedIntervalOfHalfTheSearchers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	answered := map[bool]float64{}
	best := 0.0
	for _, shared := range []bool{false, true} {
		m := newModel(shared)
		calm := modelStart.Add(20 * time.Second)
		is.Equal(m.run(modelStart, calm), 1.0)
		for _, replicas := range m.shards {
			for _, s := range replicas {
				if m.rng.IntN(2) == 0 {
					m.refusing[s.Key()] = 0.45
				}
			}
		}
		learned := calm.Add(2 * time.Second)
		first := m.run(calm, learned)
		answered[shared] = m.run(learned, calm.Add(8*time.Second))
		best = m.bestAnswered()
		t.Logf("shared %v: answered %.2f in the first two seconds, %.2f after them, at best %.2f", shared, first, answered[shared], best)
	}
	is.True(answered[true] >= 0.9*best)
	is.True(answered[true] > answered[false])
}

// TestIntervalOfSlowSearchers covers an interval of eight seconds in which 40% of the
// searchers are slower than usual. Of the requests to shards with a replica that is not
// slow, nine in ten must go to such a replica, once the daemons have had two seconds
// to learn them.
func TestIntervalOfSlowSearchers(t *testing.T) {
	t.Parallel()
	for _, factor := range []float64{6, 12} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			avoided := map[bool]float64{}
			for _, shared := range []bool{false, true} {
				m := newModel(shared)
				calm := modelStart.Add(20 * time.Second)
				m.run(modelStart, calm)
				for _, replicas := range m.shards {
					for _, s := range replicas {
						if m.rng.Float64() < 0.4 {
							m.slow[s.Key()] = factor
						}
					}
				}
				learned := calm.Add(2 * time.Second)
				m.run(calm, learned)
				m.avoided, m.avoidable = 0, 0
				m.run(learned, calm.Add(8*time.Second))
				avoided[shared] = float64(m.avoided) / float64(m.avoidable)
				t.Logf("shared %v: %.2f avoided slow searchers", shared, avoided[shared])
			}
			is.True(avoided[true] >= 0.9)
			is.True(avoided[true] > avoided[false])
		})
	}
}
