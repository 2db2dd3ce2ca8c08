package caller_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/pkg/caller"
)

// serveReply starts a server that sends the same bytes as the reply to each request and
// returns its base URL.
func serveReply(t *testing.T, reply string) string {
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
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = conn.Write([]byte(reply))
			}
			_ = conn.Close()
		}
	}()
	return "http://" + l.Addr().String()
}

// TestMalformedReplyIsNoAnswer checks that the content of a reply with an invalid head is
// not returned as an answer.
func TestMalformedReplyIsNoAnswer(t *testing.T) {
	t.Parallel()
	const answered = "\r\n{\"outcome\":\"answered\"}"
	for name, c := range map[string]struct {
		head   string
		answer bool
	}{
		"valid":      {"HTTP/1.1 200 OK\r\n", true},
		"status 000": {"HTTP/1.1 000 OK\r\n", false},
		"blank name": {"HTTP/1.1 200 OK\r\nX Filler: 1\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			client := caller.New(serveReply(t, c.head+answered), &http.Client{})
			answer, err := client.Search(t.Context(), caller.Request{Service: "s"})
			is.Equal(answer.Outcome == caller.OutcomeAnswered, c.answer)
			is.Equal(failer.Is(err, caller.KindUnknown), !c.answer)
		})
	}
}

// TestCutReplyIsNoAnswer guards against a reply that ends at any byte and is returned as an
// answer.
func TestCutReplyIsNoAnswer(t *testing.T) {
	t.Parallel()
	const body = `{"outcome":"answered","coverage":{"known":true,"shards":1,"answered":1,"fraction":1}}`
	for name, head := range map[string]string{
		"with a length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body)),
		"until the end": "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			for cut := range len(head) + len(body) {
				client := caller.New(serveReply(t, (head + body)[:cut]), &http.Client{})
				answer, err := client.Search(t.Context(), caller.Request{Service: "s"})
				is.Equal(answer.Outcome, caller.OutcomeUnknown)
				is.True(failer.Is(err, caller.KindUnknown))
				_, err = client.Ticket(t.Context())
				is.True(failer.Is(err, caller.KindNotRun))
			}
		})
	}
}
