// Package ticketer manages the idempotency tickets of non-idempotent requests, so
// that each request runs at most once. It performs no I/O.
//
// A ticket names the incarnation that issued it. Only that incarnation, or the
// one successor to which it handed over its closed table, may send the request to
// a searcher. This depends on no store, lease or clock of another process.
package ticketer

import (
	"crypto/subtle"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	// KindMalformed means that the text is not a ticket, or that its MAC is invalid.
	KindMalformed Kind = "ticketMalformed"
	// KindNotOwner means that the ticket was issued by another incarnation.
	KindNotOwner Kind = "ticketNotOwned"
	// KindExpired means that the ticket has expired and its outcome is no longer stored.
	KindExpired Kind = "ticketExpired"
	// KindReused means that the ticket was already used for another request.
	KindReused Kind = "ticketReused"
	// KindTableFull means that the table has no room for another ticket.
	KindTableFull Kind = "ticketTableFull"
	// KindTableClosed means that the table was closed for a hand-over.
	KindTableClosed Kind = "ticketTableClosed"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	// macBytes is the length of the truncated HMAC that authenticates a ticket.
	macBytes = 12
	// maxEntriesFactor times the capacity is the maximum number of entries in a
	// table. Tickets above the capacity are refused, and the refusal is stored too.
	maxEntriesFactor = 4
	// ticketVersion is the prefix of the text form of every ticket.
	ticketVersion = "t1"
)

// State is the state of a used ticket.
type State int

// The states of a used ticket.
const (
	// StatePending means that the request was sent and has not ended.
	StatePending State = iota + 1
	// StateAnswered means that the request ran and its result is stored.
	StateAnswered
	// StateUnknown means that the request may have run; it is never sent again.
	StateUnknown
	// StateNotRun means that the request did not run. It is never sent again
	// either, so that a delayed earlier attempt cannot run after outcome notRun was
	// reported to its caller.
	StateNotRun
)

// Result is the stored result of a request that ended.
type Result struct {
	Detail   string
	Snapshot string
	Hits     []byte
}

// Entry is one used ticket.
type Entry struct {
	Sequence uint64
	// Digest is the hash of the request for which the ticket was first used.
	Digest uint64
	State  State
	Result Result
	// expires is the age of the issuing incarnation at which the entry is deleted.
	expires time.Duration
	// done is closed when the request ends.
	done chan struct{}
}

// Config configures a table.
type Config struct {
	Incarnation string
	Secret      []byte
	// Started is when the incarnation started, by its own monotonic clock.
	Started time.Time
	// Lifetime is how long a ticket is valid after it was issued.
	Lifetime time.Duration
	// Capacity is the number of stored tickets above which further ones are
	// refused.
	Capacity int
}

// Table holds the used tickets of one incarnation. It is safe for concurrent use.
type Table struct {
	config Config

	mu      sync.Mutex
	next    uint64
	entries map[uint64]*Entry
	// order holds the sequence numbers in order of first use. Expired entries are
	// deleted from its front.
	order []uint64
	// closed is set before a hand-over and never cleared.
	closed bool
}

// New returns an empty table.
func New(config Config) *Table {
	return &Table{config: config, entries: map[uint64]*Entry{}}
}

// Issue returns a new signed ticket in text form.
func (t *Table) Issue(now time.Time) (string, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return "", failer.New("issue ticket", KindTableClosed, "this daemon is stopping")
	}
	t.next++
	ticket := Ticket{
		Incarnation: t.config.Incarnation,
		Sequence:    t.next,
		Expires:     t.age(now) + t.config.Lifetime,
	}
	ticket.mac = ticket.sign(t.config.Secret)
	return ticket.String(), nil
}

// age returns the age of the incarnation.
func (t *Table) age(now time.Time) time.Duration {
	return now.Sub(t.config.Started)
}

// Claim claims a ticket for a request. first is true for the only call that may
// send the request; all other callers wait for Entry.Done.
func (t *Table) Claim(now time.Time, ticket Ticket, request []byte) (entry *Entry, first bool, err error) {
	const op = "claim ticket"
	if err := t.verify(ticket); err != nil {
		return nil, false, err
	}
	digest := xxhash.Sum64(request)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired(now)
	if entry, ok := t.entries[ticket.Sequence]; ok {
		if entry.Digest != digest {
			return nil, false, failer.New(op, KindReused, "the ticket was used for another request")
		}
		return entry, false, nil
	}
	switch {
	case t.closed:
		return nil, false, failer.New(op, KindTableClosed, "the ticket's table was handed over")
	case t.age(now) >= ticket.Expires:
		return nil, false, failer.New(op, KindExpired, "the ticket has expired")
	case len(t.entries) >= maxEntriesFactor*t.config.Capacity:
		return nil, false, failer.New(op, KindTableFull, "%d tickets are in use", len(t.entries))
	}
	entry = &Entry{Sequence: ticket.Sequence, Digest: digest, State: StatePending, expires: ticket.Expires, done: make(chan struct{})}
	t.entries[entry.Sequence] = entry
	t.order = append(t.order, entry.Sequence)
	if len(t.entries) > t.config.Capacity {
		t.finish(entry, StateNotRun, Result{Detail: "too many tickets are in use"})
		return entry, false, nil
	}
	return entry, true, nil
}

func (t *Table) verify(ticket Ticket) error {
	if ticket.Incarnation != t.config.Incarnation {
		return failer.New("verify ticket", KindNotOwner, "the ticket was issued by incarnation %s", ticket.Incarnation)
	}
	if subtle.ConstantTimeCompare(ticket.mac, ticket.sign(t.config.Secret)) != 1 {
		return failer.New("verify ticket", KindMalformed, "the ticket's MAC is invalid; this daemon did not issue the ticket")
	}
	return nil
}

// dropExpired deletes expired entries in order of first use. It stops at the first
// one that has not expired or is pending.
func (t *Table) dropExpired(now time.Time) {
	age := t.age(now)
	for len(t.order) > 0 {
		entry, ok := t.entries[t.order[0]]
		if ok && (age < entry.expires || entry.State == StatePending) {
			return
		}
		delete(t.entries, t.order[0])
		t.order = t.order[1:]
	}
}

// Finish records the final state and result of an entry's request. Later calls for
// the same entry have no effect.
func (t *Table) Finish(entry *Entry, state State, result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.finish(entry, state, result)
}

func (t *Table) finish(entry *Entry, state State, result Result) {
	if entry.State != StatePending {
		return
	}
	entry.State = state
	entry.Result = result
	close(entry.done)
}

// Done returns a channel that is closed when the entry's request has ended.
func (e *Entry) Done() <-chan struct{} { return e.done }

// EntryOutcome returns the current state and result of an entry.
func (t *Table) EntryOutcome(entry *Entry) (State, Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return entry.State, entry.Result
}

// Len returns the number of used tickets in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// HandOver is the content of a closed table, to be sent to its only successor.
type HandOver struct {
	Incarnation string
	Secret      []byte
	// Age is the incarnation's age when its table was closed.
	Age     time.Duration
	Entries []Entry
}

// Close permanently closes the table and returns a copy of its content for one
// successor. Entries of requests that are still pending have state StateUnknown in
// the copy. Only the first call returns true.
func (t *Table) Close(now time.Time) (HandOver, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return HandOver{}, false
	}
	t.closed = true
	out := HandOver{Incarnation: t.config.Incarnation, Secret: t.config.Secret, Age: t.age(now)}
	for _, sequence := range t.order {
		entry, ok := t.entries[sequence]
		if !ok {
			continue
		}
		entryCopy := Entry{Sequence: entry.Sequence, Digest: entry.Digest, State: entry.State, Result: entry.Result}
		if entryCopy.State == StatePending {
			entryCopy.State = StateUnknown
		}
		out.Entries = append(out.Entries, entryCopy)
	}
	return out, true
}

// NewFromHandOver returns a table with the content that another incarnation
// handed over to this daemon. Its entries expire a full lifetime after the
// hand-over, which is never earlier than their own expiry.
func NewFromHandOver(now time.Time, h HandOver, lifetime time.Duration, capacity int) *Table {
	t := New(Config{
		Incarnation: h.Incarnation,
		Secret:      h.Secret,
		Started:     now.Add(-h.Age),
		Lifetime:    lifetime,
		Capacity:    capacity,
	})
	closedDone := make(chan struct{})
	close(closedDone)
	for _, entry := range h.Entries {
		entry.done = closedDone
		entry.expires = h.Age + lifetime
		t.entries[entry.Sequence] = &entry
		t.order = append(t.order, entry.Sequence)
	}
	return t
}

// UpdateOutcomes applies outcomes that were recorded after the table was handed
// over. It only changes entries in StateUnknown.
func (t *Table) UpdateOutcomes(entries []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, update := range entries {
		existing, ok := t.entries[update.Sequence]
		if ok && existing.State == StateUnknown && update.State != StatePending && existing.Digest == update.Digest {
			existing.State = update.State
			existing.Result = update.Result
		}
	}
}

// FinishedEntries returns copies of the entries whose requests have ended, to be
// passed to UpdateOutcomes at the successor.
func (t *Table) FinishedEntries() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Entry
	for _, entry := range t.entries {
		if entry.State != StatePending {
			out = append(out, Entry{Sequence: entry.Sequence, Digest: entry.Digest, State: entry.State, Result: entry.Result})
		}
	}
	return out
}
