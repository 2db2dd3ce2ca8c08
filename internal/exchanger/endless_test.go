package exchanger_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
	"github.com/fuchsiastile/fuchsiastile/internal/exchanger"
	"github.com/fuchsiastile/fuchsiastile/internal/failer"
)

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
