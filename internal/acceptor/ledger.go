package acceptor

import (
	"fmt"
	"net/http"
	"sync"

	vm "github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

// Outcome is how a request ended.
type Outcome string

// The outcomes of requests.
const (
	// OutcomeAnswered means that a whole response was written.
	OutcomeAnswered Outcome = "answered"
	// OutcomeRefused means that a whole response was written which states that the request
	// has not run.
	OutcomeRefused Outcome = "refused"
	// OutcomeCallerLeft means that the caller closed or reset the connection before that.
	OutcomeCallerLeft Outcome = "callerLeft"
	// OutcomeCut means that the daemon closed the connection before that.
	OutcomeCut Outcome = "cut"
)

// outcomes lists the outcomes.
var outcomes = []Outcome{OutcomeAnswered, OutcomeRefused, OutcomeCallerLeft, OutcomeCut}

// isRefusal reports whether a response's status states that the request has not run.
func isRefusal(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// Counts are the numbers of requests of which a byte was read. It is immutable.
type Counts struct {
	// Begun is the sum of Open and Ended.
	Begun int
	// Open is the number of those that have not ended.
	Open int
	// Ended is the number of those that have ended, by outcome.
	Ended map[Outcome]int
}

// ledger counts the requests of an Acceptor. It is safe for concurrent use.
type ledger struct {
	mu    sync.Mutex
	begun int
	ended map[Outcome]int
}

func (l *ledger) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begun++
}

func (l *ledger) end(outcome Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended[outcome]++
}

func (l *ledger) counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := Counts{Begun: l.begun, Open: l.begun, Ended: make(map[Outcome]int, len(outcomes))}
	for outcome, n := range l.ended {
		c.Ended[outcome] = n
		c.Open -= n
	}
	return c
}

// Counts returns how many requests have begun and how they have ended.
func (a *Acceptor) Counts() Counts { return a.ledger.counts() }

// Register adds the counts to a set of metrics.
func (a *Acceptor) Register(metrics *vm.Set) {
	metrics.NewGauge("callerRequestsOpen", func() float64 { return float64(a.Counts().Open) })
	for _, outcome := range outcomes {
		metrics.NewGauge(fmt.Sprintf(`callerRequestsTotal{outcome=%q}`, outcome), func() float64 {
			return float64(a.Counts().Ended[outcome])
		})
	}
}

// Record logs the counts at the end of a process. Requests without a whole response are an
// error, since every stop leaves time to refuse them.
func (c Counts) Record(name string) {
	values := []any{"name", name, "begun", c.Begun, "open", c.Open}
	for _, outcome := range outcomes {
		values = append(values, string(outcome), c.Ended[outcome])
	}
	if c.Open > 0 || c.Ended[OutcomeCut] > 0 {
		klog.ErrorS(nil, "requests of callers ended without a response", values...)
		return
	}
	klog.InfoS("all requests of callers ended", values...)
}
