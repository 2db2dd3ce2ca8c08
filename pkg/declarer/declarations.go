// Package declarer defines the configuration documents that operators declare and
// the VM list of the platform, with decoding and validation.
package declarer

import (
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindSyntax  Kind = "syntax"
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// Locality limits how far from the entry VM a replica of a shard may be.
type Locality string

// The localities, from nearest to farthest.
const (
	LocalityFailureDomain Locality = "failureDomain"
	LocalityRegion        Locality = "region"
	LocalityAny           Locality = "any"
)

// Completion is the policy of a class for shards that are late.
type Completion string

// The policies for late shards.
const (
	// CompletionOnCoverage ends a query as soon as the target coverage is reached.
	CompletionOnCoverage Completion = "quickThin"
	// CompletionOnAllShards waits for every shard until the deadline.
	CompletionOnAllShards Completion = "lateFull"
)

// Tickets is the policy of a class on idempotency tickets for non-idempotent
// requests.
type Tickets string

// The ticket policies.
const (
	TicketsRequired Tickets = "required"
	TicketsOptional Tickets = "optional"
)

// Duration is a time.Duration that is encoded as text, such as "86ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return failer.Wrap("parse duration", KindInvalid, err)
	}
	*d = Duration(parsed)
	return nil
}

// Service is a search service and the selection of its backend servers.
type Service struct {
	Name   string            `json:"name"`
	Labels map[string]string `json:"labels,omitempty"`
	// Selector selects the service's backend servers by the labels of their VMs.
	Selector string `json:"selector"`
	// ConnectionLimit is the maximum number of connections that one backend server accepts.
	ConnectionLimit int `json:"connectionLimit"`
	// Slots is the number of requests that one backend server runs concurrently.
	Slots int `json:"slots"`
}

// Hedge configures hedged requests to slow shards.
type Hedge struct {
	// Quantile is the quantile of a class's recent shard latency after which a
	// hedge is sent; 0 disables hedging.
	Quantile float64 `json:"quantile"`
	// Budget limits hedges and retries, as a fraction of shard requests.
	Budget float64 `json:"budget"`
}

// TrafficRule configures how queries to the services that it selects are routed.
type TrafficRule struct {
	Name string `json:"name"`
	// Selector selects services by their labels; the first rule that matches applies.
	Selector string `json:"selector"`
	// Locality is the farthest locality from which a replica may be chosen.
	Locality Locality `json:"locality"`
	Hedge    Hedge    `json:"hedge"`
}

// Class is a request class, with its priority, deadline and completion policy.
type Class struct {
	Name string `json:"name"`
	// Priority orders classes under overload; higher values are served first.
	Priority int `json:"priority"`
	// Deadline is the maximum duration of a request of the class.
	Deadline Duration `json:"deadline"`
	// TargetCoverage is the fraction of shards at which an answer is sufficient.
	TargetCoverage float64    `json:"wantedCoverage"`
	Completion     Completion `json:"answer"`
	Idempotent     bool       `json:"idempotent"`
	// Tickets applies only to classes that are not idempotent.
	Tickets Tickets `json:"tickets,omitempty"`
}

// Declarations is the configuration that operators declare. It is applied atomically.
type Declarations struct {
	Services     []Service     `json:"services"`
	TrafficRules []TrafficRule `json:"trafficRules"`
	Classes      []Class       `json:"classes"`
	// VMLabels maps the name of a VM on the platform's list to additional labels.
	VMLabels map[string]map[string]string `json:"vmLabels,omitempty"`
}

// ShardPlacement is one shard of a snapshot and the selector of the VMs that serve it.
type ShardPlacement struct {
	Name     string `json:"name"`
	Selector string `json:"selector"`
}

// Snapshot is a version of an index together with its partition map.
type Snapshot struct {
	Name   string           `json:"name"`
	Shards []ShardPlacement `json:"shards"`
}

// Indexes maps the name of each service to its current snapshot.
type Indexes struct {
	Services map[string]Snapshot `json:"services"`
}

// Head identifies the current content of a document. Generation never decreases.
type Head struct {
	Generation uint64 `json:"generation"`
	Digest     string `json:"digest"`
	// Writer is unique to one apply operation, so that a writer whose reply was
	// lost can recognize its own write.
	Writer string `json:"writer"`
	// PreviousWriters holds the writers of the preceding heads, most recent first.
	PreviousWriters []string `json:"earlier,omitempty"`
}

// The names of the documents that daemons distribute among themselves.
const (
	DocumentDeclarations = "declarations"
	DocumentIndexes      = "indexes"
	DocumentVMs          = "vms"
)

// WithLabels returns a copy of the VM to whose labels extra is added; extra
// takes precedence.
func (v VM) WithLabels(extra map[string]string) VM {
	if len(extra) == 0 {
		return v
	}
	v.Labels = labels.Merge(v.Labels, extra)
	return v
}
