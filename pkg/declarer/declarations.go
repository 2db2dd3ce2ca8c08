// Package declarer holds the object kinds that operators declare and the
// platform lists, with their strict checks.
package declarer

import (
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
)

// Kind is the kind of an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindSyntax  Kind = "syntax"
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// Locality tells how far the replicas of a shard may be from the entry.
type Locality string

// The localities, from near to far.
const (
	LocalityFailureDomain Locality = "failureDomain"
	LocalityRegion        Locality = "region"
	LocalityAny           Locality = "any"
)

// Completion tells what a class prefers when shards are late.
type Completion string

// The answers that a class may prefer.
const (
	// CompletionOnCoverage ends a query as soon as the wanted coverage is reached.
	CompletionOnCoverage Completion = "quickThin"
	// CompletionOnAllShards waits for every shard until the deadline.
	CompletionOnAllShards Completion = "lateFull"
)

// Tickets tells whether non-idempotent requests of a class need a ticket.
type Tickets string

// The values of Tickets.
const (
	TicketsRequired Tickets = "required"
	TicketsOptional Tickets = "optional"
)

// Duration is a time span written as text, such as "86ms".
type Duration time.Duration

// MarshalText returns the text form.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads the text form.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return failer.Wrap("parse duration", KindInvalid, err)
	}
	*d = Duration(parsed)
	return nil
}

// Service is a search service and the searchers behind it.
type Service struct {
	Name   string            `json:"name"`
	Labels map[string]string `json:"labels,omitempty"`
	// Selector picks the service's backend servers by the labels of their VMs.
	Selector string `json:"selector"`
	// ConnectionLimit is how many connections one backend server takes.
	ConnectionLimit int `json:"connectionLimit"`
	// Slots is how many requests one backend server runs at once.
	Slots int `json:"slots"`
}

// Hedge bounds second attempts at slow shards.
type Hedge struct {
	// Quantile of a class's recent shard latency after which a shard is tried again; 0 turns hedging off.
	Quantile float64 `json:"quantile"`
	// Budget is the extra load that hedges and retries may add, as a share of shard requests.
	Budget float64 `json:"budget"`
}

// TrafficRule tells how the traffic of the services it selects is spread.
type TrafficRule struct {
	Name string `json:"name"`
	// Selector picks services by their labels; the first rule that matches applies.
	Selector string `json:"selector"`
	// Locality is the farthest that a query may go for a replica.
	Locality Locality `json:"locality"`
	Hedge    Hedge    `json:"hedge"`
}

// Class is a kind of request that callers make.
type Class struct {
	Name string `json:"name"`
	// Priority orders classes under load; the higher is served first.
	Priority int `json:"priority"`
	// Deadline is the longest that a request of the class may take.
	Deadline Duration `json:"deadline"`
	// TargetCoverage is the share of shards that makes an answer good enough.
	TargetCoverage float64    `json:"wantedCoverage"`
	Completion     Completion `json:"answer"`
	Idempotent     bool       `json:"idempotent"`
	// Tickets applies to classes that are not idempotent.
	Tickets Tickets `json:"tickets,omitempty"`
}

// Declarations is everything that operators declare, applied as one whole.
type Declarations struct {
	Services     []Service     `json:"services"`
	TrafficRules []TrafficRule `json:"trafficRules"`
	Classes      []Class       `json:"classes"`
	// VMLabels adds labels to VMs by the VM's name on the platform's list.
	VMLabels map[string]map[string]string `json:"vmLabels,omitempty"`
}

// ShardPlacement is one shard of a snapshot and the selector of the VMs that hold it.
type ShardPlacement struct {
	Name     string `json:"name"`
	Selector string `json:"selector"`
}

// Snapshot is an index version together with its partition map.
type Snapshot struct {
	Name   string           `json:"name"`
	Shards []ShardPlacement `json:"shards"`
}

// Indexes maps a service's name to its current snapshot.
type Indexes struct {
	Services map[string]Snapshot `json:"services"`
}

// Head points at the content in force; Generation only grows.
type Head struct {
	Generation uint64 `json:"generation"`
	Digest     string `json:"digest"`
	// Writer is unique to one apply, so that a writer whose reply was lost knows its own write.
	Writer string `json:"writer"`
	// PreviousWriters holds the writers of the heads before this one, the latest first.
	PreviousWriters []string `json:"earlier,omitempty"`
}

// The names of the documents that daemons spread among themselves.
const (
	DocumentDeclarations = "declarations"
	DocumentIndexes      = "indexes"
	DocumentVMs          = "vms"
)

// WithLabels returns the VM with the labels added to its own.
func (v VM) WithLabels(more map[string]string) VM {
	if len(more) == 0 {
		return v
	}
	v.Labels = labels.Merge(v.Labels, more)
	return v
}
