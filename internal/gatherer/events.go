package gatherer

import "time"

// Outcome is the result of one shard request.
type Outcome int

// The outcomes of a shard request.
const (
	Answered Outcome = iota + 1
	NotRun
	Unknown
)

// Reason is the cause of a shard request not being answered.
type Reason string

// Reasons that affect how a query proceeds.
const (
	ReasonNone             Reason = ""
	ReasonDeadlineExceeded Reason = "late"
	ReasonNoReplica        Reason = "noReplica"
	ReasonRefused          Reason = "refused"
	ReasonSnapshotGone     Reason = "snapshotGone"
	ReasonBadReply         Reason = "badReply"
	ReasonLinkLost         Reason = "lost"
	// ReasonSearcherReplaced means that the address now belongs to another searcher process
	// than the one the request was for.
	ReasonSearcherReplaced Reason = "gone"
	// ReasonNoFreeConnection means that all connections to the searcher are in use.
	ReasonNoFreeConnection Reason = "noConnection"
	// ReasonNotSent means that the request never reached a backend server's
	// queue: the server is draining or unreachable, or the gateway has changed.
	ReasonNotSent Reason = "notSent"
)

// ExtraKind is the kind of an attempt at a shard after the first. Each kind has
// its own budget.
type ExtraKind int

// The kinds of extra attempts.
const (
	// ExtraHedge is sent while the first attempt is still in flight.
	ExtraHedge ExtraKind = iota + 1
	// ExtraOverload follows a rejection due to a full queue or too little time
	// before the deadline.
	ExtraOverload
	// ExtraFailure follows an attempt without a valid reply.
	ExtraFailure
	// ExtraReroute follows an attempt that put no load on a backend server.
	ExtraReroute
)

const (
	// maxRestarts limits how often a query restarts on a newer snapshot.
	maxRestarts = 2
	// minRestartTime is the minimum time before the deadline at which a query
	// may restart.
	minRestartTime = 10 * time.Millisecond
	// maxAttemptsPerShard limits the attempts at one shard, including the first.
	maxAttemptsPerShard = 4
)

// Reply reports the completion of one shard request.
type Reply struct {
	Attempt   uint64
	Outcome   Outcome
	Reason    Reason
	RequestID string
	Snapshot  string
	Shard     string
	Hits      []byte
}

// Send is an action that sends a shard request.
type Send struct {
	Attempt uint64
	// Searcher is the key of the searcher, as the Pick callback returned it.
	Searcher string
	Shard    string
	Snapshot string
	// Extra is true for hedges and retries.
	Extra bool
}

// Actions lists what the caller must do after an event.
type Actions struct {
	Sends   []Send
	Cancels []uint64
	// Unsent lists requests that must not be sent because the query has ended; what
	// the Pick callback reserved for them is to be released.
	Unsent []Send
	// Done is true once the query has ended. No further actions are returned
	// after it.
	Done bool
}
