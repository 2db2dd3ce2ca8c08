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

// clusterStartTimeout bounds the start of a cluster; it leaves room for a busy machine.
const clusterStartTimeout = 30 * time.Second

// startCluster starts the Olwyn example site with the given number of daemons in each
// failure domain. change, if not nil, modifies the configuration first.
func startCluster(t *testing.T, daemons int, change func(*stager.Config)) *stager.Cluster {
	t.Helper()
	is := is.New(t)
	declarations, err := declarer.ParseDeclarations("olwyn", examples.Olwyn)
	is.NoErr(err)
	for i := range declarations.Classes {
		// These tests check results, not latency: they must not fail on a busy machine.
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
	ctx, cancel := context.WithTimeout(context.Background(), clusterStartTimeout)
	defer cancel()
	cluster, err := stager.New(ctx, config)
	is.NoErr(err)
	t.Cleanup(cluster.Close)
	return cluster
}

func searchRequest(service string) caller.Request {
	return caller.Request{Service: service, Class: "counter", Tenant: "olwyn", Body: []byte(`{"q":"wheel"}`)}
}

func TestSearchAnswersWithFullCoverage(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t, 1, nil)
	for n := range cluster.Daemons {
		answer, err := cluster.Client(n).Search(t.Context(), searchRequest("parts-finder"))
		is.NoErr(err)
		is.Equal(answer.Coverage, caller.Coverage{Known: true, Shards: 10, Answered: 10, Fraction: 1})
		is.Equal(answer.Snapshot, emulator.InitialSnapshot)
		is.Equal(len(answer.Hits), 30)
	}
}

func TestSearchThroughGatewayOnly(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t, 1, func(c *stager.Config) { c.Policy.Route = loader.RouteGateway })
	answer, err := cluster.Client(0).Search(t.Context(), searchRequest("stock-ledger"))
	is.NoErr(err)
	is.Equal(answer.Coverage.Answered, 15)
}

func TestOnceRunsOnceAndReplays(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t, 1, nil)
	ticket, err := cluster.Client(0).Ticket(t.Context())
	is.NoErr(err)
	request := caller.Request{Service: "bookings", Class: "booking", Key: "order-7", Ticket: ticket, Body: []byte(`{"book":1}`)}
	for n, replayed := range []bool{false, true, true} {
		answer, err := cluster.Client(n).Submit(t.Context(), request)
		is.NoErr(err)
		is.Equal(answer.Outcome, caller.OutcomeAnswered)
		is.Equal(answer.Replayed, replayed)
	}
	is.Equal(bookingRuns(cluster)[ticket], 1)
}

// bookingRuns returns how often the searchers ran each booking, by ticket.
func bookingRuns(cluster *stager.Cluster) map[string]int {
	runsByTicket := map[string]int{}
	for _, searcher := range cluster.SearchersOf("bookings") {
		for key, n := range searcher.Stats().Runs {
			runsByTicket[key[:len(key)-len("/"+searcher.Shard)]] += n
		}
	}
	return runsByTicket
}

func mustJSON(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(data)
}

func isConflict(err error) bool { return failer.Is(err, publisher.KindConflict) }
