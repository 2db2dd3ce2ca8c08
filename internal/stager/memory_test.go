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

// BenchmarkMemory reports the heap that one of each kind of state takes:
//
//	go test -run - -bench Memory -benchtime 1x ./internal/stager
func BenchmarkMemory(b *testing.B) {
	for name, c := range map[string]struct {
		n    int
		fill func(n int) any
	}{
		"member":        {520, fillMembers},
		"ticket":        {20_000, fillTickets},
		"queuedRequest": {20_000, fillLane},
		"searcher":      {3400, fillView},
		"connection":    {1000, fillConnections},
	} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				before := heap()
				kept := c.fill(c.n)
				b.ReportMetric((heap()-before)/float64(c.n), "B/each")
				runtime.KeepAlive(kept)
			}
		})
	}
}

func heap() float64 {
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
	m := prober.New(prober.DefaultConfig(all[0], rand.New(rand.NewPCG(1, 1))))
	m.Seed(time.Now(), all)
	return m
}

// fillTickets keeps answered tickets with a result of 1 KiB each.
func fillTickets(n int) any {
	now := time.Now()
	t := ticketer.New(ticketer.Config{Incarnation: "x", Secret: []byte("s"), Started: now, Lifetime: time.Hour, Capacity: n})
	for range n {
		text, _ := t.Issue(now)
		ticket, _ := ticketer.Parse(text)
		entry, _, _ := t.Claim(now, ticket, []byte("x"))
		t.Finish(entry, ticketer.StateAnswered, ticketer.Result{Hits: make([]byte, 1024)})
	}
	return t
}

func fillLane(n int) any {
	l := admitter.New[*messenger.ShardCall](admitter.Config{MaxConcurrency: 1, QueueLimit: n})
	for i := range n {
		l.Offer(time.Now(), admitter.Item[*messenger.ShardCall]{Attempt: uint64(i), Deadline: time.Now().Add(time.Hour), Value: &messenger.ShardCall{Attempt: uint64(i)}})
	}
	return l
}

// fillView compiles a tier of 3,400 searchers in services of 190 shards.
func fillView(n int) any {
	d := declarer.Declarations{}
	x := declarer.Indexes{Services: map[string]declarer.Snapshot{}}
	var vms []declarer.VM
	for s := 0; len(vms) < n; s++ {
		service := fmt.Sprint("service-", s)
		d.Services = append(d.Services, declarer.Service{Name: service, Selector: "app=" + service, ConnectionLimit: 90, Slots: 5})
		snapshot := declarer.Snapshot{Name: "v1"}
		for shard := range 190 {
			name := emulator.ShardName(shard)
			snapshot.Shards = append(snapshot.Shards, declarer.ShardPlacement{Name: name, Selector: "shard=" + name})
			for replica := range 3 {
				vms = append(vms, declarer.VM{Name: fmt.Sprint(service, name, replica), Address: fmt.Sprintf("10.%d.%d.%d:9100", s, shard, replica), FailureDomain: "caerdydd-a", Region: "de-cymru", State: declarer.VMLive, Labels: map[string]string{"app": service, "shard": name}})
			}
		}
		x.Services[service] = snapshot
	}
	return planner.New().WithDeclarations(d).WithIndexes(x).WithVMs(vms[:n])
}

// fillConnections keeps idle HTTP connections, of which both ends are here.
func fillConnections(n int) any {
	hold := make(chan struct{})
	arrived := make(chan struct{}, n)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-hold
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
	close(hold)
	time.Sleep(500 * time.Millisecond)
	return []any{server, transport}
}
