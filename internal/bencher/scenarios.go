package bencher

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/loader"
	"github.com/fuchsiastile/fuchsiastile/internal/picker"
)

// policy is a named policy setting. All but the first of policies are baselines.
type policy struct {
	name     string
	settings loader.Policy
}

// defaultWith returns the default policy with a change.
func defaultWith(change func(*loader.Policy)) loader.Policy {
	p := loader.Default().Policy
	change(&p)
	return p
}

var policies = []policy{
	{"default", loader.Default().Policy},
	{"noHedge", defaultWith(func(p *loader.Policy) { p.Hedge = false })},
	{"randomReplica", defaultWith(func(p *loader.Policy) { p.Replica = picker.PolicyRandom })},
	{"unlimitedRetry", defaultWith(func(p *loader.Policy) { p.RetryBudget = false })},
	{"allDirect", defaultWith(func(p *loader.Policy) { p.Route = loader.RouteDirect })},
	{"allGateway", defaultWith(func(p *loader.Policy) { p.Route = loader.RouteGateway })},
	{"queueOwner", defaultWith(func(p *loader.Policy) { p.Route = loader.RouteOwner })},
	{"fixedConcurrency", defaultWith(func(p *loader.Policy) { p.AdaptiveConcurrency = false })},
	{"noGate", defaultWith(func(p *loader.Policy) { p.AdmissionGate = false })},
}

// scenario is a load and a fault, with the baselines that are compared under them.
type scenario struct {
	name string
	// load is a fraction of the capacity of the search service.
	load float64
	// mixed adds searches of a second class and non-idempotent requests.
	mixed bool
	// baselines are the names of the baselines to compare; empty means all.
	baselines []string
	// fault injects faults and runs concurrently with the measurement.
	fault func(*run)
}

// runsUnder reports whether the scenario runs under the named policy.
func (s scenario) runsUnder(policy string) bool {
	return policy == "default" || selected(s.baselines, policy)
}

var scenarios = []scenario{
	{name: "calm", load: 0.4},
	{name: "busy", load: 0.7},
	{name: "stragglers1", load: 0.4, fault: slowServers(1), baselines: []string{"noHedge", "randomReplica", "unlimitedRetry"}},
	{name: "stragglers2", load: 0.4, fault: slowServers(2), baselines: []string{"noHedge", "randomReplica", "unlimitedRetry"}},
	{name: "replicaLost", load: 0.4, fault: (*run).loseReplica, baselines: []string{"noHedge", "randomReplica"}},
	{name: "domainFrozen", load: 0.25, fault: (*run).freezeDomain, baselines: []string{"noHedge", "randomReplica"}},
	{name: "capacity", load: 1, baselines: []string{"noGate", "fixedConcurrency", "unlimitedRetry"}},
	{name: "overload1.5", load: 1.5, baselines: []string{"noGate", "fixedConcurrency", "unlimitedRetry"}},
	{name: "overload2", load: 2, baselines: []string{"noGate", "fixedConcurrency", "unlimitedRetry"}},
	{name: "mixed1.5", load: 1.5, mixed: true, baselines: []string{"noGate"}},
	{name: "rollingRestart", load: 0.3, fault: (*run).rollingRestart, baselines: []string{"noHedge"}},
}

// slowServers makes n servers of the service stragglers for the whole scenario.
func slowServers(n int) func(*run) {
	return func(b *run) {
		faults := baseFaults()
		faults.SlowFactor = stragglerFactor
		for i, r := range b.cluster.SearchersOf(b.deployment.service) {
			if i%4 == 0 && i/4 < n {
				r.SetFaults(faults)
			}
		}
	}
}

// loseReplica stops a server after a third of the measurement.
func (b *run) loseReplica() {
	time.Sleep(b.config.MeasureTime / 3)
	b.cluster.SearchersOf(b.deployment.service)[0].Close()
}

// freezeDomain freezes all servers of a failure domain for the middle third of the
// measurement.
func (b *run) freezeDomain() {
	time.Sleep(b.config.MeasureTime / 3)
	domain := b.cluster.Site.Domains[0].Name
	setFaults := func(f emulator.SearcherFaults) {
		for _, r := range b.cluster.SearchersOf(b.deployment.service) {
			if r.VM.FailureDomain == domain {
				r.SetFaults(f)
			}
		}
	}
	setFaults(emulator.SearcherFaults{Freeze: true})
	time.Sleep(b.config.MeasureTime / 3)
	setFaults(baseFaults())
}

// rollingRestart stops half of the daemons, one after the other. As a load balancer
// would, it removes each daemon from the balancer as soon as it is not ready.
func (b *run) rollingRestart() {
	for i := range len(b.cluster.Daemons) / 2 {
		d := b.cluster.Daemons[i]
		d.Stop()
		b.balancer.remove(i)
		if err := <-d.RunErr; err != nil {
			klog.ErrorS(err, "daemon did not stop cleanly")
		}
	}
}
