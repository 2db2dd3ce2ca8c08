// Package ticketer keeps the tickets of non-idempotent requests, so that each
// runs at most once. It does no input or output.
//
// A ticket names the incarnation that issued it, and only that incarnation, or
// the one successor that it handed its closed table to, may send the request
// on. No store, lease or clock of another process is involved.
package ticketer

import (
	"crypto/subtle"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
)

// Kind is the kind of an Error.
type Kind string

// The kinds of errors of this package.
const (
	// KindMalformed means that the text is no ticket of ours.
	KindMalformed Kind = "ticketMalformed"
	// KindNotOwner means that another incarnation owns the ticket.
	KindNotOwner Kind = "ticketNotOwned"
	// KindExpired means that the ticket's fate is no longer kept.
	KindExpired Kind = "ticketExpired"
	// KindReused means that the ticket was used for another request.
	KindReused Kind = "ticketReused"
	// KindTableFull means that no more tickets can be remembered.
	KindTableFull Kind = "ticketTableFull"
	// KindTableClosed means that the table is closed and handed over.
	KindTableClosed Kind = "ticketTableClosed"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	// macBytes is the length of the code that shows who issued a ticket.
	macBytes = 12
	// refusedRoom times the capacity is how many tickets are remembered in all:
	// beyond the capacity they are refused, and that is remembered, too.
	refusedRoom = 4
	// ticketVersion starts every ticket.
	ticketVersion = "t1"
)

// State is where a used ticket stands.
type State int

// The states of a used ticket.
const (
	// StatePending means that the request was passed on and has not ended.
	StatePending State = iota + 1
	// StateAnswered means that the request ran and its answer is kept.
	StateAnswered
	// StateUnknown means that the request may have run; it is never sent again.
	StateUnknown
	// StateNotRun means that the request was not run; it is never sent again
	// either, so that an earlier try that arrives late cannot run after its
	// caller was told that it was not run.
	StateNotRun
)

// Result is what is kept of a request that ended.
type Result struct {
	Detail   string
	Snapshot string
	Hits     []byte
}

// Entry is one used ticket.
type Entry struct {
	Sequence uint64
	// Digest is of the request that the ticket was first used for.
	Digest uint64
	State  State
	Result Result
	// expires is the age of the issuing incarnation at which the entry is dropped.
	expires time.Duration
	// done is closed when the request ends.
	done chan struct{}
}

// Config bounds a table.
type Config struct {
	Incarnation string
	Secret      []byte
	// Started is when the incarnation began, by its own monotonic clock.
	Started time.Time
	// Lifetime is how long a ticket lives.
	Lifetime time.Duration
	// Capacity is how many tickets may be used at a time.
	Capacity int
}

// Table holds the used tickets of one incarnation. It is safe for concurrent use.
type Table struct {
	config Config

	mu      sync.Mutex
	next    uint64
	entries map[uint64]*Entry
	// order holds sequences in order of first use; entries leave from its front.
	order []uint64
	// closed is set once, before a hand-over, and never cleared.
	closed bool
}

// New returns an empty table.
func New(config Config) *Table {
	return &Table{config: config, entries: map[uint64]*Entry{}}
}

// Issue returns a fresh ticket.
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

func (t *Table) age(now time.Time) time.Duration {
	return now.Sub(t.config.Started)
}

// Claim claims a ticket for a request. First is true for the one call that may
// send the request on; every other call waits for Entry.Done.
func (t *Table) Claim(now time.Time, ticket Ticket, request []byte) (entry *Entry, first bool, err error) {
	const op = "use ticket"
	if err := t.verify(ticket); err != nil {
		return nil, false, err
	}
	digest := xxhash.Sum64(request)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
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
	case len(t.entries) >= refusedRoom*t.config.Capacity:
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
		return failer.New("verify ticket", KindNotOwner, "incarnation %s issued it", ticket.Incarnation)
	}
	if subtle.ConstantTimeCompare(ticket.mac, ticket.sign(t.config.Secret)) != 1 {
		return failer.New("verify ticket", KindMalformed, "this daemon did not issue it")
	}
	return nil
}

// expire drops entries whose tickets have ended, oldest first.
func (t *Table) expire(now time.Time) {
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

// Finish records, once, how the request of an entry ended.
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

// Done is closed when the request of the entry has ended.
func (e *Entry) Done() <-chan struct{} { return e.done }

// EntryOutcome returns the state and result of an entry.
func (t *Table) EntryOutcome(entry *Entry) (State, Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return entry.State, entry.Result
}

// Len returns how many used tickets are kept.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// HandOver is a closed table on its way to its only successor.
type HandOver struct {
	Incarnation string
	Secret      []byte
	// Age is the incarnation's age when it closed.
	Age     time.Duration
	Entries []Entry
}

// Close closes the table for good and returns it for one successor. Requests
// still pending become unknown in the copy. Only the first call returns ok.
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
		copied := Entry{Sequence: entry.Sequence, Digest: entry.Digest, State: entry.State, Result: entry.Result}
		if copied.State == StatePending {
			copied.State = StateUnknown
		}
		out.Entries = append(out.Entries, copied)
	}
	return out, true
}

// NewFromHandOver returns the table of an incarnation that handed over to this daemon.
// Entries live for one more whole lifetime, which is never shorter than theirs.
func NewFromHandOver(now time.Time, h HandOver, lifetime time.Duration, capacity int) *Table {
	t := New(Config{
		Incarnation: h.Incarnation,
		Secret:      h.Secret,
		Started:     now.Add(-h.Age),
		Lifetime:    lifetime,
		Capacity:    capacity,
	})
	closedChan := make(chan struct{})
	close(closedChan)
	for _, entry := range h.Entries {
		entry.done = closedChan
		entry.expires = h.Age + lifetime
		t.entries[entry.Sequence] = &entry
		t.order = append(t.order, entry.Sequence)
	}
	return t
}

// UpdateOutcomes adds what became known of a handed-over table's requests after it was
// copied: an unknown outcome may become known, and nothing else changes.
func (t *Table) UpdateOutcomes(entries []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range entries {
		known, ok := t.entries[e.Sequence]
		if ok && known.State == StateUnknown && e.State != StatePending && known.Digest == e.Digest {
			known.State = e.State
			known.Result = e.Result
		}
	}
}

// FinishedEntries returns the entries that have ended, for an amendment.
func (t *Table) FinishedEntries() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Entry
	for _, e := range t.entries {
		if e.State != StatePending {
			out = append(out, Entry{Sequence: e.Sequence, Digest: e.Digest, State: e.State, Result: e.Result})
		}
	}
	return out
}
