package stager_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/loader"
	"github.com/fuchsiastile/fuchsiastile/internal/publisher"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/pkg/caller"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// TestDrainedServerGetsNoNewWork drains servers under load. The VM list never shows
// the drain and the health endpoints report healthy, so daemons can detect it only
// from replies and from notices of other daemons. One failure domain is isolated
// during the drain and reconnected later.
func TestDrainedServerGetsNoNewWork(t *testing.T) {
	t.Parallel()
	network := newPartition()
	cluster := startCluster(t, 2, func(c *stager.Config) { c.Network = network.networkOf })
	network.recordAddresses(cluster)
	cluster.Platform.SetFaults(emulator.PlatformFaults{ListLagMillis: 3_600_000})
	stop := runWorkers(6, func(worker, _ int) {
		_, _ = cluster.Client(worker).Search(context.Background(), searchRequest("parts-finder"))
	})
	network.setIsolated(true, isolatedDomain)
	time.Sleep(500 * time.Millisecond)
	searchers := cluster.SearchersOf("parts-finder")
	drained := []emulator.RunningSearcher{searchers[0], searchers[4], searchers[29]}
	for _, searcher := range drained {
		searcher.Drain()
	}
	time.Sleep(4 * time.Second)
	network.setIsolated(false, isolatedDomain)
	time.Sleep(3 * time.Second)
	stop()
	for _, searcher := range drained {
		if lateWork := searcher.Stats().LateRequests; lateWork != 0 {
			t.Errorf("%s got %d requests later than 3 s after its drain began", searcher.VM.Name, lateWork)
		}
	}
}

// TestDrainIsDetectedWithoutTraffic drains a server that gets no requests. The daemons
// must detect the drain by their own probes, so that the first query after it avoids
// the server.
func TestDrainIsDetectedWithoutTraffic(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	cluster := startCluster(t, 1, nil)
	drained := cluster.SearchersOf("parts-finder")[0]
	t.Cleanup(func() {
		if t.Failed() {
			// Prints the status of each daemon, since the cause of an earlier failure is
			// unknown.
			for _, d := range cluster.Daemons {
				t.Logf("drained searcher %s; daemon status %+v", drained.VM.Address, d.Status())
			}
		}
	})
	drained.Drain()
	for _, d := range cluster.Daemons {
		eventually(t, "the daemon reports the drained searcher", func() bool { return len(d.Status().Draining) == 1 })
	}
	for n := range 30 {
		answer, err := cluster.Client(n%3).Search(t.Context(), searchRequest("parts-finder"))
		is.NoErr(err)
		is.Equal(answer.Coverage.Fraction, 1.0)
	}
	is.Equal(drained.Stats().Started, 0)
}

// balancer is a load balancer that selects among the daemons that were ready at its
// last poll.
type balancer struct {
	mu             sync.Mutex
	readyAddresses []string
	// polledAt is the time at which the last poll began.
	polledAt time.Time
	next     int
}

// maxReadinessAge is the age of the last poll from which the balancer selects no
// daemon. Daemons go on serving for leaveBalancerDelay after they report not ready,
// and the limit keeps the balancer within that time also when this process gets no
// CPU for a while, which does not stop a real load balancer.
const (
	maxReadinessAge    = 500 * time.Millisecond
	leaveBalancerDelay = 2 * time.Second
)

// readinessPollInterval is the interval between the balancer's readiness polls.
const readinessPollInterval = 50 * time.Millisecond

func (b *balancer) poll(ctx context.Context, nodes func() []*stager.Node) {
	for ctx.Err() == nil {
		var readyAddresses []string
		polledAt := time.Now()
		for _, d := range nodes() {
			response, err := http.Get("http://" + d.Settings().OperatorAddress + "/ready")
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				readyAddresses = append(readyAddresses, d.Settings().CallerAddress)
			}
		}
		b.mu.Lock()
		b.readyAddresses, b.polledAt = readyAddresses, polledAt
		b.mu.Unlock()
		time.Sleep(readinessPollInterval)
	}
}

func (b *balancer) client() (*caller.Client, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.readyAddresses) == 0 || time.Since(b.polledAt) > maxReadinessAge {
		return nil, false
	}
	b.next++
	return caller.New("http://"+b.readyAddresses[b.next%len(b.readyAddresses)], &http.Client{}), true
}

// TestRollingRestartLosesNoRequests replaces every daemon in turn during searches and
// bookings. No request may fail or be refused, and a booking that is retried through
// the new daemons must be replayed, not run again.
func TestRollingRestartLosesNoRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	cluster := startCluster(t, 1, func(c *stager.Config) {
		c.ModifySettings = func(s *loader.Settings) { s.Shutdown.ReadinessDelay = declarer.Duration(leaveBalancerDelay) }
	})
	var mu sync.Mutex
	nodes := append([]*stager.Node{}, cluster.Daemons...)
	list := func() []*stager.Node {
		mu.Lock()
		defer mu.Unlock()
		return append([]*stager.Node{}, nodes...)
	}
	b := &balancer{}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go b.poll(ctx, list)
	eventually(t, "the balancer has a ready daemon", func() bool { _, ok := b.client(); return ok })

	var sent, failed atomic.Int64
	tickets := make(chan string, 100_000)
	stop := runWorkers(6, func(worker, n int) {
		client, ok := b.client()
		if !ok {
			return
		}
		sent.Add(1)
		var answer caller.Answer
		var err error
		if worker%2 == 0 {
			answer, err = client.Search(context.Background(), searchRequest("parts-finder"))
		} else {
			answer, err = bookAndRecord(client, fmt.Sprint(worker, "-", n), tickets)
		}
		if err != nil || answer.Coverage.Fraction != 1 {
			failed.Add(1)
			t.Errorf("request failed or had partial coverage: coverage %+v, error %v", answer.Coverage, err)
		}
	})
	for i, old := range list() {
		added, err := cluster.AddDaemon(cluster.Site.Domains[i], i+10)
		is.NoErr(err)
		eventually(t, "the new daemon is ready", func() bool { return added.Status().Ready })
		mu.Lock()
		nodes = append(nodes, added)
		mu.Unlock()
		old.Stop()
		is.NoErr(<-old.RunErr)
		cluster.Platform.RemoveVM(old.Settings().Name)
		mu.Lock()
		nodes = nodes[1:]
		mu.Unlock()
	}
	stop()
	is.True(sent.Load() > 0)
	is.Equal(failed.Load(), int64(0))
	checkReplays(t, b, tickets, bookingRuns(cluster))
}

// bookAndRecord makes a booking and records its ticket and key for a later retry.
func bookAndRecord(client *caller.Client, key string, tickets chan string) (caller.Answer, error) {
	ticket, err := client.Ticket(context.Background())
	if err != nil {
		return caller.Answer{}, err
	}
	answer, err := client.Submit(context.Background(), caller.Request{
		Service: "bookings", Class: "booking", Key: key, Ticket: ticket, Body: []byte(`{}`),
	})
	tickets <- ticket + " " + key
	return answer, err
}

// checkReplays retries every tenth booking. Each must have run exactly once, and its
// outcome must have been kept through every hand-over.
func checkReplays(t *testing.T, b *balancer, tickets chan string, ran map[string]int) {
	t.Helper()
	close(tickets)
	n := 0
	for pair := range tickets {
		if n++; n%10 != 0 {
			continue
		}
		var ticket, key string
		_, _ = fmt.Sscan(pair, &ticket, &key)
		var client *caller.Client
		eventually(t, "the balancer has a ready daemon", func() (ok bool) {
			client, ok = b.client()
			return ok
		})
		answer, err := client.Submit(context.Background(), caller.Request{
			Service: "bookings", Class: "booking", Key: key, Ticket: ticket, Body: []byte(`{}`),
		})
		if err != nil || !answer.Replayed || ran[ticket] != 1 {
			t.Errorf("booking %s: replayed %v, ran %d times, error %v", pair, answer.Replayed, ran[ticket], err)
		}
	}
}

// generationMonitor checks that no daemon returns to an older generation of the
// declarations.
type generationMonitor struct {
	mu      sync.Mutex
	highest map[string]uint64
}

func (g *generationMonitor) check(t *testing.T, nodes []*stager.Node) {
	for _, d := range nodes {
		s := d.Status()
		generation := s.Documents[declarer.DocumentDeclarations].Generation
		g.mu.Lock()
		if generation < g.highest[s.Incarnation] {
			t.Errorf("%s returned from generation %d to %d", s.Name, g.highest[s.Incarnation], generation)
		}
		g.highest[s.Incarnation] = generation
		g.mu.Unlock()
	}
}

// applyChange publishes changed declarations and returns their generation.
func applyChange(t *testing.T, cluster *stager.Cluster) uint64 {
	t.Helper()
	is := is.New(t)
	config := cluster.Config.Declarations
	config.VMLabels = map[string]map[string]string{"x": {"n": fmt.Sprint(time.Now().UnixNano())}}
	is.NoErr(cluster.Apply(t.Context(), declarer.DocumentDeclarations, config))
	current, err := cluster.Store().Read(t.Context(), declarer.DocumentDeclarations)
	is.NoErr(err)
	return current.Head.Generation
}

// haveGeneration reports whether all nodes have the generation or a later one.
func haveGeneration(nodes []*stager.Node, generation uint64) bool {
	for _, d := range nodes {
		if d.Status().Documents[declarer.DocumentDeclarations].Generation < generation {
			return false
		}
	}
	return true
}

// TestConfigurationNeverReverts guards against daemons that return to older
// declarations or become ready with them. It applies changes while a failure domain is
// isolated, the platform is restored to an older state or unreachable, relays are
// killed and daemons are added.
func TestConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	network := newPartition()
	cluster := startCluster(t, 2, func(c *stager.Config) { c.Network = network.networkOf })
	network.recordAddresses(cluster)
	monitor := &generationMonitor{highest: map[string]uint64{}}
	nodes := cluster.Daemons
	stop := runWorkers(1, func(int, int) {
		monitor.check(t, nodes)
		time.Sleep(2 * time.Millisecond)
	})
	head := publisher.HeadName(declarer.DocumentDeclarations)
	old := cluster.Platform.Object(head)

	for range 3 {
		generation := applyChange(t, cluster)
		eventually(t, "all daemons have the generation", func() bool { return haveGeneration(nodes, generation) })
	}

	// An isolated domain gets the change when it is reconnected.
	network.setIsolated(true, isolatedDomain)
	generation := applyChange(t, cluster)
	eventually(t, "all daemons outside the isolated domain have the generation", func() bool { return haveGeneration(nodes[:4], generation) })
	is.True(!haveGeneration(nodes[4:], generation))
	answer, err := cluster.Client(4).Search(t.Context(), caller.Request{
		Service: "parts-finder", Class: "van", Body: []byte(`{}`), DeadlineMillis: 2000,
	})
	is.NoErr(err) // an isolated domain serves with partial coverage
	is.True(answer.Coverage.Answered > 0)
	network.setIsolated(false, isolatedDomain)
	eventually(t, "all daemons have the generation after reconnection", func() bool { return haveGeneration(nodes, generation) })

	// The platform is restored to an older state: running daemons keep their
	// generation, and a new daemon adopts that of its peers.
	cluster.Platform.Restore(declarer.Object{Name: head, Version: cluster.Platform.Object(head).Version + 1, Value: old.Value})
	// It is alone in its failure domain and isolated, so that it reads the platform
	// itself before it has discovered its peers.
	network.setIsolated(true, joiningDomain)
	added, err := cluster.AddDaemon(emulator.Domain{Name: joiningDomain, Region: "gogledd"}, 20)
	is.NoErr(err)
	network.recordAddresses(cluster)
	eventually(t, "the new daemon has the platform's generation", func() bool { return haveGeneration([]*stager.Node{added}, 1) })
	is.True(!added.Status().Ready)
	network.setIsolated(false, joiningDomain)
	eventually(t, "the new daemon is ready after reconnection", func() bool { return added.Status().Ready })
	is.True(haveGeneration([]*stager.Node{added}, generation))

	// The platform is unreachable: a new daemon gets all documents from its peers.
	cluster.Platform.SetFaults(emulator.PlatformFaults{Outage: true})
	outageNode, err := cluster.AddDaemon(cluster.Site.Domains[1], 21)
	is.NoErr(err)
	network.recordAddresses(cluster)
	eventually(t, "a daemon started during the outage is ready", func() bool { return outageNode.Status().Ready })
	is.True(haveGeneration([]*stager.Node{outageNode}, generation))
	answer, err = caller.New("http://"+outageNode.Settings().CallerAddress, &http.Client{}).Search(t.Context(), searchRequest("parts-finder"))
	is.NoErr(err)
	is.Equal(answer.Coverage.Fraction, 1.0)

	// Every relay is killed: other daemons become relays once the platform is reachable.
	for _, d := range nodes {
		if d.Status().Relay {
			d.Kill()
		}
	}
	cluster.Platform.SetFaults(emulator.PlatformFaults{})
	content, err := cluster.Store().Read(t.Context(), declarer.DocumentDeclarations)
	is.NoErr(err)
	next, err := cluster.Store().Apply(t.Context(), declarer.DocumentDeclarations, content, []byte(mustJSON(cluster.Config.Declarations)), generation)
	is.NoErr(err)
	is.True(next.Generation > generation)
	eventually(t, "the remaining daemons have the generation", func() bool { return haveGeneration([]*stager.Node{added, outageNode}, next.Generation) })
	stop()
}

// TestRacingOperatorsAndLostReplies applies changes of three operators concurrently
// while replies of the platform are lost. Exactly one change may succeed, and each
// operator must get the correct result for its own change.
func TestRacingOperatorsAndLostReplies(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	cluster := startCluster(t, 1, nil)
	for round := range 10 {
		cluster.Platform.SetFaults(emulator.PlatformFaults{LoseReplies: 2 + round%5})
		base, err := cluster.Store().Read(t.Context(), declarer.DocumentDeclarations)
		is.NoErr(err)
		var mu sync.Mutex
		succeeded := 0
		var wait sync.WaitGroup
		for operator := range 3 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				config := cluster.Config.Declarations
				config.VMLabels = map[string]map[string]string{"x": {"by": fmt.Sprint(round, operator)}}
				_, err := cluster.Store().Apply(t.Context(), declarer.DocumentDeclarations, base, []byte(mustJSON(config)), 0)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					succeeded++
				} else if !isConflict(err) {
					t.Error(err)
				}
			}()
		}
		wait.Wait()
		is.Equal(succeeded, 1)
		after, err := cluster.Store().Read(t.Context(), declarer.DocumentDeclarations)
		is.NoErr(err)
		is.Equal(after.Head.Generation, base.Head.Generation+1)
		eventually(t, "all daemons have the successful change", func() bool { return haveGeneration(cluster.Daemons, after.Head.Generation) })
	}
}
