package bencher

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/loader"
	"github.com/fuchsiastile/fuchsiastile/internal/picker"
)

// policy is the settings of one run; all but the first are baselines.
type policy struct {
	name     string
	settings loader.Policy
}

func changed(change func(*loader.Policy)) loader.Policy {
	p := loader.Default().Policy
	change(&p)
	return p
}

var policies = []policy{
	{"default", loader.Default().Policy},
	{"noHedge", changed(func(p *loader.Policy) { p.Hedge = false })},
	{"randomReplica", changed(func(p *loader.Policy) { p.Replica = picker.PolicyRandom })},
	{"unlimitedRetry", changed(func(p *loader.Policy) { p.RetryBudget = false })},
	{"allDirect", changed(func(p *loader.Policy) { p.Route = loader.RouteDirect })},
	{"allGateway", changed(func(p *loader.Policy) { p.Route = loader.RouteGateway })},
	{"queueOwner", changed(func(p *loader.Policy) { p.Route = loader.RouteOwner })},
	{"fixedConcurrency", changed(func(p *loader.Policy) { p.AdaptiveConcurrency = false })},
	{"noGate", changed(func(p *loader.Policy) { p.AdmissionGate = false })},
}

// scenario is a load, a fault, and the baselines that it is there to compare.
type scenario struct {
	name string
	// load is a share of the search service's capacity.
	load float64
	// mixed adds a quick class and non-idempotent requests.
	mixed bool
	// against names the policies to compare; empty means all.
	against []string
	// fault runs beside the measurement.
	fault func(*bench)
}

func (s scenario) compares(policy string) bool {
	return policy == "default" || wanted(s.against, policy)
}

var scenarios = []scenario{
	{name: "calm", load: 0.4},
	{name: "busy", load: 0.7},
	{name: "stragglers1", load: 0.4, fault: slow(1), against: []string{"noHedge", "randomReplica", "unlimitedRetry"}},
	{name: "stragglers2", load: 0.4, fault: slow(2), against: []string{"noHedge", "randomReplica", "unlimitedRetry"}},
	{name: "replicaLost", load: 0.4, fault: (*bench).loseReplica, against: []string{"noHedge", "randomReplica"}},
	{name: "domainFrozen", load: 0.25, fault: (*bench).freezeDomain, against: []string{"noHedge", "randomReplica"}},
	{name: "capacity", load: 1, against: []string{"noGate", "fixedConcurrency", "unlimitedRetry"}},
	{name: "overload1.5", load: 1.5, against: []string{"noGate", "fixedConcurrency", "unlimitedRetry"}},
	{name: "overload2", load: 2, against: []string{"noGate", "fixedConcurrency", "unlimitedRetry"}},
	{name: "mixed1.5", load: 1.5, mixed: true, against: []string{"noGate"}},
	{name: "rollingRestart", load: 0.3, fault: (*bench).rollingRestart, against: []string{"noHedge"}},
}

// slow makes n servers of the service straggle for the whole scenario.
func slow(n int) func(*bench) {
	return func(b *bench) {
		faults := calmFaults()
		faults.SlowFactor = stragglerFactor
		for i, r := range b.stage.SearchersOf(b.dep.service) {
			if i%4 == 0 && i/4 < n {
				r.SetFaults(faults)
			}
		}
	}
}

// loseReplica kills a server after a third of the time.
func (b *bench) loseReplica() {
	time.Sleep(b.config.MeasureTime / 3)
	b.stage.SearchersOf(b.dep.service)[0].Close()
}

// freezeDomain freezes all servers of a failure domain for the middle third.
func (b *bench) freezeDomain() {
	time.Sleep(b.config.MeasureTime / 3)
	domain := b.stage.Site.Domains[0].Name
	set := func(f emulator.SearcherFaults) {
		for _, r := range b.stage.SearchersOf(b.dep.service) {
			if r.VM.FailureDomain == domain {
				r.SetFaults(f)
			}
		}
	}
	set(emulator.SearcherFaults{Freeze: true})
	time.Sleep(b.config.MeasureTime / 3)
	set(calmFaults())
}

// rollingRestart stops half of the daemons in turn; callers leave each one as
// soon as it is not ready, as a balancer sees to.
func (b *bench) rollingRestart() {
	for i := range len(b.stage.Daemons) / 2 {
		d := b.stage.Daemons[i]
		d.Stop()
		b.balancer.leave(i)
		if err := <-d.RunErr; err != nil {
			klog.ErrorS(err, "a daemon did not stop as planned")
		}
	}
}
