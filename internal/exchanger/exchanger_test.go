package exchanger_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
	"github.com/fuchsiastile/fuchsiastile/internal/exchanger"
	"github.com/fuchsiastile/fuchsiastile/internal/failer"
)

// scriptedServer runs a script for each request, which writes raw bytes as the
// reply.
type scriptedServer struct {
	address string
	// requests is the number of requests received.
	requests atomic.Int64
}

func newScriptedServer(t *testing.T, script func(conn net.Conn, number int64)) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &scriptedServer{address: l.Addr().String()}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_ = r.Body.Close()
					script(conn, s.requests.Add(1))
				}
			}()
		}
	}()
	return s
}

func newRequest() exchanger.Request {
	return exchanger.Request{
		Method: http.MethodGet, Target: "/x?y", Host: "h", Header: http.Header{},
		Matches: func(h http.Header) bool { return h.Get("Id") == "mine" },
	}
}

func formatReply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func writeString(conn net.Conn, text string) { _, _ = conn.Write([]byte(text)) }

type fixture struct {
	*exchanger.Exchanger
	dials  atomic.Int64
	target exchanger.Target
}

func newFixture(address string, limit int) *fixture {
	f := &fixture{target: exchanger.Target{Key: "k", Address: address, Limit: limit}}
	f.Exchanger = exchanger.New(dialer.System(), func() { f.dials.Add(1) })
	return f
}

func (f *fixture) doRequest(t *testing.T) (exchanger.Reply, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	return f.Do(ctx, f.target, newRequest())
}

// doConnected repeats an exchange until it has a connection: on a busy machine many
// connections at once exceed the dial timeout.
func (f *fixture) doConnected(ctx context.Context, target exchanger.Target) (exchanger.Reply, error) {
	for {
		reply, err := f.Do(ctx, target, newRequest())
		if !failer.Is(err, exchanger.KindDial) || ctx.Err() != nil {
			return reply, err
		}
	}
}

func TestConnectionReuse(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t, func(c net.Conn, _ int64) { writeString(c, formatReply("mine", "hello")) })
	f := newFixture(s.address, 2)
	for range 5 {
		got, err := f.doRequest(t)
		is.NoErr(err)
		is.Equal(string(got.Body), "hello")
	}
	is.Equal(f.dials.Load(), int64(1))
	is.Equal(f.ConnectionCount(), 1)
	f.Sweep(time.Now().Add(time.Minute), map[string]bool{"k": true})
	is.Equal(f.ConnectionCount(), 0)
}

// TestNoAutomaticRetry checks that a request is not retried when a persistent
// connection fails as the request is sent. net/http's Transport would retry it.
func TestNoAutomaticRetry(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t, func(c net.Conn, n int64) {
		if n%2 == 0 {
			_ = c.Close()
			return
		}
		writeString(c, formatReply("mine", "hello"))
	})
	f := newFixture(s.address, 2)
	for n := range int64(6) {
		_, err := f.doRequest(t)
		is.Equal(err != nil, n%2 == 1)
		is.True(err == nil || failer.Is(err, exchanger.KindReplyLost))
		is.Equal(s.requests.Load(), n+1)
	}
}

// TestStrayRepliesAreSkipped checks that a reply to another request, which arrives
// before, between or after the expected replies, is not returned for a request.
func TestStrayRepliesAreSkipped(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t, func(c net.Conn, n int64) {
		switch n {
		case 1: // immediately after the reply
			writeString(c, formatReply("mine", "one")+formatReply("stray", "wrong"))
		case 2: // later, while the connection is idle
			writeString(c, formatReply("mine", "two"))
			time.AfterFunc(30*time.Millisecond, func() { writeString(c, formatReply("stray", "wrong")) })
		case 3: // before the expected reply
			writeString(c, formatReply("stray", "wrong")+formatReply("mine", "three"))
		default:
			writeString(c, formatReply("mine", fmt.Sprint(n)))
		}
	})
	f := newFixture(s.address, 2)
	for _, want := range []string{"one", "two", "three", "4"} {
		got, err := f.doRequest(t)
		is.NoErr(err)
		is.Equal(string(got.Body), want)
		time.Sleep(60 * time.Millisecond)
	}
	is.Equal(f.dials.Load(), int64(3)) // neither of the first two connections was reused
}

// TestMalformedReplies checks that an incomplete or malformed reply is reported as
// KindReplyLost and its connection closed.
func TestMalformedReplies(t *testing.T) {
	for name, text := range map[string]string{
		"truncated body":     "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 50\r\n\r\nshort",
		"not HTTP":           "no protocol at all\r\n\r\n",
		"truncated chunk":    "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
		"only stray replies": formatReply("a", "x") + formatReply("b", "x") + formatReply("c", "x"),
		"empty":              "",
		"truncated header":   "HTTP/1.1 200 OK\r\nId: mi",
		"reset at end":       "HTTP/1.1 200 OK\r\nId: mine\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newScriptedServer(t, func(c net.Conn, _ int64) {
				writeString(c, text)
				if tcp, ok := c.(*net.TCPConn); ok && strings.HasPrefix(name, "reset") {
					time.Sleep(20 * time.Millisecond)
					_ = tcp.SetLinger(0)
				}
				_ = c.Close()
			})
			f := newFixture(s.address, 2)
			_, err := f.doRequest(t)
			is.True(failer.Is(err, exchanger.KindReplyLost))
			is.Equal(f.ConnectionCount(), 0)
		})
	}
}

func TestReplyWithoutContentLength(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t, func(c net.Conn, _ int64) {
		writeString(c, "HTTP/1.1 200 OK\r\nId: mine\r\n\r\nwhole")
		_ = c.Close()
	})
	f := newFixture(s.address, 2)
	got, err := f.doRequest(t)
	is.NoErr(err)
	is.Equal(string(got.Body), "whole")
	is.Equal(f.ConnectionCount(), 0)
}

// TestReplyBeforeBodyIsRead checks that a connection is not reused if the server
// replied before it had read a long body. It may read the rest later, so another
// request on the connection would be read as part of that body.
func TestReplyBeforeBodyIsRead(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = bufio.NewReader(c).ReadString('\n')
			writeString(c, formatReply("mine", "early"))
		}
	}()
	f := newFixture(l.Addr().String(), 2)
	request := newRequest()
	request.Method, request.Body = http.MethodPost, make([]byte, 32<<20)
	got, err := f.Do(t.Context(), f.target, request)
	is.NoErr(err)
	is.Equal(string(got.Body), "early")
	is.Equal(f.ConnectionCount(), 0)
}

func TestErrorKindShowsWhetherRequestWasSent(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t, func(net.Conn, int64) { time.Sleep(time.Second) })
	f := newFixture(s.address, 1)
	ended := make(chan error, 1)
	go func() {
		_, err := f.doRequest(t)
		ended <- err
	}()
	time.Sleep(50 * time.Millisecond)
	_, err := f.doRequest(t)
	is.True(failer.Is(err, exchanger.KindConnectionLimit))
	is.True(failer.Is(<-ended, exchanger.KindReplyLost)) // the context's deadline passed
	unreachable := newFixture("127.0.0.1:1", 1)
	_, err = unreachable.doRequest(t)
	is.True(failer.Is(err, exchanger.KindDial))
	is.Equal(unreachable.ConnectionCount(), 0)
}

func TestCancellationClosesConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	s := newScriptedServer(t, func(c net.Conn, _ int64) {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	f := newFixture(s.address, 1)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err := f.Do(ctx, f.target, newRequest())
	is.True(err != nil)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the server did not detect that the connection was closed")
	}
}

func TestPreconnectedConnectionIsUsed(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t, func(c net.Conn, _ int64) { writeString(c, formatReply("mine", "x")) })
	f := newFixture(s.address, 2)
	is.NoErr(f.Preconnect(t.Context(), f.target))
	is.NoErr(f.Preconnect(t.Context(), f.target)) // does not open a second connection
	got, err := f.doRequest(t)
	is.NoErr(err)
	is.True(!got.NewConnection)
	is.Equal(f.dials.Load(), int64(1))
}
