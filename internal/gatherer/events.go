package gatherer

import "time"

// Outcome tells what happened to one shard request.
type Outcome int

// The outcomes of a shard request.
const (
	Answered Outcome = iota + 1
	NotRun
	Unknown
)

// Reason narrows why a shard request was not answered.
type Reason string

// The reasons that change what a query does next.
const (
	ReasonNone             Reason = ""
	ReasonDeadlineExceeded Reason = "late"
	ReasonNoReplica        Reason = "noReplica"
	ReasonRefused          Reason = "refused"
	ReasonSnapshotGone     Reason = "snapshotGone"
	ReasonBadReply         Reason = "badReply"
	ReasonLinkLost         Reason = "lost"
	// ReasonSearcherReplaced means that the searcher is no longer the one that was meant.
	ReasonSearcherReplaced Reason = "gone"
	// ReasonNoFreeConnection means that all connections to the searcher are in use.
	ReasonNoFreeConnection Reason = "noConnection"
	// ReasonNotSent means that the request never reached a backend server's
	// queue: the server is leaving or cannot be reached, or the gateway has changed.
	ReasonNotSent Reason = "notSent"
)

// ExtraKind is what a further attempt at a shard is made for. Each kind has a
// budget of its own.
type ExtraKind int

// The kinds of further attempts.
const (
	// ExtraHedge is sent while the first attempt is still out.
	ExtraHedge ExtraKind = iota + 1
	// ExtraOverload follows a refusal for lack of room or time.
	ExtraOverload
	// ExtraFailure follows an attempt that got no usable reply.
	ExtraFailure
	// ExtraReroute follows an attempt that cost no backend server anything.
	ExtraReroute
)

const (
	// maxRestarts bounds how often a query moves to a newer snapshot.
	maxRestarts = 2
	// restartReserve is the time that must be left for a restart.
	restartReserve = 10 * time.Millisecond
	// maxAttemptsPerShard bounds the attempts at one shard, the first included.
	maxAttemptsPerShard = 4
)

// Reply is the end of one shard request.
type Reply struct {
	Attempt   uint64
	Outcome   Outcome
	Reason    Reason
	RequestID string
	Snapshot  string
	Shard     string
	Hits      []byte
}

// Send asks for a shard request to be sent.
type Send struct {
	Attempt uint64
	// Searcher is the key of the searcher.
	Searcher string
	Shard    string
	Snapshot string
	// Extra marks hedges and retries.
	Extra bool
}

// Actions is what the surroundings must do after an event.
type Actions struct {
	Sends   []Send
	Cancels []uint64
	// Done is true once the query has ended; no action follows it.
	Done bool
}
