package stager_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/admitter"
	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/internal/prober"
	"github.com/fuchsiastile/fuchsiastile/internal/ticketer"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// BenchmarkMemory reports the memory per element of each kind of state:
//
//	go test -run - -bench Memory -benchtime 1x ./internal/stager
func BenchmarkMemory(b *testing.B) {
	for name, c := range map[string]struct {
		n    int
		fill func(n int) any
	}{
		"member":        {520, fillMembers},
		"ticket":        {20_000, fillTickets},
		"queuedRequest": {20_000, fillAdmissionQueue},
		"searcher":      {3400, fillPlannerView},
		"connection":    {1000, fillConnections},
	} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				before := heapInUse()
				state := c.fill(c.n)
				b.ReportMetric((heapInUse()-before)/float64(c.n), "B/each")
				runtime.KeepAlive(state)
			}
		})
	}
}

// heapInUse returns the bytes of live heap objects and of stacks after collection.
func heapInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

func fillMembers(n int) any {
	var all []*messenger.Member
	for i := range n {
		address := fmt.Sprintf("10.0.%d.%d:7001", i/256, i%256)
		all = append(all, &messenger.Member{Address: address, Incarnation: address + "/0123456789abcdef", FailureDomain: "caerdydd-a", Region: "de-cymru"})
	}
	members := prober.New(prober.DefaultConfig(all[0], rand.New(rand.NewPCG(1, 1))))
	members.Seed(time.Now(), all)
	return members
}

// fillTickets returns a ticket table with n answered tickets whose results have
// 1 KiB each.
func fillTickets(n int) any {
	now := time.Now()
	table := ticketer.New(ticketer.Config{Incarnation: "x", Secret: []byte("s"), Started: now, Lifetime: time.Hour, Capacity: n})
	for range n {
		text, _ := table.Issue(now)
		ticket, _ := ticketer.Parse(text)
		entry, _, _ := table.Claim(now, ticket, []byte("x"))
		table.Finish(entry, ticketer.StateAnswered, ticketer.Result{Hits: make([]byte, 1024)})
	}
	return table
}

func fillAdmissionQueue(n int) any {
	queue := admitter.New[*messenger.ShardCall](admitter.Config{MaxConcurrency: 1, QueueLimit: n})
	for i := range n {
		queue.Offer(time.Now(), admitter.Item[*messenger.ShardCall]{Attempt: uint64(i), Deadline: time.Now().Add(time.Hour), Value: &messenger.ShardCall{Attempt: uint64(i)}})
	}
	return queue
}

// fillPlannerView compiles a planner view of n searchers in services of 190 shards
// with three replicas.
func fillPlannerView(n int) any {
	declarations := declarer.Declarations{}
	indexes := declarer.Indexes{Services: map[string]declarer.Snapshot{}}
	var vms []declarer.VM
	for s := 0; len(vms) < n; s++ {
		service := fmt.Sprint("service-", s)
		declarations.Services = append(declarations.Services, declarer.Service{Name: service, Selector: "app=" + service, ConnectionLimit: 90, Slots: 5})
		snapshot := declarer.Snapshot{Name: "v1"}
		for shard := range 190 {
			name := emulator.ShardName(shard)
			snapshot.Shards = append(snapshot.Shards, declarer.ShardPlacement{Name: name, Selector: "shard=" + name})
			for replica := range 3 {
				vms = append(vms, declarer.VM{Name: fmt.Sprint(service, name, replica), Address: fmt.Sprintf("10.%d.%d.%d:9100", s, shard, replica), FailureDomain: "caerdydd-a", Region: "de-cymru", State: declarer.VMLive, Labels: map[string]string{"app": service, "shard": name}})
			}
		}
		indexes.Services[service] = snapshot
	}
	return planner.New().WithDeclarations(declarations).WithIndexes(indexes).WithVMs(vms[:n])
}

// fillConnections opens n idle HTTP connections. The memory of both ends is counted.
func fillConnections(n int) any {
	release := make(chan struct{})
	arrived := make(chan struct{}, n)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	}))
	transport := &http.Transport{MaxIdleConnsPerHost: n}
	for range n {
		go func() {
			request, _ := http.NewRequest(http.MethodPost, server.URL, nil)
			if response, err := transport.RoundTrip(request); err == nil {
				_ = response.Body.Close()
			}
		}()
	}
	for range n {
		<-arrived
	}
	close(release)
	time.Sleep(500 * time.Millisecond)
	return []any{server, transport}
}
