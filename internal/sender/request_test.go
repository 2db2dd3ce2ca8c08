package sender

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
	"github.com/fuchsiastile/fuchsiastile/internal/framer"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
)

// serveScript runs a script for each request that arrives at a new address, which it
// returns, and closes the connection afterwards.
func serveScript(t *testing.T, script func(conn net.Conn, request *http.Request)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					script(conn, request)
				}
			}()
		}
	}()
	return l.Addr().String()
}

func newTestSender() *Sender {
	return New(Config{
		Network:    dialer.System(),
		Budget:     func(string) int { return 1 },
		Draining:   func(string) bool { return false },
		OnDraining: func(string) {},
		QueueLimit: 1,
	})
}

// submitOne submits a shard request and returns the channel of its result.
func submitOne(s *Sender, searcher string, remaining time.Duration) <-chan *messenger.ShardResult {
	results := make(chan *messenger.ShardResult, 1)
	s.Submit(&messenger.QueryBatch{
		RequestId: "q", Snapshot: "s", RemainingMicros: remaining.Microseconds(),
		Calls: []*messenger.ShardCall{{Searcher: searcher, Shard: "a", Attempt: 1}},
	}, func(result *messenger.ShardResult) { results <- result })
	return results
}

// TestMalformedHeadsProveNothing covers replies with an invalid head: they are neither an
// answer nor a proof that the request was not run.
func TestMalformedHeadsProveNothing(t *testing.T) {
	t.Parallel()
	body := []byte("[]")
	for name, c := range map[string]struct {
		status, line string
		want         messenger.Outcome
	}{
		"answer":                   {"200 OK", "X-Filler: 1", messenger.Outcome_ANSWERED},
		"refusal":                  {"503 Busy", "X-Filler: 1", messenger.Outcome_NOT_RUN},
		"answer, blank in a name":  {"200 OK", "X Filler: 1", messenger.Outcome_UNKNOWN},
		"answer, blank after name": {"200 OK", "X-Filler : 1", messenger.Outcome_UNKNOWN},
		"answer, control byte":     {"200 OK", "X\x01Filler: 1", messenger.Outcome_UNKNOWN},
		"answer, status 000":       {"000 OK", "X-Filler: 1", messenger.Outcome_UNKNOWN},
		"refusal, blank in a name": {"503 Busy", "X Filler: 1", messenger.Outcome_UNKNOWN},
		"refusal, unreadable name": {"503 Busy", "X\x7fFiller: 1", messenger.Outcome_UNKNOWN},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			searcher := serveScript(t, func(conn net.Conn, r *http.Request) {
				request, err := framer.ParseRequest(r.Header)
				if err != nil {
					t.Error(err)
					return
				}
				h := http.Header{"Content-Length": {strconv.Itoa(len(body))}, framer.HeaderDigest: {framer.Digest(body)}}
				request.Echo(h)
				if c.status != "200 OK" {
					h.Set(framer.HeaderRefusal, string(framer.RefusedShed))
				}
				var reply bytes.Buffer
				reply.WriteString("HTTP/1.1 " + c.status + "\r\n" + c.line + "\r\n")
				_ = h.Write(&reply)
				_, _ = conn.Write(append(reply.Bytes(), "\r\n"+string(body)...))
			})
			result := <-submitOne(newTestSender(), searcher, 5*time.Second)
			is.Equal(result.GetOutcome(), c.want)
		})
	}
}

// endlessBytes is how much a searcher sends in place of an endless reply, so that a
// sender without bounds fails the test and does not take the machine's memory.
const endlessBytes = 4 << 20

// TestEndlessRepliesOfAllShardsStayWithinMemory covers a query whose searchers all send
// bytes without end at the same time: the heap must stay below the memory of the smallest
// VM of the users' deployments, and each request must end before its deadline.
func TestEndlessRepliesOfAllShardsStayWithinMemory(t *testing.T) {
	const shards, memoryLimit = 190, 136 << 20
	for name, reply := range map[string][2]string{
		"header lines": {"HTTP/1.1 200 OK\r\n", "X-Filler: 0123456789abcdef0123456789abcdef\r\n"},
		"short lines":  {"HTTP/1.1 200 OK\r\n", "X:\r\n"},
		"status line":  {"HTTP/1.1 200 ", "0123456789abcdef"},
		"body":         {"HTTP/1.1 200 OK\r\n%s\r\n", "0123456789abcdef"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			block := []byte(strings.Repeat(reply[1], (16<<10)/len(reply[1])))
			searcher := serveScript(t, func(conn net.Conn, r *http.Request) {
				request, err := framer.ParseRequest(r.Header)
				if err != nil {
					t.Error(err)
					return
				}
				h := http.Header{}
				request.Echo(h)
				var echo strings.Builder
				_ = h.Write(&echo)
				_, err = conn.Write([]byte(strings.Replace(reply[0], "%s", echo.String(), 1)))
				for total := 0; err == nil && total < endlessBytes; total += len(block) {
					_, err = conn.Write(block)
				}
			})
			s := newTestSender()
			s.config.Budget = func(string) int { return shards }
			s.config.QueueLimit = shards
			s.config.Network = patientNetwork()
			batch := &messenger.QueryBatch{RequestId: "q", Snapshot: "s", RemainingMicros: time.Minute.Microseconds()}
			for n := range uint64(shards) {
				batch.Calls = append(batch.Calls, &messenger.ShardCall{Searcher: searcher, Shard: "a", Attempt: n + 1})
			}
			started := time.Now()
			results := make(chan *messenger.ShardResult, shards)
			s.Submit(batch, func(result *messenger.ShardResult) { results <- result })
			peak, outcomes := uint64(0), map[messenger.Outcome]int{}
			for finished := 0; finished < shards; {
				select {
				case result := <-results:
					outcomes[result.GetOutcome()]++
					finished++
				case <-time.After(time.Millisecond):
				}
				var memory runtime.MemStats
				runtime.ReadMemStats(&memory)
				peak = max(peak, memory.HeapInuse)
			}
			t.Logf("at most %d MB of heap in use", peak>>20)
			is.Equal(outcomes, map[messenger.Outcome]int{messenger.Outcome_UNKNOWN: shards})
			is.True(time.Since(started) < time.Minute)
			is.True(peak < memoryLimit)
		})
	}
}

// patientNetwork dials without the sender's time limit, which many connections at once
// exceed on a busy machine.
func patientNetwork() dialer.Network {
	network := dialer.System()
	dial := network.Dial
	network.Dial = func(ctx context.Context, kind, address string) (net.Conn, error) {
		return dial(context.WithoutCancel(ctx), kind, address)
	}
	return network
}
