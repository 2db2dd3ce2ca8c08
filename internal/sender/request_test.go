package sender

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"strconv"
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
