package responder

import (
	"fmt"

	vm "github.com/VictoriaMetrics/metrics"
)

// Metrics holds a responder's metrics.
type Metrics struct {
	set           *vm.Set
	shardRequests *vm.Counter
	extraRequests *vm.Counter
	budgetDenied  *vm.Counter
	dials         *vm.Counter
	connections   *vm.Gauge
	shardSeconds  *vm.Histogram
	// sharedObservations counts the observations of other daemons that were applied.
	sharedObservations *vm.Counter
	// limitedSearchers is the number of searchers that name a rate limit.
	// limitedRequests counts the requests sent to them, limitDenied those that the limit
	// did not allow.
	limitedSearchers             *vm.Gauge
	limitedRequests, limitDenied *vm.Counter
}

// NewMetrics registers a responder's metrics in set.
func NewMetrics(set *vm.Set) *Metrics {
	return &Metrics{
		set:           set,
		shardRequests: set.NewCounter("shardRequestsTotal"),
		extraRequests: set.NewCounter("extraShardRequestsTotal"),
		budgetDenied:  set.NewCounter("retryBudgetDeniedTotal"),
		dials:         set.NewCounter("searcherDialsTotal"),
		connections:   set.NewGauge("searcherConnections", nil),
		shardSeconds:  set.NewHistogram("shardSeconds"),

		sharedObservations: set.NewCounter("sharedObservationsTotal"),
		limitedSearchers:   set.NewGauge("limitedSearchers", nil),
		limitedRequests:    set.NewCounter("limitedSearcherRequestsTotal"),
		limitDenied:        set.NewCounter("rateLimitDeniedTotal"),
	}
}

func (m *Metrics) countShardResult(result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`shardResultsTotal{result=%q}`, result)).Inc()
}
