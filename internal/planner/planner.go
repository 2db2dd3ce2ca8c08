// Package planner turns declarations, snapshots and the VM list into the
// shards and candidate searchers of a query. It does no input or output.
package planner

import (
	"hash/fnv"
	"strconv"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// Kind is the kind of an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindUnknownService  Kind = "unknownService"
	KindUnknownClass    Kind = "unknownClass"
	KindUnknownSnapshot Kind = "unknownSnapshot"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// Searcher is a backend server that may hold a shard.
type Searcher struct {
	Address       string
	FailureDomain string
	Region        string
	// Instance is the identity of the process, where the platform gives one; Born
	// tells a restart under the same identity.
	Instance string
	Born     int64
	// Slots is how many requests it works on at once; zero where it is not known.
	Slots int
	// WarmUp is how much longer it was slow when it registered.
	WarmUp time.Duration
	// Fallback means that this daemon is not meant to hold a connection to it, and
	// turns to it only where the others fail.
	Fallback bool
}

// Key names a searcher in tables of what is known of it. Where there is an
// instance, a process that takes over an address starts without a past.
func (s Searcher) Key() string {
	if s.Instance == "" {
		return s.Address
	}
	return s.Instance + "/" + strconv.FormatInt(s.Born, 36)
}

// Shard is one part of a pinned snapshot.
type Shard struct {
	Name string
	// Candidates are the searchers that the partition map selects.
	Candidates []Searcher
}

// Plan is a query's service, rule and pinned snapshot.
type Plan struct {
	Service declarer.Service
	Rule    declarer.TrafficRule
	// Snapshot is never empty.
	Snapshot string
	// Shards is the whole partition map, reachable or not: the denominator of coverage.
	Shards []Shard
}

// View is one immutable state of everything that plans are made from.
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

// WithDeclarations returns the view with other declarations.
func (v *View) WithDeclarations(d declarer.Declarations) *View {
	return (&View{declarations: d, indexes: v.indexes, vms: v.vms}).compile()
}

// WithIndexes returns the view with other snapshots.
func (v *View) WithIndexes(x declarer.Indexes) *View {
	return (&View{declarations: v.declarations, indexes: x, vms: v.vms}).compile()
}

// WithVMs returns the view with another VM list.
func (v *View) WithVMs(vms []declarer.VM) *View {
	return (&View{declarations: v.declarations, indexes: v.indexes, vms: vms}).compile()
}

// Declarations returns the declarations of the view.
func (v *View) Declarations() declarer.Declarations { return v.declarations }

// Plans returns every service's plan by the service's name.
func (v *View) Plans() map[string]Plan { return v.plans }

// VMs returns the VM list as the platform gave it.
func (v *View) VMs() []declarer.VM { return v.vms }

// Class returns a declared class.
func (v *View) Class(name string) (declarer.Class, error) {
	class, ok := v.classes[name]
	if !ok {
		return class, failer.New("find class", KindUnknownClass, "no class %q is declared", name)
	}
	return class, nil
}

// Plan returns the plan of a service.
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

// ShardFor returns the shard that a key belongs to. The plan has a shard.
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
	members := v.selectVMs(parse(service.Selector))
	for _, shard := range snapshot.Shards {
		plan.Shards = append(plan.Shards, Shard{
			Name:       shard.Name,
			Candidates: candidates(members, parse(shard.Selector)),
		})
	}
	return plan
}

func (v *View) ruleFor(service declarer.Service) declarer.TrafficRule {
	for _, rule := range v.declarations.TrafficRules {
		if parse(rule.Selector).Matches(labels.Set(service.Labels)) {
			return rule
		}
	}
	return DefaultRule
}

// selectVMs returns the backend servers that a selector matches, with declared labels added.
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

func candidates(vms []declarer.VM, selector labels.Selector) []Searcher {
	var out []Searcher
	for _, vm := range vms {
		if selector.Matches(labels.Set(vm.Labels)) {
			out = append(out, Searcher{Address: vm.Address, FailureDomain: vm.FailureDomain, Region: vm.Region})
		}
	}
	return out
}

// parse returns a selector that was checked before; one that cannot be read selects nothing.
func parse(text string) labels.Selector {
	selector, err := labels.Parse(text)
	if err != nil {
		return labels.Nothing()
	}
	return selector
}
