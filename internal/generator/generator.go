// Package generator generates open-loop load with seeded Poisson arrivals. It measures
// latency from the intended send time, so that delays in sending count as latency.
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
	// maxLatencyMicros is the upper limit of the latency histogram; higher latencies are
	// recorded as this value.
	maxLatencyMicros = 120_000_000
	// maxInFlight limits the requests of a stream in flight, so that an overloaded tier does
	// not exhaust the machine's resources; requests beyond it are counted as dropped.
	maxInFlight = 20_000
)

// Stream describes requests of one kind that are sent at a constant mean rate.
type Stream struct {
	Request caller.Request `json:"-"`
	// Rate is the mean number of requests per second.
	Rate float64 `json:"rate"`
	// Once sends non-idempotent requests, each with a new key.
	Once bool `json:"once"`
}

// Report holds the results of a stream.
type Report struct {
	Class   string `json:"class"`
	Service string `json:"service"`
	// Requests is the number of requests generated, dropped ones included.
	Requests int `json:"asked"`
	Answered int `json:"answered"`
	NotRun   int `json:"notRun"`
	Unknown  int `json:"unknown"`
	Dropped  int `json:"dropped"`
	// Full is the number of answers with full coverage.
	Full int     `json:"full"`
	P50  float64 `json:"p50Millis"`
	P99  float64 `json:"p99Millis"`
	P999 float64 `json:"p999Millis"`
	// Coverage is the mean coverage of the answered requests.
	Coverage float64 `json:"coverage"`
	// ExtraLoad is the ratio of hedged and retried shard requests to Needed.
	ExtraLoad float64 `json:"extraLoad"`
	// Goodput is Full per second.
	Goodput float64 `json:"goodput"`
	// Needed is the number of shard requests of the answered requests, without hedges and
	// retries.
	Needed int `json:"needed"`
}

// streamRecorder accumulates the outcomes of a stream.
type streamRecorder struct {
	mu            sync.Mutex
	report        Report
	latency       *hdrhistogram.Histogram
	coverageSum   float64
	shardRequests int
	extraRequests int
	inFlight      chan struct{}
}

// RoundRobin returns a client function for Run that uses the clients in turn.
func RoundRobin(clients []*caller.Client) func(n int) *caller.Client {
	return func(n int) *caller.Client { return clients[n%len(clients)] }
}

// Run generates all streams concurrently for the given duration and returns a report for
// each. clientOf returns the client for the n-th request of a stream. The seed determines
// the arrival times.
func Run(ctx context.Context, clientOf func(n int) *caller.Client, streams []Stream, duration time.Duration, seed uint64) []Report {
	reports := make([]Report, len(streams))
	var wait sync.WaitGroup
	for i, stream := range streams {
		wait.Add(1)
		go func() {
			defer wait.Done()
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			reports[i] = runStream(ctx, clientOf, stream, duration, rng)
		}()
	}
	wait.Wait()
	return reports
}

func runStream(ctx context.Context, clientOf func(n int) *caller.Client, stream Stream, duration time.Duration, rng *rand.Rand) Report {
	recorder := &streamRecorder{
		report:   Report{Class: stream.Request.Class, Service: stream.Request.Service},
		latency:  hdrhistogram.New(1, maxLatencyMicros, 3),
		inFlight: make(chan struct{}, maxInFlight),
	}
	started := time.Now()
	due := started
	var wait sync.WaitGroup
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / stream.Rate * float64(time.Second)))
		if due.Sub(started) > duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(due))
		recorder.report.Requests++
		select {
		case recorder.inFlight <- struct{}{}:
		default:
			recorder.countDropped()
			continue
		}
		wait.Add(1)
		client, request, intended := clientOf(n), requestWithKey(stream, n), due
		go func() {
			defer wait.Done()
			recorder.send(ctx, client, stream.Once, request, intended)
			<-recorder.inFlight
		}()
	}
	wait.Wait()
	return recorder.buildReport(duration)
}

// requestWithKey returns the n-th request of a stream. A non-idempotent request gets a
// unique key.
func requestWithKey(stream Stream, n int) caller.Request {
	request := stream.Request
	if stream.Once {
		request.Key = "order-" + strconv.Itoa(n)
	}
	return request
}

func (recorder *streamRecorder) countDropped() {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.report.Dropped++
}

func (recorder *streamRecorder) send(ctx context.Context, client *caller.Client, once bool, request caller.Request, intended time.Time) {
	send := client.Search
	if once {
		send = client.Submit
	}
	answer, err := send(ctx, request)
	elapsed := time.Since(intended)
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	if err != nil {
		if answer.Outcome == caller.OutcomeNotRun {
			recorder.report.NotRun++
		} else {
			recorder.report.Unknown++
		}
		return
	}
	recorder.report.Answered++
	if answer.Coverage.Answered == answer.Coverage.Shards {
		recorder.report.Full++
	}
	recorder.coverageSum += answer.Coverage.Fraction
	recorder.shardRequests += answer.ShardRequests
	recorder.extraRequests += answer.ExtraRequests
	_ = recorder.latency.RecordValue(min(elapsed.Microseconds(), maxLatencyMicros))
}

func (recorder *streamRecorder) buildReport(duration time.Duration) Report {
	r := recorder.report
	millis := func(quantile float64) float64 { return float64(recorder.latency.ValueAtQuantile(quantile)) / 1000 }
	r.P50, r.P99, r.P999 = millis(50), millis(99), millis(99.9)
	if r.Answered > 0 {
		r.Coverage = recorder.coverageSum / float64(r.Answered)
	}
	r.Needed = recorder.shardRequests - recorder.extraRequests
	if r.Needed > 0 {
		r.ExtraLoad = float64(recorder.extraRequests) / float64(r.Needed)
	}
	r.Goodput = float64(r.Full) / duration.Seconds()
	return r
}
