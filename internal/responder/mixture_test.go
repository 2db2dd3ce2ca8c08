package responder_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/follower"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/internal/reporter"
	"github.com/fuchsiastile/fuchsiastile/internal/responder"
	"github.com/fuchsiastile/fuchsiastile/internal/scheduler"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

const (
	mixtureSeed    = 47
	mixtureTimeout = 2500 * time.Millisecond
	mixtureHost    = "h.example"
)

// mixtureServices are the services that routes name; the last has no searchers.
var mixtureServices = []string{"s0", "s1", "s2", "s3", "none"}

// mixtureFaults are the faults of the searchers: those at which no exchange takes long.
var mixtureFaults = []emulator.BackendFaults{
	{}, {}, {}, {}, {Reset: true}, {Shed: true}, {Fail: true}, {Truncate: true}, {ForgetIdle: true}, {Extra: true}, {Unframed: true}, {},
}

// randomTable returns a configuration of which each part may be odd: routes without a
// service, with the same one twice, with weights of zero, low limits, or no route.
func randomTable(rng *rand.Rand, version uint64) *planner.Table {
	some := func(n int) []string {
		out := make([]string, n)
		for i := range out {
			out[i] = mixtureServices[rng.IntN(len(mixtureServices))]
		}
		return out
	}
	c := planner.Configuration{Version: version, Services: map[string]planner.Service{}}
	for _, name := range some(4) {
		c.Services[name] = planner.Service{MaxConnections: rng.IntN(40)}
	}
	if rng.IntN(4) == 0 {
		c.Limits = planner.Limits{HeaderBytes: 200 + rng.IntN(200), BodyBytes: int64(1 + rng.IntN(60))}
	}
	for _, name := range []string{"gather", "once", "single"} {
		if rng.IntN(10) == 0 {
			continue
		}
		r := planner.Route{
			Name: name, Host: mixtureHost, PathPrefix: "/" + name + "/", Idempotent: name != "once", Timeout: mixtureTimeout,
			Objective: time.Duration(rng.IntN(1000)) * time.Millisecond, MaxSearchers: 1 + rng.IntN(3), TopK: rng.IntN(20), MinCoverage: rng.Float64(),
		}
		if name == "gather" {
			r.Shards = some(rng.IntN(4))
		} else {
			for _, service := range some(rng.IntN(5)) {
				r.Backends = append(r.Backends, planner.Backend{Service: service, Weight: float64(rng.IntN(3))})
			}
		}
		c.Routes = append(c.Routes, r)
	}
	return planner.Compile(c)
}

// randomStates returns states of which each has a part of the searchers.
func randomStates(rng *rand.Rand, servers []planner.Server) []*follower.State {
	out := make([]*follower.State, 30)
	for n := range out {
		list := slices.DeleteFunc(slices.Clone(servers), func(planner.Server) bool { return rng.IntN(3) == 0 })
		for i := range list {
			list[i].Draining = rng.IntN(6) == 0
		}
		out[n] = &follower.State{Table: randomTable(rng, uint64(n+1)), Fleet: planner.NewFleet(list, map[string]string{"a": "r"}), Daemons: 1 + rng.IntN(30), Joined: true}
	}
	return out
}

// TestMixturesOfStatesEndInAnswers guards against requests that end late, without an answer
// or in a panic because the state that routes them changes between two reads: here each read
// returns another one. Some searchers fail, but none of them takes long.
func TestMixturesOfStatesEndInAnswers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	rng := rand.New(rand.NewPCG(mixtureSeed, 0))
	var servers []planner.Server
	backends := map[string]*emulator.Backend{}
	for n := range 12 {
		server := planner.Server{Instance: fmt.Sprint("i-", n), Service: mixtureServices[n%4], FailureDomain: "a", Slots: 20, Born: 1}
		b, err := emulator.StartBackend(server, "127.0.0.1:0", time.Millisecond, 5)
		is.NoErr(err)
		t.Cleanup(b.Close)
		b.SetFaults(mixtureFaults[n])
		servers = append(servers, b.Server)
		backends[b.Server.Instance] = b
		if n%4 == 3 {
			// The address belongs to another searcher now.
			servers[n].Instance += "-before"
		}
	}
	states := randomStates(rng, servers)
	var reads atomic.Uint64
	timers := scheduler.New()
	go func() { _ = timers.Run() }()
	t.Cleanup(timers.Close)
	ready := make(chan struct{})
	close(ready)
	r := responder.New(responder.Config{
		Settings: platform.Settings{IP: "127.0.0.1", FailureDomain: "a", Region: "r", Bounds: platform.Bounds{RetryBudgetRatio: 0.2, RetryBudgetSlack: 126, RetryBudgetWindow: time.Second}},
		Network:  dialer.Network{Dial: (&net.Dialer{}).DialContext}, Scheduler: timers,
		State: func() *follower.State { return states[(reads.Add(1)*2654435761>>7)%uint64(len(states))] },
		Ready: ready, Stop: func() *responder.Stop { return nil }, Announce: func(context.Context, http.Header) {},
		OnDisplaced: func(string) {}, SendReport: func([]reporter.Observation) bool { return true }, SendSummary: func(reporter.Summary) {},
		Metrics: responder.NewMetrics(vm.NewSet()), Rand: rand.New(rand.NewPCG(mixtureSeed, 1)),
	})
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	var mu sync.Mutex
	statuses := map[int]int{}
	var wait sync.WaitGroup
	for caller := range 8 {
		rng := rand.New(rand.NewPCG(mixtureSeed, uint64(2+caller)))
		wait.Go(func() {
			for n := range 400 {
				id := fmt.Sprintf("%d-%d", caller, n)
				path := []string{"/gather/x", "/once/x", "/single/x"}[rng.IntN(3)]
				var body io.Reader
				if rng.IntN(2) == 0 {
					body = io.LimitReader(endlessBody{}, int64(rng.IntN(100)))
				}
				request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, server.URL+path, body)
				if err != nil {
					t.Error(err)
					return
				}
				request.Host = mixtureHost
				platform.WriteCallerHeaders(request.Header, id, 10*time.Second)
				began := time.Now()
				response, err := http.DefaultClient.Do(request)
				if err != nil {
					t.Errorf("%s: %v", path, err)
					continue
				}
				_, err = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				took := time.Since(began)
				if err != nil || took > mixtureTimeout/2 || response.StatusCode == http.StatusGatewayTimeout {
					t.Errorf("%s: status %d after %v, %v", path, response.StatusCode, took, err)
				}
				ran := 0
				for _, b := range backends {
					ran += b.Stats().Runs[id]
				}
				if response.StatusCode == http.StatusServiceUnavailable && ran > 0 || path == "/once/x" && ran > 1 {
					t.Errorf("%s: status %d, ran %d times", path, response.StatusCode, ran)
				}
				mu.Lock()
				statuses[response.StatusCode]++
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	t.Log(statuses, reads.Load())
	is.True(statuses[http.StatusOK] > 200) // the mixtures allow answers
}

// endlessBody is an endless body.
type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }
