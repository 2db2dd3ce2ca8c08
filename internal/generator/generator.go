// Package generator makes open-loop load with a fixed seed and measures
// latency from the intended send time.
package generator

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fuchsiastile/fuchsiastile/pkg/caller"
)

const (
	// maxLatencyMicros is the largest latency that is told apart.
	maxLatencyMicros = 120_000_000
	// maxOutstanding bounds the requests under way, so that an overloaded tier
	// does not exhaust the machine; more are counted as dropped.
	maxOutstanding = 20_000
)

// Stream is one kind of request at a steady rate.
type Stream struct {
	Request caller.Request `json:"-"`
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	// Once makes non-idempotent requests with a new key each.
	Once bool `json:"once"`
}

// Report is what became of one stream.
type Report struct {
	Class    string  `json:"class"`
	Service  string  `json:"service"`
	Asked    int     `json:"asked"`
	Answered int     `json:"answered"`
	NotRun   int     `json:"notRun"`
	Unknown  int     `json:"unknown"`
	Dropped  int     `json:"dropped"`
	Full     int     `json:"full"`
	P50      float64 `json:"p50Millis"`
	P99      float64 `json:"p99Millis"`
	P999     float64 `json:"p999Millis"`
	// Coverage is the mean over answered requests.
	Coverage float64 `json:"coverage"`
	// ExtraLoad is the share of hedges and retries in shard requests needed.
	ExtraLoad float64 `json:"extraLoad"`
	// Goodput is answers with full coverage per second.
	Goodput float64 `json:"goodput"`
	// Needed is how many shard requests the answered requests needed.
	Needed int `json:"needed"`
}

// tally collects the answers of one stream.
type tally struct {
	mu        sync.Mutex
	report    Report
	latency   *hdrhistogram.Histogram
	coverage  float64
	sent      int
	extra     int
	available chan struct{}
}

// RoundRobin spreads requests evenly over clients.
func RoundRobin(clients []*caller.Client) func(n int) *caller.Client {
	return func(n int) *caller.Client { return clients[n%len(clients)] }
}

// Run makes every stream for the given time and returns a report for each;
// client returns the client of the n-th request. The seed decides the arrival times.
func Run(ctx context.Context, client func(n int) *caller.Client, streams []Stream, span time.Duration, seed uint64) []Report {
	reports := make([]Report, len(streams))
	var wait sync.WaitGroup
	for i, stream := range streams {
		wait.Add(1)
		go func() {
			defer wait.Done()
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			reports[i] = runStream(ctx, client, stream, span, rng)
		}()
	}
	wait.Wait()
	return reports
}

func runStream(ctx context.Context, clientOf func(n int) *caller.Client, stream Stream, span time.Duration, rng *rand.Rand) Report {
	t := &tally{
		report:    Report{Class: stream.Request.Class, Service: stream.Request.Service},
		latency:   hdrhistogram.New(1, maxLatencyMicros, 3),
		available: make(chan struct{}, maxOutstanding),
	}
	started := time.Now()
	due := started
	var wait sync.WaitGroup
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / stream.Rate * float64(time.Second)))
		if due.Sub(started) > span || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(due))
		t.report.Asked++
		select {
		case t.available <- struct{}{}:
		default:
			t.drop()
			continue
		}
		wait.Add(1)
		client, request, intended := clientOf(n), keyed(stream, n), due
		go func() {
			defer wait.Done()
			t.ask(ctx, client, stream.Once, request, intended)
			<-t.available
		}()
	}
	wait.Wait()
	return t.finish(span)
}

// keyed gives a non-idempotent request a key of its own.
func keyed(stream Stream, n int) caller.Request {
	request := stream.Request
	if stream.Once {
		request.Key = "order-" + strconv.Itoa(n)
	}
	return request
}

func (t *tally) drop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Dropped++
}

func (t *tally) ask(ctx context.Context, client *caller.Client, once bool, request caller.Request, intended time.Time) {
	ask := client.Search
	if once {
		ask = client.Submit
	}
	answer, err := ask(ctx, request)
	took := time.Since(intended)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		if answer.Outcome == caller.OutcomeNotRun {
			t.report.NotRun++
		} else {
			t.report.Unknown++
		}
		return
	}
	t.report.Answered++
	if answer.Coverage.Answered == answer.Coverage.Shards {
		t.report.Full++
	}
	t.coverage += answer.Coverage.Fraction
	t.sent += answer.ShardRequests
	t.extra += answer.ExtraRequests
	_ = t.latency.RecordValue(min(took.Microseconds(), maxLatencyMicros))
}

func (t *tally) finish(span time.Duration) Report {
	r := t.report
	millis := func(quantile float64) float64 { return float64(t.latency.ValueAtQuantile(quantile)) / 1000 }
	r.P50, r.P99, r.P999 = millis(50), millis(99), millis(99.9)
	if r.Answered > 0 {
		r.Coverage = t.coverage / float64(r.Answered)
	}
	r.Needed = t.sent - t.extra
	if r.Needed > 0 {
		r.ExtraLoad = float64(t.extra) / float64(r.Needed)
	}
	r.Goodput = float64(r.Full) / span.Seconds()
	return r
}
