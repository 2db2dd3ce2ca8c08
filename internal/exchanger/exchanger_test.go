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

// scripted serves each connection with a script that writes raw bytes.
type scripted struct {
	address string
	// requests counts requests that arrived.
	requests atomic.Int64
}

func newScripted(t *testing.T, script func(conn net.Conn, number int64)) *scripted {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &scripted{address: l.Addr().String()}
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

func get() exchanger.Request {
	return exchanger.Request{
		Method: http.MethodGet, Target: "/x?y", Host: "h", Header: http.Header{},
		Owns: func(h http.Header) bool { return h.Get("Id") == "mine" },
	}
}

func reply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func send(conn net.Conn, text string) { _, _ = conn.Write([]byte(text)) }

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

func (f *fixture) do(t *testing.T) (exchanger.Reply, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	return f.Do(ctx, f.target, get())
}

func TestConnectionsAreKeptAndCounted(t *testing.T) {
	is := is.New(t)
	s := newScripted(t, func(c net.Conn, _ int64) { send(c, reply("mine", "hello")) })
	f := newFixture(s.address, 2)
	for range 5 {
		got, err := f.do(t)
		is.NoErr(err)
		is.Equal(string(got.Body), "hello")
	}
	is.Equal(f.dials.Load(), int64(1))
	is.Equal(f.ConnectionCount(), 1)
	f.Sweep(time.Now().Add(time.Minute), map[string]bool{"k": true})
	is.Equal(f.ConnectionCount(), 0)
}

// TestNothingIsEverSentTwice covers what net/http's transport would repeat: a
// kept connection that dies as the next request goes out.
func TestNothingIsEverSentTwice(t *testing.T) {
	is := is.New(t)
	s := newScripted(t, func(c net.Conn, n int64) {
		if n%2 == 0 {
			_ = c.Close()
			return
		}
		send(c, reply("mine", "hello"))
	})
	f := newFixture(s.address, 2)
	for n := range int64(6) {
		_, err := f.do(t)
		is.Equal(err != nil, n%2 == 1)
		is.True(err == nil || failer.Is(err, exchanger.KindReplyLost))
		is.Equal(s.requests.Load(), n+1)
	}
}

func TestStrayRepliesBelongToNobody(t *testing.T) {
	is := is.New(t)
	s := newScripted(t, func(c net.Conn, n int64) {
		switch n {
		case 1: // at once, after the reply
			send(c, reply("mine", "one")+reply("stray", "wrong"))
		case 2: // late, while the connection is unused
			send(c, reply("mine", "two"))
			time.AfterFunc(30*time.Millisecond, func() { send(c, reply("stray", "wrong")) })
		case 3: // where the next reply is expected
			send(c, reply("stray", "wrong")+reply("mine", "three"))
		default:
			send(c, reply("mine", fmt.Sprint(n)))
		}
	})
	f := newFixture(s.address, 2)
	for _, want := range []string{"one", "two", "three", "4"} {
		got, err := f.do(t)
		is.NoErr(err)
		is.Equal(string(got.Body), want)
		time.Sleep(60 * time.Millisecond)
	}
	is.Equal(f.dials.Load(), int64(3)) // neither of the first two connections was used again
}

func TestBrokenRepliesAreNoReplies(t *testing.T) {
	for name, text := range map[string]string{
		"truncated":    "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 50\r\n\r\nshort",
		"rubbish":      "no protocol at all\r\n\r\n",
		"chunk cut":    "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
		"only strays":  reply("a", "x") + reply("b", "x") + reply("c", "x"),
		"nothing":      "",
		"half a head":  "HTTP/1.1 200 OK\r\nId: mi",
		"reset at end": "HTTP/1.1 200 OK\r\nId: mine\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newScripted(t, func(c net.Conn, _ int64) {
				send(c, text)
				if tcp, ok := c.(*net.TCPConn); ok && strings.HasPrefix(name, "reset") {
					time.Sleep(20 * time.Millisecond)
					_ = tcp.SetLinger(0)
				}
				_ = c.Close()
			})
			f := newFixture(s.address, 2)
			_, err := f.do(t)
			is.True(failer.Is(err, exchanger.KindReplyLost))
			is.Equal(f.ConnectionCount(), 0)
		})
	}
}

func TestAReplyWithoutLengthEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	s := newScripted(t, func(c net.Conn, _ int64) {
		send(c, "HTTP/1.1 200 OK\r\nId: mine\r\n\r\nwhole")
		_ = c.Close()
	})
	f := newFixture(s.address, 2)
	got, err := f.do(t)
	is.NoErr(err)
	is.Equal(string(got.Body), "whole")
	is.Equal(f.ConnectionCount(), 0)
}

// TestABodyThatWasNotReadTakesItsConnectionAlong has the server answer before it
// read a long body and read on later: no other request may follow there.
func TestABodyThatWasNotReadTakesItsConnectionAlong(t *testing.T) {
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
			send(c, reply("mine", "early"))
		}
	}()
	f := newFixture(l.Addr().String(), 2)
	request := get()
	request.Method, request.Body = http.MethodPost, make([]byte, 32<<20)
	got, err := f.Do(t.Context(), f.target, request)
	is.NoErr(err)
	is.Equal(string(got.Body), "early")
	is.Equal(f.ConnectionCount(), 0)
}

func TestWhatWasNotSentIsSaidSo(t *testing.T) {
	is := is.New(t)
	s := newScripted(t, func(net.Conn, int64) { time.Sleep(time.Second) })
	f := newFixture(s.address, 1)
	ended := make(chan error, 1)
	go func() {
		_, err := f.do(t)
		ended <- err
	}()
	time.Sleep(50 * time.Millisecond)
	_, err := f.do(t)
	is.True(failer.Is(err, exchanger.KindConnectionLimit))
	is.True(failer.Is(<-ended, exchanger.KindReplyLost)) // the time was up
	nobody := newFixture("127.0.0.1:1", 1)
	_, err = nobody.do(t)
	is.True(failer.Is(err, exchanger.KindDial))
	is.Equal(nobody.ConnectionCount(), 0)
}

func TestGivingUpClosesTheConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	s := newScripted(t, func(c net.Conn, _ int64) {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	f := newFixture(s.address, 1)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err := f.Do(ctx, f.target, get())
	is.True(err != nil)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the server was not told")
	}
}

func TestWarmConnectionsAreUsed(t *testing.T) {
	is := is.New(t)
	s := newScripted(t, func(c net.Conn, _ int64) { send(c, reply("mine", "x")) })
	f := newFixture(s.address, 2)
	is.NoErr(f.Preconnect(t.Context(), f.target))
	is.NoErr(f.Preconnect(t.Context(), f.target)) // one is enough
	got, err := f.do(t)
	is.NoErr(err)
	is.True(!got.NewConnection)
	is.Equal(f.dials.Load(), int64(1))
}
