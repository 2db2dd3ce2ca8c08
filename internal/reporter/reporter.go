// Package reporter combines what the daemons of a failure domain observe of the
// searchers. In a large tier a daemon meets each searcher only every few seconds,
// so that its own observations are too few to avoid one that fails requests or is
// slow. Each daemon reports its observations to collectors, which pool them and send
// a summary of the searchers that deviate to all daemons of their failure domain.
// It performs no I/O.
package reporter

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxObservations bounds a report and a summary to about 2 KB. A query to more shards
	// than that leaves observations out of its report.
	maxObservations = 128
	// maxPerSender bounds the requests to one searcher that one report may count, so
	// that no single daemon decides what a summary says.
	maxPerSender = 4
	// minSenders is the number of daemons that must have observed a searcher within
	// senderIntervals intervals for it to be in a summary.
	minSenders      = 2
	senderIntervals = 4
	// recoveryIntervals is how long a searcher that deviated is remembered, and
	// recoveryReports the number of summaries that name it once it no longer deviates.
	recoveryIntervals = 16
	recoveryReports   = 2
	// minFailedShare is the share of failed requests from which a searcher deviates.
	minFailedShare = 0.2
	// slowFactor is the ratio of a searcher's service time to the typical one from
	// which it deviates.
	slowFactor = 2.5
	// maxPooled bounds the searchers in a pool, since anybody can send a report.
	maxPooled = 20_000
)

// Observation is what was observed of one searcher during a report interval.
type Observation struct {
	// Searcher is the Hash of the searcher's key.
	Searcher uint64
	// Answered counts the requests that were answered, Failed those that were refused or
	// whose answer was lost or unusable.
	Answered, Failed int
	// ServiceTime is the mean service time of the answered requests, without the
	// network round trip.
	ServiceTime time.Duration
}

// requests returns the number of requests observed.
func (o Observation) requests() int { return o.Answered + o.Failed }

// failedShare returns the share of the requests that failed.
func (o Observation) failedShare() float64 {
	return float64(o.Failed) / float64(max(1, o.requests()))
}

// plus returns the observation of both.
func (o Observation) plus(other Observation) Observation {
	answered := o.Answered + other.Answered
	if answered > 0 {
		total := o.ServiceTime*time.Duration(o.Answered) + other.ServiceTime*time.Duration(other.Answered)
		o.ServiceTime = total / time.Duration(answered)
	}
	o.Answered, o.Failed = answered, o.Failed+other.Failed
	return o
}

// bounded returns the observation with at most maxPerSender requests.
func (o Observation) bounded() Observation {
	o.Answered, o.Failed = max(0, o.Answered), max(0, o.Failed)
	if n := o.requests(); n > maxPerSender {
		o.Failed = o.Failed * maxPerSender / n
		o.Answered = maxPerSender - o.Failed
	}
	return o
}

// Hash returns the number that identifies a searcher's key in observations.
func Hash(key string) uint64 { return xxhash.Sum64String(key) }

// Summary is what a collector pooled during an interval.
type Summary struct {
	// Searchers holds the searchers that fail requests or are slow, the worst first,
	// and those that did so a short time ago and have recovered.
	Searchers []Observation
	// TypicalServiceTime is the median service time of all searchers in the pool; zero
	// if none answered.
	TypicalServiceTime time.Duration
}

// pooled is the sum of the observations of several daemons during an interval.
type pooled struct {
	Observation
	// senders maps up to minSenders daemons that reported to the interval of their last
	// report.
	senders map[string]int
	// deviated is the last interval in which the searcher deviated; zero if it did not
	// within recoveryIntervals. recoveries counts the summaries that named it since.
	deviated   int
	recoveries int
}

// Reporter holds the observations of one daemon and, on a collector, those that
// others reported to it. It is safe for concurrent use.
type Reporter struct {
	mu  sync.Mutex
	own map[uint64]Observation
	// pool holds the searchers with a report in the last senderIntervals intervals.
	pool     map[uint64]*pooled
	interval int
}

// New returns a Reporter without observations.
func New() *Reporter {
	return &Reporter{interval: 1, own: map[uint64]Observation{}, pool: map[uint64]*pooled{}}
}

// RecordAnswer records that a searcher answered a request in the given service time.
func (r *Reporter) RecordAnswer(key string, serviceTime time.Duration) {
	r.record(Observation{Searcher: Hash(key), Answered: 1, ServiceTime: max(0, serviceTime)})
}

// RecordFailure records that a searcher refused a request, or that its answer was lost
// or unusable.
func (r *Reporter) RecordFailure(key string) {
	r.record(Observation{Searcher: Hash(key), Failed: 1})
}

func (r *Reporter) record(o Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.own[o.Searcher]
	previous.Searcher = o.Searcher
	r.own[o.Searcher] = previous.plus(o)
}

// Report returns and clears the own observations: those with failures first, then
// those with most requests, as far as a report holds them.
func (r *Reporter) Report() []Observation {
	r.mu.Lock()
	own := r.own
	r.own = map[uint64]Observation{}
	r.mu.Unlock()
	return largest(slices.Collect(maps.Values(own)), func(o Observation) float64 {
		return float64(o.Failed*maxPerSender + o.requests())
	})
}

// Collect adds a daemon's report to the pool.
func (r *Reporter) Collect(sender string, report []Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range report[:min(len(report), maxObservations)] {
		p, ok := r.pool[o.Searcher]
		if !ok && len(r.pool) >= maxPooled {
			continue
		}
		if !ok {
			p = &pooled{Observation: Observation{Searcher: o.Searcher}, senders: map[string]int{}}
			r.pool[o.Searcher] = p
		}
		p.Observation = p.plus(o.bounded())
		if _, known := p.senders[sender]; known || len(p.senders) < minSenders {
			p.senders[sender] = r.interval
		}
	}
}

// Summary returns the summary of the interval that ends and starts the next one.
func (r *Reporter) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	typical := typicalServiceTime(r.pool)
	var searchers []Observation
	for _, p := range r.pool {
		if len(p.senders) >= minSenders && p.deviates(typical) {
			p.deviated, p.recoveries = r.interval, 0
			searchers = append(searchers, p.Observation)
		} else if p.deviated > 0 && p.requests() > 0 && p.recoveries < recoveryReports {
			p.recoveries++
			searchers = append(searchers, p.Observation)
		}
	}
	r.startInterval()
	searchers = largest(searchers, func(o Observation) float64 {
		return o.failedShare() + float64(o.ServiceTime)/(slowFactor*float64(max(1, typical)))
	})
	return Summary{Searchers: searchers, TypicalServiceTime: typical}
}

// startInterval clears the observations of the pool and forgets daemons that have not
// reported for senderIntervals intervals, and searchers without any of them that have
// not deviated for recoveryIntervals intervals. The caller holds mu.
func (r *Reporter) startInterval() {
	r.interval++
	for searcher, p := range r.pool {
		p.Observation = Observation{Searcher: searcher}
		maps.DeleteFunc(p.senders, func(_ string, last int) bool { return r.interval-last > senderIntervals })
		if p.deviated > 0 && r.interval-p.deviated > recoveryIntervals {
			p.deviated = 0
		}
		if len(p.senders) == 0 && p.deviated == 0 {
			delete(r.pool, searcher)
		}
	}
}

func (p *pooled) deviates(typical time.Duration) bool {
	slow := p.Answered > 0 && float64(p.ServiceTime) > slowFactor*float64(typical)
	return slow || p.failedShare() >= minFailedShare
}

func typicalServiceTime(pool map[uint64]*pooled) time.Duration {
	times := make([]time.Duration, 0, len(pool))
	for _, p := range pool {
		if p.Answered > 0 {
			times = append(times, p.ServiceTime)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// largest returns the maxObservations observations with the largest weight, in
// falling order.
func largest(list []Observation, weight func(Observation) float64) []Observation {
	slices.SortFunc(list, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Searcher, b.Searcher))
	})
	return list[:min(len(list), maxObservations)]
}
