package stager_test

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/fuchsiastile/fuchsiastile/examples"
	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/generator"
	"github.com/fuchsiastile/fuchsiastile/internal/loader"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/operator"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/pkg/caller"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// BenchmarkControl runs the given number of daemons in one process without load. It
// reports the control-plane cost of each daemon and the time until a change has
// reached all of them:
//
//	go test -run - -bench Control -benchtime 1x ./internal/stager
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{16, 74, 200, 520} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			for range b.N {
				measureControlCost(b, n)
			}
		})
	}
}

func measureControlCost(b *testing.B, n int) {
	is := is.New(b)
	declarations, err := declarer.ParseDeclarations("olwyn", examples.Olwyn)
	is.NoErr(err)
	var before, loaded runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	site := emulator.Site{Domains: []emulator.Domain{{Name: "a", Region: "r", Daemons: n}}}
	site.Workloads = emulator.OlwynSite(0).Workloads[:1]
	ctx, cancel := context.WithTimeout(b.Context(), 3*time.Minute)
	defer cancel()
	cluster, err := stager.New(ctx, stager.Config{Site: site, Declarations: declarations, Policy: loader.Default().Policy})
	is.NoErr(err)
	defer cluster.Close()
	time.Sleep(5 * time.Second)
	runtime.GC()
	runtime.ReadMemStats(&loaded)
	b.ReportMetric(float64(loaded.HeapAlloc-before.HeapAlloc)/float64(n)/1024, "KiB-heap")
	reportControlCost(b, cluster, "start") // the daemons have just discovered each other
	time.Sleep(45 * time.Second)
	reportControlCost(b, cluster, "calm")
	worst := time.Duration(0)
	for range 5 {
		worst = max(worst, measurePropagation(b, cluster))
	}
	b.ReportMetric(worst.Seconds(), "spread-s")
}

// reportControlCost measures the control-plane cost per daemon over 10 s and reports
// it in metrics that begin with name.
func reportControlCost(b *testing.B, cluster *stager.Cluster, name string) {
	const duration = 10 * time.Second
	n := len(cluster.Daemons)
	first, cpu, started := controlTotals(cluster), processCPUTime(), time.Now()
	time.Sleep(duration)
	last := controlTotals(cluster)
	cpuUsed := processCPUTime() - cpu
	elapsed := time.Since(started).Seconds()
	per := func(v float64) float64 { return v / elapsed / float64(n) }
	b.ReportMetric(per(float64(last.ControlBytes-first.ControlBytes)+datagramHeaderBytes*float64(last.ControlPackets-first.ControlPackets)), name+"-B/s")
	b.ReportMetric(100*per(cpuUsed.Seconds()), name+"-%core")
}

// datagramHeaderBytes is the size of the UDP and IPv4 headers of a datagram.
const datagramHeaderBytes = 28

// controlTotals returns the sums of the daemons' control-plane counters.
func controlTotals(cluster *stager.Cluster) (sum struct{ ControlBytes, ControlPackets, PlatformCalls uint64 }) {
	for _, d := range cluster.Daemons {
		s := d.Status()
		sum.ControlBytes += s.ControlBytes
		sum.ControlPackets += s.ControlPackets
		sum.PlatformCalls += s.PlatformCalls
	}
	return sum
}

// processCPUTime returns the user and system CPU time of this process.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measurePropagation applies a change and returns the time until every daemon has it.
func measurePropagation(b *testing.B, cluster *stager.Cluster) time.Duration {
	is := is.New(b)
	config := cluster.Config.Declarations
	config.VMLabels = map[string]map[string]string{"x": {"n": fmt.Sprint(time.Now().UnixNano())}}
	started := time.Now()
	is.NoErr(cluster.Apply(b.Context(), declarer.DocumentDeclarations, config))
	current, err := cluster.Store().Read(b.Context(), declarer.DocumentDeclarations)
	is.NoErr(err)
	latest := started
	for _, d := range cluster.Daemons {
		for {
			document := d.Status().Documents[declarer.DocumentDeclarations]
			if document.Generation >= current.Head.Generation {
				if document.Since.After(latest) {
					latest = document.Since
				}
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return latest.Sub(started)
}

// BenchmarkRoles runs one entry daemon, one gateway daemon and the gateway's searchers
// as processes. It sends queries of 190 shards and reports the CPU time of each role
// per shard request:
//
//	go test -run - -bench Roles -benchtime 1x ./internal/stager
func BenchmarkRoles(b *testing.B) {
	for range b.N {
		measureRoleCost(b)
	}
}

const (
	rolesShards    = 190
	rolesSearchers = 10
	rolesRate      = 50
	rolesDuration  = 10 * time.Second
)

func measureRoleCost(b *testing.B) {
	is := is.New(b)
	p := startPlatformProcess(b)
	snapshot := declarer.Snapshot{Name: emulator.InitialSnapshot}
	shardsOf := make([][]string, rolesSearchers)
	for n := range rolesShards {
		searcher := n % rolesSearchers
		shardsOf[searcher] = append(shardsOf[searcher], emulator.ShardName(n))
		snapshot.Shards = append(snapshot.Shards, declarer.ShardPlacement{Name: emulator.ShardName(n), Selector: fmt.Sprint("part=", searcher)})
	}
	for searcher, shards := range shardsOf {
		address := fmt.Sprint(p.subnet, 10+searcher, ":9100")
		p.startProcess(fmt.Sprint("searcher-", searcher), "standin", "searcher", "-listen", address, "-shards", strings.Join(shards, ","), "-slots", "64", "-queue", "10000", "-connections", "1000", "-service", "2")
		p.listVM(declarer.VM{Name: fmt.Sprint("s", searcher), Address: address, FailureDomain: processDomains[1][0], Region: processDomains[1][1], State: declarer.VMLive, Labels: map[string]string{"app": "parts-finder", "part": fmt.Sprint(searcher)}})
	}
	p.addDaemon(0)
	p.addDaemon(1)
	indexes := declarer.Indexes{Services: map[string]declarer.Snapshot{"parts-finder": snapshot}}
	declarations := strings.Replace(string(examples.Olwyn), `"connectionLimit": 55`, `"connectionLimit": 400`, 1)
	for document, content := range map[string]string{declarer.DocumentDeclarations: declarations, declarer.DocumentIndexes: mustJSON(indexes)} {
		is.NoErr(p.applyDocument(document, []byte(content)))
	}
	for _, address := range p.operatorAddresses {
		for {
			statuses, err := operator.Status(b.Context(), []string{address})
			if err == nil && statuses[0].Ready && len(statuses[0].Members) >= 2 {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	request := caller.Request{Service: "parts-finder", Class: "counter", Body: json.RawMessage(`{"q":"wheel"}`)}
	client := generator.RoundRobin([]*caller.Client{caller.New("http://"+p.callerAddresses[0], httpClient())})
	stream := []generator.Stream{{Request: request, Rate: rolesRate}}
	generator.Run(b.Context(), client, stream, 3*time.Second, 1)
	before, err := operator.Status(b.Context(), p.operatorAddresses)
	is.NoErr(err)
	report := generator.Run(b.Context(), client, stream, rolesDuration, 2)[0]
	after, err := operator.Status(b.Context(), p.operatorAddresses)
	is.NoErr(err)
	requests := float64(report.Requests * rolesShards)
	for i, role := range []string{"entry", "gateway"} {
		b.ReportMetric(1e6*(after[i].CPUSeconds-before[i].CPUSeconds)/requests, role+"-us/shard")
		b.ReportMetric(float64(after[i].HeapBytes)/(1<<20), role+"-MiB")
	}
	b.ReportMetric(report.P99, "p99-ms")
	b.ReportMetric(report.Coverage, "coverage")
}

// BenchmarkWire reports the bytes that an entry and a gateway exchange for each shard
// of a query of 38 shards (190 shards over five gateway sets).
func BenchmarkWire(b *testing.B) {
	batch := &messenger.QueryBatch{RequestId: "0123456789abcdef-3w5e11264sgsf", Service: "parts-finder", Snapshot: "v1", Class: "counter", Priority: 10, RemainingMicros: 80_000, Body: []byte(`{"q":"wheel"}`)}
	frame := &messenger.GatewayFrame{}
	for n := range 38 {
		attempt := uint64(1)<<63 + uint64(n)
		batch.Calls = append(batch.Calls, &messenger.ShardCall{Attempt: attempt, Searcher: "10.10.10.10:9100", Shard: emulator.ShardName(n)})
		frame.Results = append(frame.Results, &messenger.ShardResult{
			Attempt: attempt, Outcome: messenger.Outcome_ANSWERED, RequestId: batch.GetRequestId(), Snapshot: "v1", Shard: emulator.ShardName(n),
			Load: &messenger.Load{Slots: 5, InFlight: 3}, ServiceMicros: 5000, Hits: []byte(strings.Repeat("x", 160)),
		})
	}
	for range b.N {
		_, _ = proto.Marshal(batch)
		_, _ = proto.Marshal(frame)
	}
	b.ReportMetric(float64(proto.Size(batch))/38, "B-out/shard")
	b.ReportMetric(float64(proto.Size(frame))/38, "B-back/shard")
}
