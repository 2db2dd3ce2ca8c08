// Package caller is the client API of fuchsiastile: the types of requests and
// responses, and a client that obtains tickets for non-idempotent requests.
package caller

import "encoding/json"

// The HTTP headers of the client API.
const (
	HeaderClass    = "Fuchsiastile-Class"
	HeaderTenant   = "Fuchsiastile-Tenant"
	HeaderDeadline = "Fuchsiastile-Deadline"
	HeaderTicket   = "Fuchsiastile-Ticket"
	HeaderRequest  = "Fuchsiastile-Request"
)

// Outcome is the result state of a request.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeAnswered means that the request ran and its answer was received.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that no backend server started the request.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Coverage describes how many shards of the pinned snapshot contributed to an answer.
type Coverage struct {
	// Known is false if the partition map of the snapshot was not available; the
	// other fields are zero then.
	Known bool `json:"known"`
	// Shards is the number of shards in the snapshot's partition map, and
	// Answered the number of those that answered.
	Shards   int `json:"shards"`
	Answered int `json:"answered"`
	// Fraction is Answered / Shards, from 0 to 1.
	Fraction float64 `json:"fraction"`
	// Missing maps each shard that did not answer to the reason.
	Missing map[string]string `json:"missing,omitempty"`
}

// Hit is one search result.
type Hit struct {
	ID       string  `json:"id"`
	Score    float64 `json:"score"`
	Snapshot string  `json:"snapshot"`
}

// Answer is the complete response to one request.
type Answer struct {
	RequestID string   `json:"requestId"`
	Outcome   Outcome  `json:"outcome"`
	Service   string   `json:"service"`
	Class     string   `json:"class"`
	Snapshot  string   `json:"snapshot"`
	Coverage  Coverage `json:"coverage"`
	Hits      []Hit    `json:"hits"`
	// Replayed is true if this is the stored answer to an earlier attempt with the same ticket.
	Replayed bool `json:"replayed,omitempty"`
	// ElapsedMillis is the time that the entry daemon spent on the request.
	ElapsedMillis float64 `json:"elapsedMillis"`
	// ShardRequests is the number of shard requests sent, of which
	// ExtraRequests were hedges and retries.
	ShardRequests int `json:"shardRequests"`
	ExtraRequests int `json:"extraRequests"`
}

// Problem is an error response as defined by RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// RequestID identifies the failed request.
	RequestID string  `json:"requestId,omitempty"`
	Outcome   Outcome `json:"outcome"`
	// Ticket is a new ticket, sent if the request was rejected for lack of one.
	Ticket string `json:"ticket,omitempty"`
}

// TicketResponse is the response to a request for a ticket.
type TicketResponse struct {
	Ticket string `json:"ticket"`
}

// Request is a request of a caller.
type Request struct {
	Service string
	Class   string
	Tenant  string
	// Key selects the shard of a non-idempotent request.
	Key string
	// Body is the query, encoded as JSON.
	Body json.RawMessage
	// Ticket is the idempotency ticket of a non-idempotent request. If it is
	// empty, the client obtains one.
	Ticket string
	// DeadlineMillis, if positive, shortens the deadline of the class.
	DeadlineMillis int
}
