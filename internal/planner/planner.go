// Package planner derives the shards and candidate searchers of a query from the
// declarations, the snapshots and the VM list. It performs no I/O.
package planner

import (
	"hash/fnv"
	"strconv"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// Kind classifies an Error.
type Kind string

// Error kinds.
const (
	KindUnknownService  Kind = "unknownService"
	KindUnknownClass    Kind = "unknownClass"
	KindUnknownSnapshot Kind = "unknownSnapshot"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// Searcher is a backend server that may hold a replica of a shard.
type Searcher struct {
	Address       string
	FailureDomain string
	Region        string
	// Instance identifies the process; it is empty if the platform provides no
	// identity. Born changes when the process restarts under the same Instance.
	Instance string
	Born     int64
	// Slots is the number of requests that the server processes concurrently, or
	// zero if unknown.
	Slots int
	// WarmUp is the remaining warm-up time at registration, during which the
	// server is slow.
	WarmUp time.Duration
	// Spare is true if this daemon is not assigned a connection to the server
	// and uses it only when the other candidates fail.
	Spare bool
}

// Key returns the key under which state about the searcher is kept. If Instance is
// set, a process that reuses an address does not inherit the state of the former one.
func (s Searcher) Key() string {
	if s.Instance == "" {
		return s.Address
	}
	return s.Instance + "/" + strconv.FormatInt(s.Born, 36)
}

// Shard is one shard of a pinned snapshot.
type Shard struct {
	Name string
	// Candidates are the searchers selected by the partition map.
	Candidates []Searcher
}

// Plan is the service, traffic rule and pinned snapshot of a query.
type Plan struct {
	Service declarer.Service
	Rule    declarer.TrafficRule
	// Snapshot is never empty.
	Snapshot string
	// Shards is the whole partition map, including unreachable shards. Its length
	// is the denominator of coverage.
	Shards []Shard
}

// View is an immutable copy of the inputs that plans are compiled from.
type View struct {
	declarations declarer.Declarations
	indexes      declarer.Indexes
	vms          []declarer.VM
	plans        map[string]Plan
	classes      map[string]declarer.Class
}

// DefaultRule applies to services that no traffic rule selects.
var DefaultRule = declarer.TrafficRule{
	Name:     "default",
	Locality: declarer.LocalityAny,
	Hedge:    declarer.Hedge{Quantile: 0.98, Budget: 0.02},
}

// New returns an empty view.
func New() *View {
	return (&View{}).compile()
}

// WithDeclarations returns a copy of the view with the declarations replaced.
func (v *View) WithDeclarations(d declarer.Declarations) *View {
	return (&View{declarations: d, indexes: v.indexes, vms: v.vms}).compile()
}

// WithIndexes returns a copy of the view with the snapshots replaced.
func (v *View) WithIndexes(x declarer.Indexes) *View {
	return (&View{declarations: v.declarations, indexes: x, vms: v.vms}).compile()
}

// WithVMs returns a copy of the view with the VM list replaced.
func (v *View) WithVMs(vms []declarer.VM) *View {
	return (&View{declarations: v.declarations, indexes: v.indexes, vms: vms}).compile()
}

// Declarations returns the declarations of the view.
func (v *View) Declarations() declarer.Declarations { return v.declarations }

// Plans returns the plans by service name, including those without a snapshot.
func (v *View) Plans() map[string]Plan { return v.plans }

// VMs returns the VM list as received from the platform, without declared labels.
func (v *View) VMs() []declarer.VM { return v.vms }

// Class returns the declared class of that name.
func (v *View) Class(name string) (declarer.Class, error) {
	class, ok := v.classes[name]
	if !ok {
		return class, failer.New("find class", KindUnknownClass, "no class %q is declared", name)
	}
	return class, nil
}

// Plan returns the plan of a service, or an error if it has no snapshot.
func (v *View) Plan(service string) (Plan, error) {
	plan, ok := v.plans[service]
	if !ok {
		return plan, failer.New("plan", KindUnknownService, "no service %q is declared", service)
	}
	if plan.Snapshot == "" {
		return plan, failer.New("plan", KindUnknownSnapshot, "service %q has no snapshot yet", service)
	}
	return plan, nil
}

// ShardFor returns the shard that a key belongs to. The plan must have at least
// one shard.
func (p Plan) ShardFor(key string) Shard {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	return p.Shards[h.Sum64()%uint64(len(p.Shards))]
}

func (v *View) compile() *View {
	v.plans = make(map[string]Plan, len(v.declarations.Services))
	v.classes = make(map[string]declarer.Class, len(v.declarations.Classes))
	for _, class := range v.declarations.Classes {
		v.classes[class.Name] = class
	}
	for _, service := range v.declarations.Services {
		v.plans[service.Name] = v.compilePlan(service)
	}
	return v
}

func (v *View) compilePlan(service declarer.Service) Plan {
	plan := Plan{Service: service, Rule: v.ruleFor(service)}
	snapshot, ok := v.indexes.Services[service.Name]
	if !ok {
		return plan
	}
	plan.Snapshot = snapshot.Name
	vms := v.selectVMs(parseSelector(service.Selector))
	for _, shard := range snapshot.Shards {
		plan.Shards = append(plan.Shards, Shard{
			Name:       shard.Name,
			Candidates: selectCandidates(vms, parseSelector(shard.Selector)),
		})
	}
	return plan
}

func (v *View) ruleFor(service declarer.Service) declarer.TrafficRule {
	for _, rule := range v.declarations.TrafficRules {
		if parseSelector(rule.Selector).Matches(labels.Set(service.Labels)) {
			return rule
		}
	}
	return DefaultRule
}

// selectVMs returns the backend servers that match a selector after the declared
// labels have been added. Entry VMs and leaving VMs are left out.
func (v *View) selectVMs(selector labels.Selector) []declarer.VM {
	var out []declarer.VM
	for _, vm := range v.vms {
		if vm.State == declarer.VMLeaving || vm.Labels[declarer.RoleLabel] == declarer.RoleEntry {
			continue
		}
		vm = vm.WithLabels(v.declarations.VMLabels[vm.Name])
		if selector.Matches(labels.Set(vm.Labels)) {
			out = append(out, vm)
		}
	}
	return out
}

func selectCandidates(vms []declarer.VM, selector labels.Selector) []Searcher {
	var out []Searcher
	for _, vm := range vms {
		if selector.Matches(labels.Set(vm.Labels)) {
			out = append(out, Searcher{Address: vm.Address, FailureDomain: vm.FailureDomain, Region: vm.Region})
		}
	}
	return out
}

// parseSelector parses a selector that has been validated before. An invalid one
// matches nothing.
func parseSelector(text string) labels.Selector {
	selector, err := labels.Parse(text)
	if err != nil {
		return labels.Nothing()
	}
	return selector
}
