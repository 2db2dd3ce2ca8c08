package stager_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

const (
	stormSeed    = 47
	stormCallers = 12
)

// storm changes a tier's configuration and searchers at random while callers use it. Its
// searchers are sound and leave with notice.
type storm struct {
	tier *stager.Tier
	rng  *rand.Rand
	// current is the configuration without the changes of a burst.
	current planner.Configuration
	// singles and shards are the searchers in use, by service.
	singles, shards []*emulator.Backend
	generation      int
	wait            sync.WaitGroup
}

// start starts and registers a searcher.
func (s *storm) start(t *testing.T, service string) *emulator.Backend {
	t.Helper()
	domains := s.tier.Config.Domains
	b, err := s.tier.AddBackend(service, domains[s.rng.IntN(len(domains))], fmt.Sprintf("i-%d-%d", s.generation, len(s.tier.Backends)))
	if err != nil {
		t.Fatal(err)
	}
	s.tier.Register(b.Server)
	return b
}

// drain registers a searcher as draining, or removes its registration, and stops it after the
// notice.
func (s *storm) drain(b *emulator.Backend) {
	server := b.Server
	server.Draining = true
	if s.tier.Register(server); s.rng.IntN(2) == 0 {
		s.tier.Store.Delete(platform.ObjectKindServer, server.Instance)
	}
	s.wait.Go(func() {
		time.Sleep(s.tier.Daemons[0].Settings.Bounds.DrainNotice)
		s.tier.Store.Delete(platform.ObjectKindServer, server.Instance)
		b.Close()
	})
}

// burst applies versions that differ in everything that may change at once, and then the
// current one again.
func (s *storm) burst() {
	for range 1 + s.rng.IntN(8) {
		next := s.current
		next.Version = s.tier.StoredConfiguration.Version + 1 + uint64(s.rng.IntN(5))
		next.Limits.HeaderBytes = 4096 + s.rng.IntN(16384)
		next.Limits.BodyBytes = int64(1024 + s.rng.IntN(1<<18))
		next.Routes = nil
		for _, r := range s.current.Routes {
			r.Timeout = time.Duration(1500+s.rng.IntN(2000)) * time.Millisecond
			r.Objective = time.Duration(50+s.rng.IntN(1000)) * time.Millisecond
			r.MaxSearchers = 1 + s.rng.IntN(3)
			if len(r.Shards) == 0 {
				r.Backends = []planner.Backend{{Service: singles, Weight: s.rng.Float64()}, {Service: "others", Weight: float64(s.rng.IntN(2))}}
			}
			next.Routes = append(next.Routes, r)
		}
		next.Routes = append(next.Routes, planner.Route{Name: "passing", Host: stager.TierHost, PathPrefix: fmt.Sprintf("/p%d/", s.rng.IntN(3)), Timeout: time.Second, MaxSearchers: 1})
		s.tier.Apply(next)
		time.Sleep(time.Duration(s.rng.IntN(60)) * time.Millisecond)
	}
	next := s.current
	next.Version = s.tier.StoredConfiguration.Version + 1
	s.tier.Apply(next)
}

// blow makes changes one after another for a time, without a reshard.
func (s *storm) blow(t *testing.T, period time.Duration) {
	t.Helper()
	for began := time.Now(); time.Since(began) < period; time.Sleep(time.Duration(s.rng.IntN(200)) * time.Millisecond) {
		if s.rng.IntN(3) > 0 {
			s.burst()
			continue
		}
		s.singles = append(s.singles, s.start(t, singles))
		s.drain(s.singles[0])
		s.singles = s.singles[1:]
	}
}

// reshard starts the searchers of other services, names these in a new version and drains the
// old ones once it is due everywhere, while other changes go on.
func (s *storm) reshard(t *testing.T) {
	t.Helper()
	s.generation++
	old := s.shards
	s.shards = nil
	next := s.current
	next.Services = map[string]planner.Service{singles: {MaxConnections: 20 + s.rng.IntN(200)}, "others": {MaxConnections: 60}}
	next.Routes = append([]planner.Route{}, s.current.Routes...)
	next.Routes[0].Shards = nil
	for n := range s.tier.Config.Shards {
		name := fmt.Sprintf("shard-%d-%d", s.generation, n)
		next.Routes[0].Shards = append(next.Routes[0].Shards, name)
		next.Services[name] = planner.Service{MaxConnections: 20 + s.rng.IntN(100)}
		for range 2 {
			s.shards = append(s.shards, s.start(t, name))
		}
	}
	s.blow(t, applyBound)
	s.current = next
	s.burst()
	s.blow(t, applyBound)
	for _, b := range old {
		s.drain(b)
	}
	s.blow(t, applyBound)
}

// stormRequest is a request that was sent during a storm, and its answer.
type stormRequest struct {
	path, id string
	reply    stager.Reply
	err      error
}

// TestTierAnswersInStormsOfChanges guards against requests that end late, or without an
// answer, because they were routed by a mixture of two versions or two lists of searchers.
func TestTierAnswersInStormsOfChanges(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tier := newTier(t, nil)
	s := &storm{tier: tier, rng: rand.New(rand.NewPCG(stormSeed, 0)), current: tier.InitialConfiguration()}
	for _, b := range tier.Backends {
		if b.Server.Service == singles {
			s.singles = append(s.singles, b)
		} else {
			s.shards = append(s.shards, b)
		}
	}
	for range 3 {
		s.start(t, "others")
	}
	time.Sleep(applyBound)
	requests := make([][]stormRequest, stormCallers)
	end := make(chan struct{})
	var callers sync.WaitGroup
	for n := range requests {
		rng := rand.New(rand.NewPCG(stormSeed, uint64(n+1)))
		callers.Go(func() {
			for {
				select {
				case <-end:
					return
				default:
				}
				r := stormRequest{path: []string{stager.SinglePath, stager.AtMostOncePath, stager.ScatterGatherPath}[rng.IntN(3)], id: nextID()}
				var body io.Reader
				if rng.IntN(2) == 0 {
					body = strings.NewReader(strings.Repeat("x", 1+rng.IntN(1000)))
				}
				r.reply, r.err = tier.Send(t.Context(), tier.Daemons[rng.IntN(len(tier.Daemons))], http.MethodPost, r.path+"x", r.id, 2*time.Second, body)
				requests[n] = append(requests[n], r)
				time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
			}
		})
	}
	s.reshard(t)
	close(end)
	callers.Wait()
	s.wait.Wait()
	statuses, latest := map[int]int{}, time.Duration(0)
	for _, list := range requests {
		for _, r := range list {
			if r.err != nil {
				t.Errorf("%s: %v", r.path, r.err)
				continue
			}
			checkReply(t, tier, r.path, r.id, r.reply)
			statuses[r.reply.Status]++
			latest = max(latest, r.reply.Latency)
			if r.reply.Status == http.StatusGatewayTimeout || r.reply.Latency > time.Second {
				t.Errorf("%s: status %d after %v", r.path, r.reply.Status, r.reply.Latency)
			}
		}
	}
	t.Log(statuses, latest)
	is.True(statuses[http.StatusOK] > 0)
}
