// Package caller is the callers' interface of fuchsiastile: its requests and
// answers, and a client that hides tickets and retries.
package caller

import "encoding/json"

// The headers of the callers' interface.
const (
	HeaderClass    = "Fuchsiastile-Class"
	HeaderTenant   = "Fuchsiastile-Tenant"
	HeaderDeadline = "Fuchsiastile-Deadline"
	HeaderTicket   = "Fuchsiastile-Ticket"
	HeaderRequest  = "Fuchsiastile-Request"
)

// Outcome tells what became of a request.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeAnswered means that the request ran and the answer is here.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that no backend server started the request.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Coverage tells how much of the pinned snapshot an answer was made from.
type Coverage struct {
	// Known is false where the partition map is not known.
	Known bool `json:"known"`
	// Shards is the size of the snapshot's partition map; Answered is how many of them answered.
	Shards   int `json:"shards"`
	Answered int `json:"answered"`
	// Fraction is Answered / Shards, from 0 to 1.
	Fraction float64 `json:"fraction"`
	// Missing maps each shard without an answer to the reason.
	Missing map[string]string `json:"missing,omitempty"`
}

// Hit is one result.
type Hit struct {
	ID       string  `json:"id"`
	Score    float64 `json:"score"`
	Snapshot string  `json:"snapshot"`
}

// Answer is a whole answer to one request.
type Answer struct {
	RequestID string   `json:"requestId"`
	Outcome   Outcome  `json:"outcome"`
	Service   string   `json:"service"`
	Class     string   `json:"class"`
	Snapshot  string   `json:"snapshot"`
	Coverage  Coverage `json:"coverage"`
	Hits      []Hit    `json:"hits"`
	// Replayed is true for a repeated answer to an earlier try with the same ticket.
	Replayed bool `json:"replayed,omitempty"`
	// ElapsedMillis is the time that the answer took in the entry daemon.
	ElapsedMillis float64 `json:"elapsedMillis"`
	// ShardRequests is how many shard requests were sent; ExtraRequests of them were hedges and retries.
	ShardRequests int `json:"shardRequests"`
	ExtraRequests int `json:"extraRequests"`
}

// Problem is an error reply in the form of RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// RequestID is the request that the problem is about.
	RequestID string  `json:"requestId,omitempty"`
	Outcome   Outcome `json:"outcome"`
	// Ticket is a fresh ticket for a request that needs one.
	Ticket string `json:"ticket,omitempty"`
}

// TicketResponse is the reply to a request for a ticket.
type TicketResponse struct {
	Ticket string `json:"ticket"`
}

// Request is what a caller asks.
type Request struct {
	Service string
	Class   string
	Tenant  string
	// Key picks the shard of a non-idempotent request.
	Key string
	// Body is the query in JSON.
	Body json.RawMessage
	// Ticket is the idempotency key of a non-idempotent request; the client gets one where it is empty.
	Ticket string
	// DeadlineMillis shortens the class's deadline when it is above zero.
	DeadlineMillis int
}
