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
	// maxTenants is the maximum number of tenants with histograms of their own.
	maxTenants = 200
	// otherTenant is the label of all further tenants, noTenant that of requests
	// without a tenant.
	otherTenant = "other"
	noTenant    = "none"
)

// metrics holds the metrics of a daemon.
type metrics struct {
	set              *vm.Set
	shardRequests    *vm.Counter
	extraRequests    *vm.Counter
	packetsIn        *vm.Counter
	packetsOut       *vm.Counter
	foreignPackets   *vm.Counter
	bytesOut         *vm.Counter
	bytesIn          *vm.Counter
	conflicts        *vm.Counter
	fetchedBytes     *vm.Counter
	platformCalls    *vm.Counter
	platformFailures *vm.Counter
	// results is indexed by outcome, then reason.
	results [][]*vm.Counter

	mu      sync.Mutex
	tenants map[string]bool
}

func newMetrics() *metrics {
	set := vm.NewSet()
	return &metrics{
		results:          newResultCounters(set),
		set:              set,
		shardRequests:    set.NewCounter("shardRequestsTotal"),
		extraRequests:    set.NewCounter("extraShardRequestsTotal"),
		packetsIn:        set.NewCounter(`memberPacketsTotal{direction="in"}`),
		packetsOut:       set.NewCounter(`memberPacketsTotal{direction="out"}`),
		foreignPackets:   set.NewCounter("foreignPacketsTotal"),
		bytesOut:         set.NewCounter(`memberBytesTotal{direction="out"}`),
		bytesIn:          set.NewCounter(`memberBytesTotal{direction="in"}`),
		conflicts:        set.NewCounter("documentConflictsTotal"),
		fetchedBytes:     set.NewCounter("fetchedBytesTotal"),
		platformCalls:    set.NewCounter("platformCallsTotal"),
		platformFailures: set.NewCounter("platformFailuresTotal"),
		tenants:          map[string]bool{},
	}
}

// newResultCounters creates a counter for each pair of outcome and reason.
func newResultCounters(set *vm.Set) [][]*vm.Counter {
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

// tenantLabel returns the label of a tenant. Callers choose tenant names freely,
// so the number of label values is limited to maxTenants.
func (m *metrics) tenantLabel(name string) string {
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

// recordRequest records the duration of a caller's request and, if it was
// answered, its coverage.
func (m *metrics) recordRequest(class, tenant string, outcome caller.Outcome, duration time.Duration, coverage float64) {
	labels := fmt.Sprintf(`{class=%q,tenant=%q,outcome=%q}`, class, m.tenantLabel(tenant), outcome)
	m.set.GetOrCreateHistogram("requestSeconds" + labels).Update(duration.Seconds())
	if outcome == caller.OutcomeAnswered {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`requestCoverage{class=%q}`, class)).Update(coverage)
	}
}

// countResult counts a shard result by outcome and reason.
func (m *metrics) countResult(r *messenger.ShardResult) {
	outcome, reason := int(r.GetOutcome()), int(r.GetReason())
	if outcome < len(m.results) && reason < len(m.results[outcome]) {
		m.results[outcome][reason].Inc()
	}
}

func (m *metrics) write(w io.Writer) { m.set.WritePrometheus(w) }
