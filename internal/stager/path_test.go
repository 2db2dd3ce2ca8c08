package stager_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/examples"
	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/loader"
	"github.com/fuchsiastile/fuchsiastile/internal/publisher"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/pkg/caller"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// readyTimeout bounds the start of a site on a busy machine.
const readyTimeout = 30 * time.Second

// put starts a site of Olwyn with so many daemons per failure domain.
func put(t *testing.T, daemons int, change func(*stager.Config)) *stager.Cluster {
	t.Helper()
	is := is.New(t)
	declarations, err := declarer.ParseDeclarations("olwyn", examples.Olwyn)
	is.NoErr(err)
	for i := range declarations.Classes {
		// Facts are checked here, not latency: a busy machine must not turn a test red.
		declarations.Classes[i].Deadline = declarer.Duration(5 * time.Second)
	}
	config := stager.Config{
		Site:         emulator.OlwynSite(daemons),
		Declarations: declarations,
		Policy:       loader.Default().Policy,
	}
	if change != nil {
		change(&config)
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	stage, err := stager.New(ctx, config)
	is.NoErr(err)
	t.Cleanup(stage.Close)
	return stage
}

func search(service string) caller.Request {
	return caller.Request{Service: service, Class: "counter", Tenant: "olwyn", Body: []byte(`{"q":"wheel"}`)}
}

func TestSearchAnswersWithFullCoverage(t *testing.T) {
	is := is.New(t)
	stage := put(t, 1, nil)
	for n := range stage.Daemons {
		answer, err := stage.Client(n).Search(t.Context(), search("parts-finder"))
		is.NoErr(err)
		is.Equal(answer.Coverage, caller.Coverage{Known: true, Shards: 10, Answered: 10, Fraction: 1})
		is.Equal(answer.Snapshot, emulator.InitialSnapshot)
		is.Equal(len(answer.Hits), 30)
	}
}

func TestSearchThroughGatewayOnly(t *testing.T) {
	is := is.New(t)
	stage := put(t, 1, func(c *stager.Config) { c.Policy.Route = loader.RouteGateway })
	answer, err := stage.Client(0).Search(t.Context(), search("stock-ledger"))
	is.NoErr(err)
	is.Equal(answer.Coverage.Answered, 15)
}

func TestOnceRunsOnceAndReplays(t *testing.T) {
	is := is.New(t)
	stage := put(t, 1, nil)
	ticket, err := stage.Client(0).Ticket(t.Context())
	is.NoErr(err)
	request := caller.Request{Service: "bookings", Class: "booking", Key: "order-7", Ticket: ticket, Body: []byte(`{"book":1}`)}
	for n, replayed := range []bool{false, true, true} {
		answer, err := stage.Client(n).Submit(t.Context(), request)
		is.NoErr(err)
		is.Equal(answer.Outcome, caller.OutcomeAnswered)
		is.Equal(answer.Replayed, replayed)
	}
	is.Equal(runs(stage)[ticket], 1)
}

// runs returns how often each booking really ran, by ticket.
func runs(stage *stager.Cluster) map[string]int {
	out := map[string]int{}
	for _, r := range stage.SearchersOf("bookings") {
		for key, n := range r.Stats().Runs {
			out[key[:len(key)-len("/"+r.Shard)]] += n
		}
	}
	return out
}

func mustJSON(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(data)
}

func isConflict(err error) bool { return failer.Is(err, publisher.KindConflict) }
