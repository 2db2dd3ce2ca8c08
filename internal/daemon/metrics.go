package daemon

import (
	"fmt"
	"io"
	"sync"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/pkg/caller"
)

const (
	// maxTenants bounds the tenants that get histograms of their own.
	maxTenants = 200
	// otherTenant stands for the rest, noTenant for callers that name none.
	otherTenant = "other"
	noTenant    = "none"
)

// metrics counts what a daemon does.
type metrics struct {
	set           *vm.Set
	shardRequests *vm.Counter
	extraRequests *vm.Counter
	packetsIn     *vm.Counter
	packetsOut    *vm.Counter
	foreign       *vm.Counter
	bytesOut      *vm.Counter
	bytesIn       *vm.Counter
	conflicts     *vm.Counter
	fetchedBytes  *vm.Counter
	platformCalls *vm.Counter
	platformFails *vm.Counter
	// results is indexed by outcome and reason.
	results [][]*vm.Counter

	mu      sync.Mutex
	tenants map[string]bool
}

func newMetrics() *metrics {
	set := vm.NewSet()
	return &metrics{
		results:       resultCounters(set),
		set:           set,
		shardRequests: set.NewCounter("shardRequestsTotal"),
		extraRequests: set.NewCounter("extraShardRequestsTotal"),
		packetsIn:     set.NewCounter(`memberPacketsTotal{direction="in"}`),
		packetsOut:    set.NewCounter(`memberPacketsTotal{direction="out"}`),
		foreign:       set.NewCounter("foreignPacketsTotal"),
		bytesOut:      set.NewCounter(`memberBytesTotal{direction="out"}`),
		bytesIn:       set.NewCounter(`memberBytesTotal{direction="in"}`),
		conflicts:     set.NewCounter("documentConflictsTotal"),
		fetchedBytes:  set.NewCounter("fetchedBytesTotal"),
		platformCalls: set.NewCounter("platformCallsTotal"),
		platformFails: set.NewCounter("platformFailuresTotal"),
		tenants:       map[string]bool{},
	}
}

// resultCounters makes one counter for each outcome and reason.
func resultCounters(set *vm.Set) [][]*vm.Counter {
	out := make([][]*vm.Counter, len(messenger.Outcome_name))
	for o := range out {
		out[o] = make([]*vm.Counter, len(messenger.Reason_name))
		for r := range out[o] {
			name := fmt.Sprintf(`shardResultsTotal{outcome=%q,reason=%q}`, messenger.Outcome(o), messenger.Reason(r))
			out[o][r] = set.NewCounter(name)
		}
	}
	return out
}

// tenant bounds the label values that callers can make.
func (m *metrics) tenant(name string) string {
	if name == "" {
		return noTenant
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.tenants[name] && len(m.tenants) >= maxTenants {
		return otherTenant
	}
	m.tenants[name] = true
	return name
}

// request records how one request of a caller ended.
func (m *metrics) request(class, tenant string, outcome caller.Outcome, took time.Duration, coverage float64) {
	labels := fmt.Sprintf(`{class=%q,tenant=%q,outcome=%q}`, class, m.tenant(tenant), outcome)
	m.set.GetOrCreateHistogram("requestSeconds" + labels).Update(took.Seconds())
	if outcome == caller.OutcomeAnswered {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`requestCoverage{class=%q}`, class)).Update(coverage)
	}
}

// ended counts how one shard request ended.
func (m *metrics) ended(r *messenger.ShardResult) {
	outcome, reason := int(r.GetOutcome()), int(r.GetReason())
	if outcome < len(m.results) && reason < len(m.results[outcome]) {
		m.results[outcome][reason].Inc()
	}
}

func (m *metrics) write(w io.Writer) { m.set.WritePrometheus(w) }
