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

// init fixes the seed, so that every run takes the same steps.
func init() { _ = flag.Set("rapid.seed", "1") }

var start = time.Unix(1000, 0)

func newTable(capacity int) *ticketer.Table {
	return ticketer.New(ticketer.Config{
		Incarnation: "a", Secret: []byte("secret"), Started: start, Lifetime: time.Minute, Capacity: capacity,
	})
}

func issue(t require, table *ticketer.Table, now time.Time) ticketer.Ticket {
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

type require interface {
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

	beyond := issue(t, table, start)
	entry, first, err := table.Claim(start, beyond, []byte("book"))
	is.NoErr(err)
	is.True(!first) // above the capacity: refused, and that is remembered
	state, _ := table.EntryOutcome(entry)
	is.Equal(state, ticketer.StateNotRun)

	late := issue(t, table, start)
	_, _, err = table.Claim(start.Add(time.Minute), late, nil)
	is.True(failer.Is(err, ticketer.KindExpired))

	other := ticketer.New(ticketer.Config{Incarnation: "a", Secret: []byte("guessed"), Started: start, Lifetime: time.Minute, Capacity: 9})
	_, _, err = table.Claim(start, issue(t, other, start), nil)
	is.True(failer.Is(err, ticketer.KindMalformed))
}

// TestTicketsRunAtMostOnce drives the table and its successor as the model in
// spec/ticket.pml does: whatever the order of tries, outcomes, hand-over and
// late amendments, one call at most is told to send, and outcomes stay.
func TestTicketsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newTable(4)
		var b *ticketer.Table
		now := start
		tickets := []ticketer.Ticket{issue(t, a, now), issue(t, a, now), issue(t, a, now)}
		sends := map[uint64]int{}
		final := map[uint64]ticketer.State{}
		type sending struct {
			table *ticketer.Table
			entry *ticketer.Entry
		}
		var under []sending
		try := func(table *ticketer.Table) {
			ticket := rapid.SampledFrom(tickets).Draw(t, "ticket")
			entry, first, err := table.Claim(now, ticket, []byte("x"))
			if err != nil {
				return
			}
			if first {
				sends[ticket.Sequence]++
				under = append(under, sending{table, entry})
			}
			state, _ := table.EntryOutcome(entry)
			if known, ok := final[ticket.Sequence]; ok && known == ticketer.StateNotRun && state == ticketer.StateAnswered {
				t.Fatalf("answered after notRun")
			}
			if state == ticketer.StateNotRun || state == ticketer.StateAnswered {
				final[ticket.Sequence] = state
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"try the issuer": func(*rapid.T) { try(a) },
			"try the successor": func(t *rapid.T) {
				if b == nil {
					t.Skip("no successor yet")
				}
				try(b)
			},
			"a request ends": func(t *rapid.T) {
				if len(under) == 0 {
					t.Skip("nothing is under way")
				}
				i := rapid.IntRange(0, len(under)-1).Draw(t, "which")
				state := rapid.SampledFrom([]ticketer.State{ticketer.StateAnswered, ticketer.StateUnknown, ticketer.StateNotRun}).Draw(t, "state")
				under[i].table.Finish(under[i].entry, state, ticketer.Result{})
				under = append(under[:i], under[i+1:]...)
			},
			"the issuer stops": func(t *rapid.T) {
				handOver, ok := a.Close(now)
				if !ok {
					t.Skip("it has stopped")
				}
				b = ticketer.NewFromHandOver(now, handOver, time.Minute, 4)
			},
			"late outcomes follow": func(t *rapid.T) {
				if b == nil {
					t.Skip("no successor yet")
				}
				b.UpdateOutcomes(a.FinishedEntries())
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
		again, err := ticketer.Parse(ticket.String())
		if err != nil || again.String() != ticket.String() {
			t.Fatalf("%q does not survive: %v", text, err)
		}
	})
}
