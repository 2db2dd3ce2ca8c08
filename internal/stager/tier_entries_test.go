package stager_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// nested returns a JSON array that is nested to a depth.
func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// foreignEntries are specifications that another writer left among the registrations. In
// those that look like a registration ADDRESS stands for the address of a searcher.
var foreignEntries = map[string]string{
	"slots too many":         `{"service":"singles","addr":"ADDRESS","zone":"a","version":"v1","maxConcurrency":9e18,"state":"ready","warmupLeftMs":0,"seq":1,"born":5}`,
	"slots beyond range":     `{"service":"singles","addr":"ADDRESS","zone":"a","version":"v1","maxConcurrency":1e400,"state":"ready","warmupLeftMs":0,"seq":1,"born":5}`,
	"slots of a long number": `{"service":"singles","addr":"ADDRESS","zone":"a","version":"v1","maxConcurrency":1000000000000000000,"state":"ready","warmupLeftMs":0,"seq":1,"born":5}`,
	"warm-up too long":       `{"service":"singles","addr":"ADDRESS","zone":"a","version":"v1","maxConcurrency":5,"state":"ready","warmupLeftMs":1e300,"seq":1,"born":5}`,
	"warm-up beyond range":   `{"service":"singles","addr":"ADDRESS","zone":"a","version":"v1","maxConcurrency":5,"state":"ready","warmupLeftMs":1e400,"seq":1,"born":5}`,
	"sequence beyond range":  `{"service":"singles","addr":"ADDRESS","zone":"a","version":"v1","maxConcurrency":5,"state":"ready","warmupLeftMs":0,"seq":1e400,"born":5}`,
	"born beyond range":      `{"service":"singles","addr":"ADDRESS","zone":"a","version":"v1","maxConcurrency":5,"state":"ready","warmupLeftMs":0,"seq":1,"born":1e30}`,
	"port too high":          `{"service":"singles","addr":"127.0.0.1:65536","zone":"a","version":"v1","maxConcurrency":5,"state":"ready","warmupLeftMs":0,"seq":1}`,
	"port too long":          `{"service":"singles","addr":"127.0.0.1:99999999999999999999","zone":"a","version":"v1","maxConcurrency":5,"state":"ready","warmupLeftMs":0,"seq":1}`,
	"port negative":          `{"service":"singles","addr":"127.0.0.1:-1","zone":"a","version":"v1","maxConcurrency":5,"state":"ready","warmupLeftMs":0,"seq":1}`,
	"port 0":                 `{"service":"singles","addr":"127.0.0.1:0","zone":"a","version":"v1","maxConcurrency":5,"state":"ready","warmupLeftMs":0,"seq":1}`,
	"port of a name":         `{"service":"singles","addr":"127.0.0.1:http","zone":"a","version":"v1","maxConcurrency":5,"state":"ready","warmupLeftMs":0,"seq":1}`,
	"no version":             `{"service":"singles","addr":"ADDRESS","zone":"a","maxConcurrency":5,"state":"ready","warmupLeftMs":0,"seq":1}`,
	"other spelling":         `{"Service":"singles","Addr":"ADDRESS","Zone":"a","Version":"v1","MaxConcurrency":5,"State":"ready","WarmupLeftMs":0,"Seq":1}`,
	"born as a text":         `{"service":"singles","addr":"ADDRESS","zone":"a","version":"v1","maxConcurrency":5,"state":"ready","warmupLeftMs":0,"seq":1,"born":"5"}`,
	"nested array":           nested(12_000),
	"nested objects":         strings.Repeat(`{"a":`, 12_000) + "1" + strings.Repeat("}", 12_000),
	"nested as far as fits":  nested(500_000),
	"nested unknown field":   `{"service":"singles","addr":"ADDRESS","zone":"a","version":"v1","maxConcurrency":5,"state":"ready","warmupLeftMs":0,"seq":1,"x":` + nested(12_000) + `}`,
	"nested field":           `{"service":` + nested(12_000) + `,"addr":"ADDRESS","zone":"a","version":"v1","maxConcurrency":5,"state":"ready","warmupLeftMs":0,"seq":1}`,
}

// TestTierFollowsRegistrationsBesideForeignEntries checks that an entry of another writer
// is not used, hides no change of the others and lets daemons start.
func TestTierFollowsRegistrationsBesideForeignEntries(t *testing.T) {
	t.Parallel()
	for name, spec := range foreignEntries {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			tier := newTier(t, nil)
			trap, err := tier.AddBackend(singles, "a", "i-foreign")
			is.NoErr(err)
			tier.Store.Put(platform.ObjectKindServer, "i-foreign", json.RawMessage(strings.ReplaceAll(spec, "ADDRESS", trap.Server.Address)))
			time.Sleep(300 * time.Millisecond)
			drained := backendsOf(tier, singles)[0]
			registerDraining(tier, drained)
			// The users' deployments allow 3 s.
			time.Sleep(3 * time.Second)
			last := drained.Stats().LastArrival
			for n := range 30 {
				_, reply := sendRequest(t, tier, n%3, stager.SinglePath+"x")
				is.Equal(reply.Status, http.StatusOK)
			}
			is.Equal(drained.Stats().LastArrival, last)
			for n := range tier.Daemons {
				tier.Daemons[n].Kill()
				is.NoErr(<-tier.Daemons[n].RunErr)
			}
			for n := range tier.Daemons {
				_, err := tier.StartDaemon(n, false)
				is.NoErr(err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), eventuallyTimeout)
			defer cancel()
			is.NoErr(tier.AwaitReady(ctx))
			for n := range 30 {
				_, reply := sendRequest(t, tier, n%3, stager.SinglePath+"x")
				is.Equal(reply.Status, http.StatusOK)
			}
			is.Equal(drained.Stats().LastArrival, last)
			is.Equal(len(trap.Stats().Arrivals), 0)
		})
	}
}
