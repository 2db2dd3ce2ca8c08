// Package estimator computes the cost of each role of a daemon at a given size of
// the system from slopes, which are costs per unit measured by benchmarks.
package estimator

import (
	"fmt"
	"io"
	"text/template"
)

// Slopes contains the measured costs. The name of each field contains its unit.
type Slopes struct {
	// EntryMicrosPerShard and GatewayMicrosPerShard are the CPU time of one shard
	// request in each role.
	EntryMicrosPerShard   float64 `json:"entryMicrosPerShard"`
	GatewayMicrosPerShard float64 `json:"gatewayMicrosPerShard"`
	// BytesOutPerShard and BytesBackPerShard are the bytes of one shard request and
	// its reply between entry and gateway.
	BytesOutPerShard  float64 `json:"bytesOutPerShard"`
	BytesBackPerShard float64 `json:"bytesBackPerShard"`
	// ControlBytesPerSecond and ControlCorePercent are the control traffic and CPU
	// usage of one idle daemon in the full tier, not counting documents.
	ControlBytesPerSecond float64 `json:"controlBytesPerSecond"`
	ControlCorePercent    float64 `json:"controlCorePercent"`
	// StartBytesPerSecond and StartCorePercent are the same just after all daemons
	// have started at once.
	StartBytesPerSecond float64 `json:"startBytesPerSecond"`
	StartCorePercent    float64 `json:"startCorePercent"`
	// PropagationSeconds is the time until a change is in force on all daemons.
	PropagationSeconds float64 `json:"spreadSeconds"`
	// HeapKiBPerDaemon is the heap of one daemon, to which the compiled view and the
	// used tickets are added.
	HeapKiBPerDaemon float64 `json:"heapKiBPerDaemon"`
	// MemberBytes, SearcherBytes, TicketBytes and QueuedBytes are the memory of one
	// member in the membership table, one searcher in the compiled view, one used
	// ticket and one queued request.
	MemberBytes   float64 `json:"memberBytes"`
	SearcherBytes float64 `json:"searcherBytes"`
	TicketBytes   float64 `json:"ticketBytes"`
	QueuedBytes   float64 `json:"queuedBytes"`
	// ConnectionBytes is the memory of one end of an idle connection.
	ConnectionBytes float64 `json:"connectionBytes"`
	// VMListBytes and DeclarationsBytes are the sizes of the compressed VM list and
	// of the compressed declarations.
	VMListBytes       float64 `json:"vmListBytes"`
	DeclarationsBytes float64 `json:"declarationsBytes"`
	// VMListDecodeMillis is the CPU time of decoding the VM list, and CompileMillis that
	// of compiling the view after a change to any document.
	VMListDecodeMillis float64 `json:"readListMillis"`
	CompileMillis      float64 `json:"compileMillis"`
	// PlatformCallsPerDomain is the number of calls per second of the relays of a
	// failure domain in steady state.
	PlatformCallsPerDomain float64 `json:"platformCallsPerDomain"`
}

// Size contains the size of the system that is estimated.
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
	// OnceShare is the assumed fraction of requests that are not idempotent.
	OnceShare float64 `json:"onceShare"`
	// TicketSeconds is how long a used ticket is retained.
	TicketSeconds float64 `json:"ticketSeconds"`
}

const secondsPerDay = 86400

// Estimate derives costs from slopes and size.
type Estimate struct {
	Slopes
	Size
}

// ShardRequestsPerDaemon is the number of shard requests per second of one daemon,
// both as entry and as gateway.
func (e Estimate) ShardRequestsPerDaemon() float64 { return e.QueriesPerDaemon() * e.ShardsPerQuery }

// QueriesPerDaemon is the number of queries per second of one daemon.
func (e Estimate) QueriesPerDaemon() float64 { return e.QueriesPerSec / float64(e.Daemons) }

// EntryCores is the CPU usage of the entry role in cores.
func (e Estimate) EntryCores() float64 {
	return e.ShardRequestsPerDaemon() * e.EntryMicrosPerShard / 1e6
}

// GatewayCores is the CPU usage of the gateway role in cores.
func (e Estimate) GatewayCores() float64 {
	return e.ShardRequestsPerDaemon() * e.GatewayMicrosPerShard / 1e6
}

// DataMbitsPerSecond is the traffic that a daemon sends and receives between
// entries and gateways, in Mbit/s.
func (e Estimate) DataMbitsPerSecond() float64 {
	return 2 * e.ShardRequestsPerDaemon() * (e.BytesOutPerShard + e.BytesBackPerShard) * 8 / 1e6
}

// DaemonsPerDomain is the number of daemons in a failure domain.
func (e Estimate) DaemonsPerDomain() float64 { return float64(e.Daemons) / float64(e.Domains) }

// GatewaysPerSearcher is the size of a gateway set. Each gateway holds four
// connections to the searcher, and a fifth of the connection limit stays free.
func (e Estimate) GatewaysPerSearcher() float64 {
	const usableFraction, connectionsPerGateway = 0.8, 4
	return min(e.DaemonsPerDomain(), float64(int(e.ConnectionLimit*usableFraction/connectionsPerGateway)))
}

// GatewaySetsPerDomain is the number of gateway sets in a failure domain.
func (e Estimate) GatewaySetsPerDomain() float64 {
	sets := e.DaemonsPerDomain() / e.GatewaysPerSearcher()
	if whole := float64(int(sets)); whole < sets {
		return whole + 1
	}
	return sets
}

// BatchesPerDaemon is the number of batches of shard requests per second that a
// daemon sends to gateways: one for each query and gateway set.
func (e Estimate) BatchesPerDaemon() float64 { return e.QueriesPerDaemon() * e.GatewaySetsPerDomain() }

// SearchersPerGateway is the number of searchers to which a daemon holds
// connections.
func (e Estimate) SearchersPerGateway() float64 {
	return float64(e.Searchers) / float64(e.Domains) / e.GatewaySetsPerDomain()
}

// Connections is the number of connections to searchers that a daemon holds, four
// for each.
func (e Estimate) Connections() float64 { return 4 * e.SearchersPerGateway() }

// GatewayMiB is the memory of connections and of a full queue of 64 requests for
// each searcher.
func (e Estimate) GatewayMiB() float64 {
	return (e.Connections()*e.ConnectionBytes + e.SearchersPerGateway()*64*e.QueuedBytes) / (1 << 20)
}

// MembersMiB is the memory of the membership table.
func (e Estimate) MembersMiB() float64 { return float64(e.Daemons) * e.MemberBytes / (1 << 20) }

// ViewMiB is the memory of the compiled view. It is counted twice, since the old
// and the new view exist while it is replaced.
func (e Estimate) ViewMiB() float64 { return 2 * float64(e.Searchers) * e.SearcherBytes / (1 << 20) }

// RetainedTickets is the number of used tickets that a daemon retains.
func (e Estimate) RetainedTickets() float64 {
	return e.QueriesPerDaemon() * e.OnceShare * e.TicketSeconds
}

// TicketsMiB is the memory of the used tickets.
func (e Estimate) TicketsMiB() float64 { return e.RetainedTickets() * e.TicketBytes / (1 << 20) }

// TotalControlMiB is the memory of everything but queries and connections.
func (e Estimate) TotalControlMiB() float64 {
	return e.HeapKiBPerDaemon/1024 + e.ViewMiB() + e.TicketsMiB()
}

// VMListChangesPerDay is the number of changes of the VM list per day: each
// restart or failure removes a VM and adds one.
func (e Estimate) VMListChangesPerDay() float64 { return 2 * (e.RestartsPerDay + e.FailuresPerDay) }

// DocumentBytesPerSecond is the traffic of documents in bytes per second, both
// received and forwarded.
func (e Estimate) DocumentBytesPerSecond() float64 {
	return 2 * (e.VMListChangesPerDay()*e.VMListBytes + e.ChangesPerDay*e.DeclarationsBytes) / secondsPerDay
}

// TotalControlBytesPerSecond is the control traffic of a daemon in bytes per
// second, including documents.
func (e Estimate) TotalControlBytesPerSecond() float64 {
	return e.ControlBytesPerSecond + e.DocumentBytesPerSecond()
}

// DocumentCorePercent is the CPU usage of decoding and compiling documents, in
// percent of a core.
func (e Estimate) DocumentCorePercent() float64 {
	millis := e.VMListChangesPerDay()*(e.VMListDecodeMillis+e.CompileMillis) + e.ChangesPerDay*e.CompileMillis
	return 100 * millis / 1000 / secondsPerDay
}

// TotalControlCorePercent is the CPU usage of control, including documents, in
// percent of a core.
func (e Estimate) TotalControlCorePercent() float64 {
	return e.ControlCorePercent + e.DocumentCorePercent()
}

// TotalStartBytesPerSecond is TotalControlBytesPerSecond just after all daemons
// have started.
func (e Estimate) TotalStartBytesPerSecond() float64 {
	return e.StartBytesPerSecond + e.DocumentBytesPerSecond()
}

// TotalStartCorePercent is TotalControlCorePercent just after all daemons have
// started.
func (e Estimate) TotalStartCorePercent() float64 {
	return e.StartCorePercent + e.DocumentCorePercent()
}

// PlatformCalls is the number of platform calls per second in steady state.
func (e Estimate) PlatformCalls() float64 { return float64(e.Domains) * e.PlatformCallsPerDomain }

// PlatformCallsOnRecovery is the number of platform calls per second while the
// platform recovers: each of the two relays of a failure domain retries each of
// three documents after at most 3 s, 1.5 s on average.
func (e Estimate) PlatformCallsOnRecovery() float64 { return float64(e.Domains) * 2 * 3 / 1.5 }

// fits compares a value with its limit for the table.
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

const tables = `| Role | State of one daemon | Messages of one daemon | CPU | Memory | Mechanism |
| --- | --- | --- | --- | --- | --- |
| Entry | {{n .QueriesPerDaemon}} queries/s, {{n .ShardRequestsPerDaemon}} shard requests/s | {{n .BatchesPerDaemon}} batches/s to {{n .GatewaySetsPerDomain}} gateway sets | {{f .EntryCores}} cores ({{f .EntryMicrosPerShard}} us per shard request) | proportional to the queries in flight | one exchange stream for each peer, one batch for each gateway and query |
| Gateway | {{n .SearchersPerGateway}} searchers, {{n .Connections}} connections, queues of 64 | {{n .ShardRequestsPerDaemon}} HTTP requests/s; {{n .DataMbitsPerSecond}} Mbit/s with entries | {{f .GatewayCores}} cores ({{f .GatewayMicrosPerShard}} us per shard request) | {{f .GatewayMiB}} MiB | aligned gateway sets of {{n .GatewaysPerSearcher}} daemons, {{n .GatewaySetsPerDomain}} per failure domain |
| Relay | 3 documents watched; 2 relays per failure domain | {{f .PlatformCalls}} platform calls/s for all failure domains | included in the member row | {{f .ViewMiB}} MiB view | rendezvous hashing over live members |
| Ticket issuer | {{n .RetainedTickets}} used tickets | one additional hop for a retry | included in the entry row | {{f .TicketsMiB}} MiB | tickets that name the incarnation of their issuer |
| Member | {{.Daemons}} members | {{n .ControlBytesPerSecond}} B/s of datagrams, {{n .DocumentBytesPerSecond}} B/s of documents | {{f .TotalControlCorePercent}}% of a core | {{f .MembersMiB}} MiB | random probing, compressed documents, pushed heads |

| Daemon control overhead | Estimate | Limit | |
| --- | --- | --- | --- |
| CPU | {{f .TotalControlCorePercent}}% of a core | 1.9% | {{fits .TotalControlCorePercent 1.9}} |
| CPU, when all daemons have just started | {{f .TotalStartCorePercent}}% of a core | 1.9% | {{fits .TotalStartCorePercent 1.9}} |
| memory | {{f .TotalControlMiB}} MiB | 256 MB | {{fits .TotalControlMiB 244}} |
| traffic | {{n .TotalControlBytesPerSecond}} B/s | 10,000 B/s | {{fits .TotalControlBytesPerSecond 10000}} |
| traffic, when all daemons have just started | {{n .TotalStartBytesPerSecond}} B/s | 10,000 B/s | {{fits .TotalStartBytesPerSecond 10000}} |
| propagation of a change to all daemons | {{f .PropagationSeconds}} s | 7 s | {{fits .PropagationSeconds 7}} |
| platform reads, calm | {{f .PlatformCalls}}/s | 2,000/s | {{fits .PlatformCalls 2000}} |
| platform reads, while the platform recovers | {{n .PlatformCallsOnRecovery}}/s | 2,000/s | {{fits .PlatformCallsOnRecovery 2000}} |
| connections to a searcher | {{n .GatewaysPerSearcher}} x 4 | {{n .ConnectionLimit}} | fits; a fifth of the limit stays free |
`
