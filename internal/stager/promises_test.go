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

// settleTimeout bounds waiting for a state that must come, on a busy machine.
const settleTimeout = 60 * time.Second

// eventually waits until a fact holds.
func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(settleTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("never came: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// background runs ask in several goroutines until the returned function is called.
func background(workers int, ask func(worker, n int)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for worker := range workers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := 0; ctx.Err() == nil; n++ {
				ask(worker, n)
			}
		}()
	}
	return func() {
		cancel()
		wait.Wait()
	}
}

// checkAnswer compares what an answer says of itself with the hits in it.
// Stand-ins give three hits a shard, each with its shard and snapshot.
func checkAnswer(t *testing.T, answer caller.Answer, shards map[string]int) {
	t.Helper()
	parts := map[string]int{}
	for _, hit := range answer.Hits {
		if hit.Snapshot != answer.Snapshot {
			t.Errorf("a hit of %s in an answer of %s", hit.Snapshot, answer.Snapshot)
		}
		parts[hit.ID[:strings.LastIndexByte(hit.ID, '-')]]++
	}
	if len(parts) != answer.Coverage.Answered {
		t.Errorf("%d parts, coverage says %d", len(parts), answer.Coverage.Answered)
	}
	if answer.Coverage.Shards != shards[answer.Snapshot] {
		t.Errorf("%d shards stated, %s has %d", answer.Coverage.Shards, answer.Snapshot, shards[answer.Snapshot])
	}
	if answer.Coverage.Answered+len(answer.Coverage.Missing) != answer.Coverage.Shards {
		t.Errorf("answered and missing do not add up: %+v", answer.Coverage)
	}
	for shard, n := range parts {
		if n != 3 {
			t.Errorf("%d hits of shard %s", n, shard)
		}
	}
}

// TestSnapshotHoldsWhileRepartitioned moves the index through partition maps of
// other sizes, one replica after the other, while queries run and one server
// answers from a snapshot that was not asked for.
func TestSnapshotHoldsWhileRepartitioned(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	stage := put(t, 1, nil)
	searchers := stage.SearchersOf("parts-finder")
	searchers[0].SetFaults(emulator.SearcherFaults{WrongSnapshot: true})
	sizes := map[string]int{emulator.InitialSnapshot: 10, "v2": 14, "v3": 7, "v4": 20}
	stop := background(4, func(worker, _ int) {
		answer, err := stage.Client(worker%3).Search(context.Background(), search("parts-finder"))
		if err == nil {
			checkAnswer(t, answer, sizes)
		}
	})
	for _, name := range []string{"v2", "v3", "v4"} {
		is.NoErr(repartition(stage, searchers, name, sizes[name]))
		eventually(t, name+" answers in full", func() bool {
			answer, err := stage.Client(0).Search(t.Context(), search("parts-finder"))
			return err == nil && answer.Snapshot == name && answer.Coverage.Fraction == 1
		})
	}
	stop()
}

// repartition loads a snapshot onto every searcher, publishes it and drops the old one.
func repartition(stage *stager.Cluster, searchers []emulator.RunningSearcher, name string, shards int) error {
	held := func(r emulator.RunningSearcher) []string {
		var out []string
		for n := range shards {
			if emulator.ShardName(n%10) == r.Shard {
				out = append(out, emulator.ShardName(n))
			}
		}
		return out
	}
	for _, r := range searchers {
		r.SetHoldings(merge(r.Holdings(), map[string][]string{name: held(r)}))
	}
	indexes := stage.Indexes()
	snapshot := declarer.Snapshot{Name: name}
	for n := range shards {
		snapshot.Shards = append(snapshot.Shards, declarer.ShardPlacement{
			Name:     emulator.ShardName(n),
			Selector: "shard=" + emulator.ShardName(n%10),
		})
	}
	indexes.Services["parts-finder"] = snapshot
	if err := stage.Apply(context.Background(), declarer.DocumentIndexes, indexes); err != nil {
		return err
	}
	for _, r := range searchers {
		time.Sleep(5 * time.Millisecond)
		r.SetHoldings(map[string][]string{name: held(r)})
	}
	return nil
}

func merge(a, b map[string][]string) map[string][]string {
	out := map[string][]string{}
	for k, v := range a {
		out[k] = v
	}
	for k, v := range b {
		out[k] = v
	}
	return out
}

// TestCoverageIsTrue loses every replica of shards in different ways.
func TestCoverageIsTrue(t *testing.T) {
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
			stage := put(t, 1, nil)
			for _, r := range stage.SearchersOf("parts-finder") {
				switch {
				case r.Shard != emulator.ShardName(3):
				case name == "killed":
					r.Close()
				default:
					r.SetFaults(fault)
				}
			}
			for n := range 20 {
				answer, err := stage.Client(n%3).Search(t.Context(), search("parts-finder"))
				is.NoErr(err)
				checkAnswer(t, answer, map[string]int{emulator.InitialSnapshot: 10})
				is.Equal(answer.Coverage.Answered, 9)
				_, missing := answer.Coverage.Missing[emulator.ShardName(3)]
				is.True(missing)
			}
		})
	}
}

// TestBadReplicaCostsNoCoverage gives one replica of each shard a fault: the
// others answer, and nothing of the faulty one is merged.
func TestBadReplicaCostsNoCoverage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	stage := put(t, 1, nil)
	faults := []emulator.SearcherFaults{{Crossed: true}, {Truncate: true}, {WrongSnapshot: true}, {Rubbish: true}, {LoseReplies: true}}
	for i, r := range stage.SearchersOf("parts-finder") {
		if i%3 == 0 {
			r.SetFaults(faults[i/3%len(faults)])
		}
	}
	full := 0
	for n := range 60 {
		answer, err := stage.Client(n%3).Search(t.Context(), search("parts-finder"))
		is.NoErr(err)
		checkAnswer(t, answer, map[string]int{emulator.InitialSnapshot: 10})
		if answer.Coverage.Fraction == 1 {
			full++
		}
	}
	is.Equal(full, 60)
}

// TestOutcomesAreTrueUnderOverload makes more non-idempotent requests than the
// servers take, while some lose replies: what is said of each is compared with
// what really ran.
func TestOutcomesAreTrueUnderOverload(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	stage := put(t, 1, nil)
	for i, r := range stage.SearchersOf("bookings") {
		r.SetFaults(emulator.SearcherFaults{SlowFactor: 20, LoseReplies: i == 0, ShedAll: i == 1})
	}
	said := &outcomes{by: map[string][]caller.Outcome{}}
	stop := background(120, func(worker, n int) { said.book(t, stage, worker, n) })
	time.Sleep(2 * time.Second)
	stop()
	ran := runs(stage)
	counts := said.check(t, ran)
	is.True(counts[caller.OutcomeAnswered] > 0)
	is.True(counts[caller.OutcomeNotRun] > 0)
	is.True(counts[caller.OutcomeUnknown] > 0)
}

// outcomes collects what callers were told, by ticket.
type outcomes struct {
	mu sync.Mutex
	by map[string][]caller.Outcome
}

func (o *outcomes) add(ticket string, outcome caller.Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.by[ticket] = append(o.by[ticket], outcome)
}

// book makes one booking, with a retry through another daemon. The first try is
// given up after a short while now and then, as callers do.
func (o *outcomes) book(t *testing.T, stage *stager.Cluster, worker, n int) {
	first, second := stage.Client(worker%3), stage.Client((worker+1)%3)
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

// check compares what was said with what ran, and counts what was said.
func (o *outcomes) check(t *testing.T, ran map[string]int) map[caller.Outcome]int {
	t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	counts := map[caller.Outcome]int{}
	for ticket, said := range o.by {
		if ran[ticket] > 1 {
			t.Errorf("%s ran %d times, said %v", ticket, ran[ticket], said)
		}
		for _, outcome := range said {
			counts[outcome]++
			if outcome == caller.OutcomeNotRun && ran[ticket] != 0 {
				t.Errorf("%s ran, said %v", ticket, said)
			}
			if outcome == caller.OutcomeAnswered && ran[ticket] != 1 {
				t.Errorf("%s ran %d times, said %v", ticket, ran[ticket], said)
			}
		}
	}
	return counts
}
