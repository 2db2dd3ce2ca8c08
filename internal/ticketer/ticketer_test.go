package ticketer_test

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/ticketer"
)

// init sets a fixed seed, so that every run executes the same steps.
func init() { _ = flag.Set("rapid.seed", "1") }

var start = time.Unix(1000, 0)

func newTable(capacity int) *ticketer.Table {
	return ticketer.New(ticketer.Config{
		Incarnation: "a", Secret: []byte("secret"), Started: start, Lifetime: time.Minute, Capacity: capacity,
	})
}

func issue(t fatalReporter, table *ticketer.Table, now time.Time) ticketer.Ticket {
	text, err := table.Issue(now)
	if err != nil {
		t.Fatalf("%v", err)
	}
	ticket, err := ticketer.Parse(text)
	if err != nil {
		t.Fatalf("%v", err)
	}
	return ticket
}

// fatalReporter is implemented by both testing.T and rapid.T.
type fatalReporter interface {
	Fatalf(format string, args ...any)
}

func TestTicketRefusals(t *testing.T) {
	is := is.New(t)
	table := newTable(1)
	ticket := issue(t, table, start)
	_, first, err := table.Claim(start, ticket, []byte("book"))
	is.NoErr(err)
	is.True(first)
	_, first, err = table.Claim(start, ticket, []byte("book"))
	is.NoErr(err)
	is.True(!first)
	_, _, err = table.Claim(start, ticket, []byte("another"))
	is.True(failer.Is(err, ticketer.KindReused))

	overCapacity := issue(t, table, start)
	entry, first, err := table.Claim(start, overCapacity, []byte("book"))
	is.NoErr(err)
	is.True(!first) // refused above the capacity, and the refusal is stored
	state, _ := table.EntryOutcome(entry)
	is.Equal(state, ticketer.StateNotRun)

	expired := issue(t, table, start)
	_, _, err = table.Claim(start.Add(time.Minute), expired, nil)
	is.True(failer.Is(err, ticketer.KindExpired))

	forger := ticketer.New(ticketer.Config{Incarnation: "a", Secret: []byte("guessed"), Started: start, Lifetime: time.Minute, Capacity: 9})
	_, _, err = table.Claim(start, issue(t, forger, start), nil)
	is.True(failer.Is(err, ticketer.KindMalformed))
}

// TestTicketsRunAtMostOnce runs random sequences of the steps of the model in
// spec/ticket.pml: uses of tickets at the issuer and its successor, outcomes, the
// hand-over and late outcome updates. It guards against a request that is sent
// twice, and against an outcome that turns from not run into answered.
func TestTicketsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		issuer := newTable(4)
		var successor *ticketer.Table
		now := start
		tickets := []ticketer.Ticket{issue(t, issuer, now), issue(t, issuer, now), issue(t, issuer, now)}
		sends := map[uint64]int{}
		outcomes := map[uint64]ticketer.State{}
		type sentRequest struct {
			table *ticketer.Table
			entry *ticketer.Entry
		}
		var inProgress []sentRequest
		use := func(table *ticketer.Table) {
			ticket := rapid.SampledFrom(tickets).Draw(t, "ticket")
			entry, first, err := table.Claim(now, ticket, []byte("x"))
			if err != nil {
				return
			}
			if first {
				sends[ticket.Sequence]++
				inProgress = append(inProgress, sentRequest{table, entry})
			}
			state, _ := table.EntryOutcome(entry)
			if previous, ok := outcomes[ticket.Sequence]; ok && previous == ticketer.StateNotRun && state == ticketer.StateAnswered {
				t.Fatalf("a ticket's outcome changed from notRun to answered")
			}
			if state == ticketer.StateNotRun || state == ticketer.StateAnswered {
				outcomes[ticket.Sequence] = state
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"try the issuer": func(*rapid.T) { use(issuer) },
			"try the successor": func(t *rapid.T) {
				if successor == nil {
					t.Skip("no successor yet")
				}
				use(successor)
			},
			"a request ends": func(t *rapid.T) {
				if len(inProgress) == 0 {
					t.Skip("no request is in progress")
				}
				i := rapid.IntRange(0, len(inProgress)-1).Draw(t, "which")
				state := rapid.SampledFrom([]ticketer.State{ticketer.StateAnswered, ticketer.StateUnknown, ticketer.StateNotRun}).Draw(t, "state")
				inProgress[i].table.Finish(inProgress[i].entry, state, ticketer.Result{})
				inProgress = append(inProgress[:i], inProgress[i+1:]...)
			},
			"the issuer stops": func(t *rapid.T) {
				handOver, ok := issuer.Close(now)
				if !ok {
					t.Skip("the issuer has already stopped")
				}
				successor = ticketer.NewFromHandOver(now, handOver, time.Minute, 4)
			},
			"late outcomes follow": func(t *rapid.T) {
				if successor == nil {
					t.Skip("no successor yet")
				}
				successor.UpdateOutcomes(issuer.FinishedEntries())
			},
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
			},
			"": func(t *rapid.T) {
				for sequence, n := range sends {
					if n > 1 {
						t.Fatalf("ticket %d was sent %d times", sequence, n)
					}
				}
			},
		})
	})
}

func FuzzParse(f *testing.F) {
	text, _ := newTable(1).Issue(start)
	f.Add(text)
	f.Add("t1.")
	f.Add("t1.AAAAAAAAAAAAAAAAAAAAAAAA")
	f.Fuzz(func(t *testing.T, text string) {
		ticket, err := ticketer.Parse(text)
		if err != nil {
			return
		}
		parsed, err := ticketer.Parse(ticket.String())
		if err != nil || parsed.String() != ticket.String() {
			t.Fatalf("%q changes when formatted and parsed again: %v", text, err)
		}
	})
}
