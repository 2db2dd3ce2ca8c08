package stager_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/pkg/caller"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// eventuallyTimeout is how long eventually waits; it leaves room for a busy machine.
const eventuallyTimeout = 60 * time.Second

// eventually waits until a condition holds and fails the test after
// eventuallyTimeout.
func eventually(t testing.TB, condition string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(eventuallyTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for condition: %s", condition)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// runWorkers calls work repeatedly in several goroutines, with the number of the
// goroutine and of the call. The returned function stops them and waits for them.
func runWorkers(workers int, work func(worker, n int)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for worker := range workers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := 0; ctx.Err() == nil; n++ {
				work(worker, n)
			}
		}()
	}
	return func() {
		cancel()
		wait.Wait()
	}
}

// checkAnswer compares the coverage and the snapshot that an answer states with its
// hits. Emulated searchers return three hits for each shard, with the names of the
// shard and the snapshot. shards holds the number of shards of each snapshot.
func checkAnswer(t *testing.T, answer caller.Answer, shards map[string]int) {
	t.Helper()
	hitsByShard := map[string]int{}
	for _, hit := range answer.Hits {
		if hit.Snapshot != answer.Snapshot {
			t.Errorf("hit of snapshot %s in an answer of snapshot %s", hit.Snapshot, answer.Snapshot)
		}
		hitsByShard[hit.ID[:strings.LastIndexByte(hit.ID, '-')]]++
	}
	if len(hitsByShard) != answer.Coverage.Answered {
		t.Errorf("hits of %d shards, but coverage states %d answered shards", len(hitsByShard), answer.Coverage.Answered)
	}
	if answer.Coverage.Shards != shards[answer.Snapshot] {
		t.Errorf("coverage states %d shards, but snapshot %s has %d", answer.Coverage.Shards, answer.Snapshot, shards[answer.Snapshot])
	}
	if answer.Coverage.Answered+len(answer.Coverage.Missing) != answer.Coverage.Shards {
		t.Errorf("answered and missing shards do not add up to all shards: %+v", answer.Coverage)
	}
	for shard, n := range hitsByShard {
		if n != 3 {
			t.Errorf("got %d hits of shard %s, want 3", n, shard)
		}
	}
}

// TestAnswersKeepOneSnapshotDuringRepartition guards against answers that mix hits of
// several snapshots. While queries run, it publishes snapshots with other numbers of
// shards, whose searchers drop the old snapshot one after the other, and one searcher
// answers from a snapshot that was not requested.
func TestAnswersKeepOneSnapshotDuringRepartition(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	cluster := startCluster(t, 1, nil)
	searchers := cluster.SearchersOf("parts-finder")
	searchers[0].SetFaults(emulator.SearcherFaults{WrongSnapshot: true})
	sizes := map[string]int{emulator.InitialSnapshot: 10, "v2": 14, "v3": 7, "v4": 20}
	stop := runWorkers(4, func(worker, _ int) {
		answer, err := cluster.Client(worker%3).Search(context.Background(), searchRequest("parts-finder"))
		if err == nil {
			checkAnswer(t, answer, sizes)
		}
	})
	for _, name := range []string{"v2", "v3", "v4"} {
		is.NoErr(publishSnapshot(cluster, searchers, name, sizes[name]))
		eventually(t, name+" is the snapshot of answers with full coverage", func() bool {
			answer, err := cluster.Client(0).Search(t.Context(), searchRequest("parts-finder"))
			return err == nil && answer.Snapshot == name && answer.Coverage.Fraction == 1
		})
	}
	stop()
}

// publishSnapshot loads a snapshot onto every searcher, publishes it and then drops
// the old one from one searcher after the other.
func publishSnapshot(cluster *stager.Cluster, searchers []emulator.RunningSearcher, name string, shards int) error {
	holdings := func(searcher emulator.RunningSearcher) []string {
		var out []string
		for n := range shards {
			if emulator.ShardName(n%10) == searcher.Shard {
				out = append(out, emulator.ShardName(n))
			}
		}
		return out
	}
	for _, searcher := range searchers {
		searcher.SetHoldings(mergeHoldings(searcher.Holdings(), map[string][]string{name: holdings(searcher)}))
	}
	indexes := cluster.Indexes()
	snapshot := declarer.Snapshot{Name: name}
	for n := range shards {
		snapshot.Shards = append(snapshot.Shards, declarer.ShardPlacement{
			Name:     emulator.ShardName(n),
			Selector: "shard=" + emulator.ShardName(n%10),
		})
	}
	indexes.Services["parts-finder"] = snapshot
	if err := cluster.Apply(context.Background(), declarer.DocumentIndexes, indexes); err != nil {
		return err
	}
	for _, searcher := range searchers {
		time.Sleep(5 * time.Millisecond)
		searcher.SetHoldings(map[string][]string{name: holdings(searcher)})
	}
	return nil
}

func mergeHoldings(a, b map[string][]string) map[string][]string {
	out := map[string][]string{}
	for k, v := range a {
		out[k] = v
	}
	for k, v := range b {
		out[k] = v
	}
	return out
}

// TestCoverageIsAccurate guards against answers whose coverage counts a shard that did
// not answer correctly. It gives all replicas of one shard the same fault.
func TestCoverageIsAccurate(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]emulator.SearcherFaults{
		"truncated":      {Truncate: true},
		"crossed":        {Crossed: true},
		"rubbish":        {Rubbish: true},
		"wrong snapshot": {WrongSnapshot: true},
		"shed":           {ShedAll: true},
		"lost replies":   {LoseReplies: true},
		"killed":         {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			cluster := startCluster(t, 1, nil)
			for _, searcher := range cluster.SearchersOf("parts-finder") {
				switch {
				case searcher.Shard != emulator.ShardName(3):
				case name == "killed":
					searcher.Close()
					holdPort(t, searcher.VM.Address)
				default:
					searcher.SetFaults(fault)
				}
			}
			for n := range 20 {
				answer, err := cluster.Client(n%3).Search(t.Context(), searchRequest("parts-finder"))
				is.NoErr(err)
				checkAnswer(t, answer, map[string]int{emulator.InitialSnapshot: 10})
				is.Equal(answer.Coverage.Answered, 9)
				_, missing := answer.Coverage.Missing[emulator.ShardName(3)]
				is.True(missing)
			}
		})
	}
}

// TestFaultyReplicaDoesNotReduceCoverage gives one replica of each shard a fault. The
// other replicas must answer for it, and no hits of the faulty one may be merged.
func TestFaultyReplicaDoesNotReduceCoverage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	cluster := startCluster(t, 1, nil)
	faults := []emulator.SearcherFaults{{Crossed: true}, {Truncate: true}, {WrongSnapshot: true}, {Rubbish: true}, {LoseReplies: true}}
	for i, searcher := range cluster.SearchersOf("parts-finder") {
		if i%3 == 0 {
			searcher.SetFaults(faults[i/3%len(faults)])
		}
	}
	full := 0
	for n := range 60 {
		answer, err := cluster.Client(n%3).Search(t.Context(), searchRequest("parts-finder"))
		is.NoErr(err)
		checkAnswer(t, answer, map[string]int{emulator.InitialSnapshot: 10})
		if answer.Coverage.Fraction == 1 {
			full++
		}
	}
	is.Equal(full, 60)
}

// TestOutcomesAreAccurateUnderOverload guards against outcomes that do not match what
// the searchers ran. It sends more non-idempotent requests than the searchers accept,
// while one of them loses replies and another sheds all requests.
func TestOutcomesAreAccurateUnderOverload(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	cluster := startCluster(t, 1, nil)
	for i, searcher := range cluster.SearchersOf("bookings") {
		searcher.SetFaults(emulator.SearcherFaults{SlowFactor: 20, LoseReplies: i == 0, ShedAll: i == 1})
	}
	reported := &reportedOutcomes{byTicket: map[string][]caller.Outcome{}}
	stop := runWorkers(120, func(worker, n int) { reported.book(t, cluster, worker, n) })
	time.Sleep(2 * time.Second)
	stop()
	ran := bookingRuns(cluster)
	counts := reported.check(t, ran)
	is.True(counts[caller.OutcomeAnswered] > 0)
	is.True(counts[caller.OutcomeNotRun] > 0)
	is.True(counts[caller.OutcomeUnknown] > 0)
}

// reportedOutcomes collects the outcomes that callers received, by ticket.
type reportedOutcomes struct {
	mu       sync.Mutex
	byTicket map[string][]caller.Outcome
}

func (o *reportedOutcomes) add(ticket string, outcome caller.Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byTicket[ticket] = append(o.byTicket[ticket], outcome)
}

// book makes a booking; every second one is retried through another daemon. The caller
// cancels the first attempt of every fourth booking after 5 ms.
func (o *reportedOutcomes) book(t *testing.T, cluster *stager.Cluster, worker, n int) {
	first, second := cluster.Client(worker%3), cluster.Client((worker+1)%3)
	ticket, err := first.Ticket(t.Context())
	if err != nil {
		return
	}
	request := caller.Request{
		Service: "bookings", Class: "booking", Key: fmt.Sprint(worker, n),
		Ticket: ticket, Body: []byte(`{}`), DeadlineMillis: 200,
	}
	ctx, cancel := context.WithCancel(t.Context())
	if n%4 == 0 {
		ctx, cancel = context.WithTimeout(ctx, 5*time.Millisecond)
	}
	answer, _ := first.Submit(ctx, request)
	cancel()
	o.add(ticket, answer.Outcome)
	if n%2 == 0 {
		answer, _ = second.Submit(t.Context(), request)
		o.add(ticket, answer.Outcome)
	}
}

// check compares the reported outcomes with how often each ticket ran and returns the
// number of reports of each outcome.
func (o *reportedOutcomes) check(t *testing.T, ran map[string]int) map[caller.Outcome]int {
	t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	counts := map[caller.Outcome]int{}
	for ticket, reported := range o.byTicket {
		if ran[ticket] > 1 {
			t.Errorf("ticket %s ran %d times, want at most 1; reported outcomes %v", ticket, ran[ticket], reported)
		}
		for _, outcome := range reported {
			counts[outcome]++
			if outcome == caller.OutcomeNotRun && ran[ticket] != 0 {
				t.Errorf("ticket %s ran, but was reported as not run; reported outcomes %v", ticket, reported)
			}
			if outcome == caller.OutcomeAnswered && ran[ticket] != 1 {
				t.Errorf("ticket %s ran %d times, but was reported as answered; reported outcomes %v", ticket, ran[ticket], reported)
			}
		}
	}
	return counts
}
