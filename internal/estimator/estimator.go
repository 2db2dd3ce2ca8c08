// Package estimator works out what each role costs at a given size from
// measured slopes.
package estimator

import (
	"fmt"
	"io"
	"text/template"
)

// Slopes are what the benchmarks measured. Each field names its unit.
type Slopes struct {
	// EntryMicrosPerShard and GatewayMicrosPerShard are processor time for one shard request.
	EntryMicrosPerShard   float64 `json:"entryMicrosPerShard"`
	GatewayMicrosPerShard float64 `json:"gatewayMicrosPerShard"`
	// BytesOutPerShard and BytesBackPerShard travel between entry and gateway.
	BytesOutPerShard  float64 `json:"bytesOutPerShard"`
	BytesBackPerShard float64 `json:"bytesBackPerShard"`
	// ControlBytesPerSecond and ControlCorePercent are of one idle daemon among all,
	// documents not counted.
	ControlBytesPerSecond float64 `json:"controlBytesPerSecond"`
	ControlCorePercent    float64 `json:"controlCorePercent"`
	// StartBytesPerSecond and StartCorePercent are the same just after all daemons started at once.
	StartBytesPerSecond float64 `json:"startBytesPerSecond"`
	StartCorePercent    float64 `json:"startCorePercent"`
	SpreadSeconds       float64 `json:"spreadSeconds"`
	HeapKiBPerDaemon    float64 `json:"heapKiBPerDaemon"`
	MemberBytes         float64 `json:"memberBytes"`
	SearcherBytes       float64 `json:"searcherBytes"`
	TicketBytes         float64 `json:"ticketBytes"`
	QueuedBytes         float64 `json:"queuedBytes"`
	// ConnectionBytes is one end of an idle connection.
	ConnectionBytes float64 `json:"connectionBytes"`
	// VMListBytes is the packed list; ReadListMillis and CompileMillis are the
	// processor time of reading it and of compiling the view after any change.
	VMListBytes float64 `json:"vmListBytes"`
	// DeclarationsBytes is the packed declarations.
	DeclarationsBytes float64 `json:"declarationsBytes"`
	ReadListMillis    float64 `json:"readListMillis"`
	CompileMillis     float64 `json:"compileMillis"`
	// PlatformCallsPerDomain is calls per second of a domain's relays, in calm.
	PlatformCallsPerDomain float64 `json:"platformCallsPerDomain"`
}

// Size is what is designed for.
type Size struct {
	Daemons         int     `json:"daemons"`
	Searchers       int     `json:"searchers"`
	Domains         int     `json:"domains"`
	QueriesPerSec   float64 `json:"queriesPerSec"`
	ShardsPerQuery  float64 `json:"shardsPerQuery"`
	ChangesPerDay   float64 `json:"changesPerDay"`
	RestartsPerDay  float64 `json:"restartsPerDay"`
	FailuresPerDay  float64 `json:"failuresPerDay"`
	ConnectionLimit float64 `json:"connectionLimit"`
	// OnceShare is the share of requests that are not idempotent, an assumption.
	OnceShare float64 `json:"onceShare"`
	// TicketSeconds is how long a used ticket is kept.
	TicketSeconds float64 `json:"ticketSeconds"`
}

// secondsPerDay is the length of a day.
const secondsPerDay = 86400

// Estimate is what follows from slopes and size.
type Estimate struct {
	Slopes
	Size
}

// ShardRequestsPerDaemon is shard requests per second of one daemon as entry, and as gateway.
func (e Estimate) ShardRequestsPerDaemon() float64 { return e.QueriesPerDaemon() * e.ShardsPerQuery }

// QueriesPerDaemon is queries per second of one daemon.
func (e Estimate) QueriesPerDaemon() float64 { return e.QueriesPerSec / float64(e.Daemons) }

// EntryCores is the processor time of the entry role in cores.
func (e Estimate) EntryCores() float64 {
	return e.ShardRequestsPerDaemon() * e.EntryMicrosPerShard / 1e6
}

// GatewayCores is the processor time of the gateway role in cores.
func (e Estimate) GatewayCores() float64 {
	return e.ShardRequestsPerDaemon() * e.GatewayMicrosPerShard / 1e6
}

// DataMbitsPerSecond is what a daemon sends and takes between entries and gateways.
func (e Estimate) DataMbitsPerSecond() float64 {
	return 2 * e.ShardRequestsPerDaemon() * (e.BytesOutPerShard + e.BytesBackPerShard) * 8 / 1e6
}

// DaemonsPerDomain is how many daemons a failure domain has.
func (e Estimate) DaemonsPerDomain() float64 { return float64(e.Daemons) / float64(e.Domains) }

// GatewaysPerSearcher is the size of a gateway set.
func (e Estimate) GatewaysPerSearcher() float64 {
	const headroom, wanted = 0.8, 4
	return min(e.DaemonsPerDomain(), float64(int(e.ConnectionLimit*headroom/wanted)))
}

// GroupsPerDomain is how many groups of gateways a failure domain has.
func (e Estimate) GroupsPerDomain() float64 {
	groups := e.DaemonsPerDomain() / e.GatewaysPerSearcher()
	if whole := float64(int(groups)); whole < groups {
		return whole + 1
	}
	return groups
}

// BatchesPerDaemon is messages per second that an entry sends to gateways.
func (e Estimate) BatchesPerDaemon() float64 { return e.QueriesPerDaemon() * e.GroupsPerDomain() }

// SearchersPerGateway is how many searchers a daemon holds connections to.
func (e Estimate) SearchersPerGateway() float64 {
	return float64(e.Searchers) / float64(e.Domains) / e.GroupsPerDomain()
}

// Connections is how many connections to searchers a daemon holds.
func (e Estimate) Connections() float64 { return 4 * e.SearchersPerGateway() }

// GatewayMiB is the memory of connections and full queues of 64 for each searcher.
func (e Estimate) GatewayMiB() float64 {
	return (e.Connections()*e.ConnectionBytes + e.SearchersPerGateway()*64*e.QueuedBytes) / (1 << 20)
}

// MembersMiB is the memory of the membership.
func (e Estimate) MembersMiB() float64 { return float64(e.Daemons) * e.MemberBytes / (1 << 20) }

// ViewMiB is the memory of the compiled view, twice while it is replaced.
func (e Estimate) ViewMiB() float64 { return 2 * float64(e.Searchers) * e.SearcherBytes / (1 << 20) }

// RetainedTickets is how many used tickets a daemon keeps.
func (e Estimate) RetainedTickets() float64 {
	return e.QueriesPerDaemon() * e.OnceShare * e.TicketSeconds
}

// TicketsMiB is their memory.
func (e Estimate) TicketsMiB() float64 { return e.RetainedTickets() * e.TicketBytes / (1 << 20) }

// TotalControlMiB is the memory of everything that is not a query or a connection.
func (e Estimate) TotalControlMiB() float64 {
	return e.HeapKiBPerDaemon/1024 + e.ViewMiB() + e.TicketsMiB()
}

// VMListChangesPerDay is how often the VM list changes in a day: a restart or a failure
// takes a VM off and puts one on.
func (e Estimate) VMListChangesPerDay() float64 { return 2 * (e.RestartsPerDay + e.FailuresPerDay) }

// DocumentBytesPerSecond is bytes per second of documents, both as taken and as passed on.
func (e Estimate) DocumentBytesPerSecond() float64 {
	return 2 * (e.VMListChangesPerDay()*e.VMListBytes + e.ChangesPerDay*e.DeclarationsBytes) / secondsPerDay
}

// TotalControlBytesPerSecond is all control bytes per second of a daemon.
func (e Estimate) TotalControlBytesPerSecond() float64 {
	return e.ControlBytesPerSecond + e.DocumentBytesPerSecond()
}

// DocumentCorePercent is the processor time of reading and compiling documents.
func (e Estimate) DocumentCorePercent() float64 {
	millis := e.VMListChangesPerDay()*(e.ReadListMillis+e.CompileMillis) + e.ChangesPerDay*e.CompileMillis
	return 100 * millis / 1000 / secondsPerDay
}

// TotalControlCorePercent is all control processor time in percent of a core.
func (e Estimate) TotalControlCorePercent() float64 {
	return e.ControlCorePercent + e.DocumentCorePercent()
}

// TotalStartBytesPerSecond is all control bytes per second just after a start of all daemons.
func (e Estimate) TotalStartBytesPerSecond() float64 {
	return e.StartBytesPerSecond + e.DocumentBytesPerSecond()
}

// TotalStartCorePercent is all control processor time just after a start of all daemons.
func (e Estimate) TotalStartCorePercent() float64 {
	return e.StartCorePercent + e.DocumentCorePercent()
}

// PlatformCalls is calls per second on the platform in calm.
func (e Estimate) PlatformCalls() float64 { return float64(e.Domains) * e.PlatformCallsPerDomain }

// PlatformCallsOnRecovery is the calls per second while the platform comes back: each
// relay tries each of three documents after 3 s at the most, 1.5 s on average.
func (e Estimate) PlatformCallsOnRecovery() float64 { return float64(e.Domains) * 2 * 3 / 1.5 }

// fits writes a verdict against a limit.
func fits(value, limit float64) string {
	if value <= limit {
		return "fits"
	}
	return "DOES NOT FIT"
}

// Write writes the tables of docs/CAPACITY.md.
func Write(w io.Writer, e Estimate) error {
	functions := template.FuncMap{
		"n":    func(v float64) string { return fmt.Sprintf("%.0f", v) },
		"f":    func(v float64) string { return fmt.Sprintf("%.2f", v) },
		"fits": fits,
	}
	t, err := template.New("capacity").Funcs(functions).Parse(tables)
	if err != nil {
		return err
	}
	return t.Execute(w, e)
}

const tables = `| Role | State of one daemon | Messages of one daemon | Processor | Memory | Carried by |
| --- | --- | --- | --- | --- | --- |
| Entry | {{n .Queries}} queries/s, {{n .ShardRequests}} shard requests/s | {{n .Batches}} batches/s to {{n .GroupsPerDomain}} groups | {{f .EntryCores}} cores ({{f .EntryMicrosPerShard}} us a shard request) | with the queries under way | one exchange stream for each peer, one batch for each gateway and query |
| Gateway | {{n .SearchersPerGateway}} searchers, {{n .Connections}} connections, queues of 64 | {{n .ShardRequests}} HTTP requests/s; {{n .DataMbits}} Mbit/s with entries | {{f .GatewayCores}} cores ({{f .GatewayMicrosPerShard}} us a shard request) | {{f .GatewayMiB}} MiB | aligned gateway sets of {{n .GatewaysPerSearcher}} daemons in {{n .GroupsPerDomain}} groups a domain |
| Relay | 3 documents watched; 2 relays a domain | {{f .PlatformCalls}} platform calls/s for all domains | in the member's | {{f .ViewMiB}} MiB view | rendezvous hashing over live members |
| Ticket issuer | {{n .LiveTickets}} used tickets | one more hop for a retry | in the entry's | {{f .TicketsMiB}} MiB | tickets that name their incarnation |
| Member | {{.Daemons}} members | {{n .ControlBytesPerSecond}} B/s of datagrams, {{n .DocumentBytes}} B/s of documents | {{f .ControlCore}}% of a core | {{f .MembersMiB}} MiB | random probing, packed documents, pushed heads |

| Budget of control | Estimate | Limit | |
| --- | --- | --- | --- |
| processor | {{f .ControlCore}}% of a core | 1.9% | {{fits .ControlCore 1.9}} |
| processor, all have just started | {{f .StartCore}}% of a core | 1.9% | {{fits .StartCore 1.9}} |
| memory | {{f .ControlMiB}} MiB | 256 MB | {{fits .ControlMiB 244}} |
| bytes | {{n .ControlBytes}} B/s | 10,000 B/s | {{fits .ControlBytes 10000}} |
| bytes, all have just started | {{n .StartBytes}} B/s | 10,000 B/s | {{fits .StartBytes 10000}} |
| change in force everywhere | {{f .SpreadSeconds}} s | 7 s | {{fits .SpreadSeconds 7}} |
| platform reads, calm | {{f .PlatformCalls}}/s | 2,000/s | {{fits .PlatformCalls 2000}} |
| platform reads, coming back | {{n .PlatformReturn}}/s | 2,000/s | {{fits .PlatformReturn 2000}} |
| connections to a searcher | {{n .GatewaysPerSearcher}} x 4 | {{n .ConnectionLimit}} | fits, a fifth is kept free |
`
