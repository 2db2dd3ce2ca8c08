package exchanger_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
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

// TestInvalidStatusEndsExchange covers servers that reply with a status that HTTP does
// not define, or that switch protocols without being asked to, and leave the connection
// open: the exchange must end at once, and what follows must not be taken for the reply.
func TestInvalidStatusEndsExchange(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"000", "007", "099", "+99", "101", "600", "999"} {
		for name, rest := range map[string]string{"silence": "", "a reply": formatReply("mine", "late")} {
			t.Run(status+" and "+name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := newScriptedServer(t, func(c net.Conn, _ int64) {
					writeString(c, "HTTP/1.1 "+status+" X\r\nId: mine\r\nContent-Length: 0\r\n\r\n"+rest)
				})
				f := newFixture(s.address, 1)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				_, err := f.doConnected(ctx, f.target)
				is.True(failer.Is(err, exchanger.KindReplyLost))
				is.NoErr(ctx.Err()) // before the deadline
				is.Equal(f.ConnectionCount(), 0)
			})
		}
	}
}

// invalidFieldLines are lines that are no header field. net/http skips some of them, joins
// others to the field before, and rejects the rest.
var invalidFieldLines = []string{
	"X Filler: 1", "X-Filler : 1", " X-Filler: 1", "\tX-Filler: 1", "X\tFiller: 1", "X\x00Filler: 1",
	"X\x01Filler: 1", "X\x7fFiller: 1", "X\u00e4: 1", "(X): 1", ": 1", " : 1", "X-Filler", "X\rFiller: 1", " ",
	"Content-Length : 4", "Content-Length\t: 4", "Transfer-Encoding : chunked", "Transfer Encoding: chunked",
}

// TestInvalidFieldLineEndsExchange covers servers that send a line which is no header
// field, in the head of a reply, of an interim reply or in a trailer, at any place: such a
// reply must not be returned, since its fields and its body may not be the server's.
func TestInvalidFieldLineEndsExchange(t *testing.T) {
	t.Parallel()
	const body = "Content-Length: 4\r\n\r\nbody"
	for _, line := range invalidFieldLines {
		for name, reply := range map[string]string{
			"first":   "HTTP/1.1 200 OK\r\n" + line + "\r\nId: mine\r\n" + body,
			"last":    "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 4\r\n" + line + "\r\n\r\nbody",
			"unix":    "HTTP/1.1 200 OK\nId: mine\n" + line + "\nContent-Length: 4\n\nbody",
			"unsized": "HTTP/1.1 200 OK\r\nId: mine\r\n" + line + "\r\n\r\nbody" + formatReply("stray", "wrong"),
			"interim": "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + formatReply("mine", "body"),
			"refusal": "HTTP/1.1 503 Service Unavailable\r\nId: mine\r\n" + line + "\r\n" + body,
			"trailer": "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + line + "\r\n\r\n",
			"beyond":  "HTTP/1.1 200 OK\r\nId: mine\r\nX-Long: " + strings.Repeat("x", 40<<10) + "\r\n" + line + "\r\n" + body,
		} {
			t.Run(fmt.Sprintf("%q %s", line, name), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := newScriptedServer(t, func(c net.Conn, _ int64) {
					writeString(c, reply)
					_ = c.Close()
				})
				f := newFixture(s.address, 1)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				got, err := f.doConnected(ctx, f.target)
				is.Equal(string(got.Body), "")
				is.True(failer.Is(err, exchanger.KindReplyLost))
				is.Equal(f.ConnectionCount(), 0)
			})
		}
	}
}

// TestReplyHeadsOfAnyShapeAreRead checks that valid heads are read whatever their length
// and however they arrive, and that their connection is used again.
func TestReplyHeadsOfAnyShapeAreRead(t *testing.T) {
	t.Parallel()
	for name, head := range map[string]string{
		"short":         "",
		"no reason":     "X-A:\r\n",
		"token":         "!#$%&'*+-.^_`|~09aZ: 1\r\n",
		"long value":    "X-Long: " + strings.Repeat("x", 60<<10) + "\r\n",
		"many fields":   strings.Repeat("X-Filler: 0123456789abcdef\r\n", 2000),
		"buffer filled": "X-Long: " + strings.Repeat("x", 1<<10-len("HTTP/1.1 200 OK\r\nX-Long: \r\n")) + "\r\n",
	} {
		for _, pieces := range []int{1, 2, 3, 40} {
			t.Run(fmt.Sprintf("%s in %d", name, pieces), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := newScriptedServer(t, func(c net.Conn, n int64) {
					reply := "HTTP/1.1 200 OK\r\n" + head + "Id: mine\r\nContent-Length: 1\r\n\r\n" + fmt.Sprint(n)
					for rest := pieces; rest > 0; rest-- {
						size := len(reply) / rest
						writeString(c, reply[:size])
						reply = reply[size:]
						time.Sleep(time.Millisecond)
					}
				})
				f := newFixture(s.address, 1)
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				for n := range 3 {
					got, err := f.doConnected(ctx, f.target)
					is.NoErr(err)
					is.Equal(string(got.Body), fmt.Sprint(n+1))
				}
				is.Equal(f.ConnectionCount(), 1)
				is.Equal(s.requests.Load(), int64(3))
			})
		}
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

// endlessReplies are the beginnings of replies that are no answer, and the bytes that
// are then repeated until the caller closes.
var endlessReplies = map[string][2]string{
	"header lines":     {"HTTP/1.1 200 OK\r\n", "X-Filler: 0123456789abcdef0123456789abcdef\r\n"},
	"status line":      {"HTTP/1.1 200 ", "0123456789abcdef"},
	"interim replies":  {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	"chunks":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
	"chunk extension":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10;x=", "0123456789abcdef"},
	"trailer":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: 0123456789abcdef0123456789abcdef\r\n"},
	"body until close": {"HTTP/1.1 200 OK\r\n\r\n", "0123456789abcdef"},
	"long body":        {"HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n", "0123456789abcdef"},
	"stray replies":    {"", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Stray: 1\r\n\r\n"},
}

const (
	// endlessBytes is how much a server sends in place of an endless reply, so that a
	// client without bounds fails the test and does not take the machine's memory.
	endlessBytes = 256 << 20
	// acceptedBytes is how much of it may reach a client and the socket buffers on the
	// way.
	acceptedBytes = 32 << 20
)

// TestEndlessReplyIsEnded covers servers that send bytes which are no answer without
// end, at full speed: the exchange must end long before its deadline and close the
// connection, so that neither memory nor CPU time goes to such bytes.
func TestEndlessReplyIsEnded(t *testing.T) {
	t.Parallel()
	for name, reply := range endlessReplies {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			sent := make(chan int, 1)
			server := newScriptedServer(t, func(conn net.Conn, _ int64) {
				block := []byte(strings.Repeat(reply[1], 1+(16<<10)/len(reply[1])))
				total, err := conn.Write([]byte(reply[0]))
				for err == nil && total < endlessBytes {
					var n int
					n, err = conn.Write(block)
					total += n
				}
				sent <- total
			})
			e := exchanger.New(dialer.System(), func() {})
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			request := newRequest()
			request.Matches = func(h http.Header) bool { return h.Get("X-Stray") == "" }
			_, err := e.Do(ctx, exchanger.Target{Key: "a", Address: server.address, Limit: 1}, request)
			is.True(failer.Is(err, exchanger.KindReplyLost))
			is.NoErr(ctx.Err())
			is.Equal(e.ConnectionCount(), 0)
			select {
			case total := <-sent:
				is.True(total < acceptedBytes)
			case <-time.After(10 * time.Second):
				t.Error("the connection is still open")
			}
		})
	}
}

// TestEndlessHeadsOfAllShardsStayWithinMemory covers a query whose searchers all send heads
// without end at the same time, in lines of several lengths.
func TestEndlessHeadsOfAllShardsStayWithinMemory(t *testing.T) {
	const shards, memoryLimit = 190, 136 << 20
	for _, line := range []string{"X:\r\n", "X-%04d: 1\r\n", "X-Filler: 0123456789abcdef0123456789abcdef\r\n"} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			var block []byte
			for n := range 10_000 {
				block = append(block, strings.Replace(line, "%04d", fmt.Sprintf("%04d", n), 1)...)
			}
			endless := newScriptedServer(t, func(conn net.Conn, _ int64) {
				writeString(conn, "HTTP/1.1 200 OK\r\n")
				for total := 0; total < endlessBytes; total += len(block) {
					if _, err := conn.Write(block); err != nil {
						return
					}
				}
			})
			f := newFixture(endless.address, shards)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			results := make(chan error, shards)
			for range shards {
				go func() {
					_, err := f.doConnected(ctx, f.target)
					results <- err
				}()
			}
			peak := uint64(0)
			for finished := 0; finished < shards; {
				select {
				case err := <-results:
					is.True(failer.Is(err, exchanger.KindReplyLost))
					finished++
				case <-time.After(time.Millisecond):
				}
				var memory runtime.MemStats
				runtime.ReadMemStats(&memory)
				peak = max(peak, memory.HeapInuse)
			}
			is.NoErr(ctx.Err())
			t.Logf("at most %d MB of heap in use", peak>>20)
			is.True(peak < memoryLimit)
		})
	}
}

// TestEndlessBodiesOfAllShardsStayWithinMemory covers a query whose searchers all send
// endless bodies at the same time: the heap must stay below the memory of the smallest VM
// of the users' deployments, and sound replies must still be read beside them.
func TestEndlessBodiesOfAllShardsStayWithinMemory(t *testing.T) {
	is := is.New(t)
	const shards, memoryLimit = 190, 136 << 20
	block := []byte(strings.Repeat("0123456789abcdef", 256))
	endless := newScriptedServer(t, func(conn net.Conn, _ int64) {
		writeString(conn, "HTTP/1.1 200 OK\r\nId: mine\r\n\r\n")
		for total := 0; total < endlessBytes; total += len(block) {
			if _, err := conn.Write(block); err != nil {
				return
			}
		}
	})
	sound := newScriptedServer(t, func(conn net.Conn, _ int64) { writeString(conn, formatReply("mine", "hello")) })
	f := newFixture(endless.address, shards)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var wait sync.WaitGroup
	for range shards {
		wait.Add(1)
		go func() {
			defer wait.Done()
			_, err := f.doConnected(ctx, f.target)
			is.True(failer.Is(err, exchanger.KindReplyLost))
		}()
	}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		wait.Wait()
	}()
	peak := uint64(0)
	for done := false; !done; {
		select {
		case <-finished:
			done = true
		case <-time.After(time.Millisecond):
		}
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		peak = max(peak, memory.HeapInuse)
		reply, err := f.doConnected(ctx, exchanger.Target{Key: "sound", Address: sound.address, Limit: 1})
		is.NoErr(err)
		is.Equal(string(reply.Body), "hello")
	}
	is.NoErr(ctx.Err())
	t.Logf("at most %d MB of heap in use", peak>>20)
	is.True(peak < memoryLimit)
}
