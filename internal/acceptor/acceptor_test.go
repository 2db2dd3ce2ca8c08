package acceptor

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const request = "GET / HTTP/1.1\r\nHost: tier.example\r\n\r\n"

// served is an HTTP server whose connections an Acceptor accepts.
type served struct {
	*Acceptor
	is *is.I
	mu sync.Mutex
	// dialled keeps the callers' ends of connections from being closed as unused.
	dialled []net.Conn
	// cuts holds the reports of cut requests.
	cuts []Cut
	// ran holds the paths of the requests that were handled.
	ran map[string]bool
	// release ends the handlers of requests to /wait.
	release chan struct{}
}

// serve starts a server that answers every request, asking its callers to close their
// connections if closeAfter is set.
func serve(t *testing.T, closeAfter bool) *served {
	t.Helper()
	s := &served{is: is.New(t), release: make(chan struct{}), ran: map[string]bool{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.is.NoErr(err)
	s.Acceptor = New(l, s.recordCut)
	server := &http.Server{ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.ran[r.URL.Path] = true
		s.mu.Unlock()
		switch r.URL.Path {
		case "/wait":
			<-s.release
		case "/leave":
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case "/shed":
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/midway":
			w.Header().Set("Content-Length", "100")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		case "/announce":
			Announce(r.Context(), w.Header(), Announcement{Idle: 4 * time.Second, Notice: 2 * time.Second})
		case "/closing":
			Announce(r.Context(), w.Header(), Announcement{Idle: time.Minute, Notice: time.Minute, Closing: true})
		case "/long":
			_, _ = w.Write(make([]byte, 64<<20))
		case "/early":
			w.WriteHeader(http.StatusNotFound)
			_ = http.NewResponseController(w).Flush()
			_, _ = io.Copy(io.Discard, r.Body)
		case "/abort":
			panic(http.ErrAbortHandler)
		}
		if closeAfter {
			w.Header().Set("Connection", "close")
		}
	})}
	s.Attach(server)
	done := make(chan error, 1)
	go func() { done <- server.Serve(s.Acceptor) }()
	t.Cleanup(func() {
		_ = server.Close()
		s.is.Equal(<-done, http.ErrServerClosed)
	})
	return s
}

func (s *served) recordCut(c Cut) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts = append(s.cuts, c)
}

func (s *served) hasRun(path string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[path]
}

// accept returns a connection that no HTTP server reads, and its caller's end.
func (s *served) accept(t *testing.T) (*Conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.is.NoErr(err)
	a := New(l, s.recordCut)
	caller, err := net.Dial("tcp", a.Addr().String())
	s.is.NoErr(err)
	conn, err := a.Accept()
	s.is.NoErr(err)
	t.Cleanup(func() {
		_ = caller.Close()
		_ = a.Close()
	})
	return conn.(*Conn), caller
}

// cutCauses returns the causes of the cut requests.
func (s *served) cutCauses() []Cause {
	s.mu.Lock()
	defer s.mu.Unlock()
	var causes []Cause
	for _, c := range s.cuts {
		causes = append(causes, c.Cause)
	}
	return causes
}

// client is a caller's end of a connection.
type client struct {
	net.Conn
	is     *is.I
	reader *bufio.Reader
}

// dial opens a connection, which stays open until the test ends, and waits until the acceptor
// has it.
func (s *served) dial() *client {
	conn, err := net.Dial("tcp", s.Addr().String())
	s.is.NoErr(err)
	s.mu.Lock()
	s.dialled = append(s.dialled, conn)
	s.mu.Unlock()
	isOwn := func(c *Conn) bool { return c.RemoteAddr().String() == conn.LocalAddr().String() }
	for !slices.ContainsFunc(s.openConns(), isOwn) {
		time.Sleep(time.Millisecond)
	}
	return &client{Conn: conn, is: s.is, reader: bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	_, err := io.WriteString(c, text)
	c.is.NoErr(err)
}

// awaitAnswer reads an answer, checks its status and returns its header.
func (c *client) awaitAnswer(status int) http.Header {
	c.is.NoErr(c.SetReadDeadline(time.Now().Add(closeWait)))
	response, err := http.ReadResponse(c.reader, nil)
	c.is.NoErr(err)
	c.is.Equal(response.StatusCode, status)
	c.is.NoErr(response.Body.Close())
	// net/http takes the field out of the header.
	if response.Close {
		response.Header.Set("Connection", "close")
	}
	return response.Header
}

// isClosed reports whether the server closes the connection within the given time.
func (c *client) isClosed(wait time.Duration) bool {
	c.is.NoErr(c.SetReadDeadline(time.Now().Add(wait)))
	_, err := c.reader.ReadByte()
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

const (
	// closeWait is the time for a close that must come, stayWait for one that must not.
	closeWait, stayWait = 10 * time.Second, 100 * time.Millisecond
)

// awaitPhases waits until so many connections are in each phase.
func (s *served) awaitPhases(waiting, receiving, active int) {
	deadline := time.Now().Add(closeWait)
	want := map[phase]int{phaseWaiting: waiting, phaseReceiving: receiving, phaseActive: active}
	for {
		got := map[phase]int{phaseWaiting: 0, phaseReceiving: 0, phaseActive: 0}
		for _, c := range s.openConns() {
			c.mu.Lock()
			got[c.phase]++
			c.mu.Unlock()
		}
		if maps.Equal(got, want) {
			return
		}
		if time.Now().After(deadline) {
			s.is.Equal(got, want)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestSweepAppliesChangedLimits guards against closing connections by an outdated limit
// after the configuration has raised or lowered it.
func TestSweepAppliesChangedLimits(t *testing.T) {
	t.Parallel()
	s := serve(t, false)
	is := s.is
	idle, active, unused := s.dial(), s.dial(), s.dial()
	idle.send(request)
	idle.awaitAnswer(http.StatusOK)
	active.send("GET /wait HTTP/1.1\r\nHost: tier.example\r\n\r\n")
	s.awaitPhases(2, 0, 1)
	at := func(elapsed time.Duration) time.Time { return time.Now().Add(elapsed) }

	is.Equal(s.Sweep(at(90*time.Second), Limits{New: 2 * time.Minute, Idle: 2 * time.Minute, Head: 5 * time.Second}), 0) // the limit was raised
	is.True(!idle.isClosed(stayWait))
	is.Equal(s.Sweep(at(16*time.Second), Limits{New: 15 * time.Second, Idle: 15 * time.Second, Head: 3 * time.Second}), 2) // the limit was lowered
	is.True(idle.isClosed(closeWait))
	is.True(unused.isClosed(closeWait))
	is.True(!active.isClosed(stayWait))
	close(s.release)
	active.awaitAnswer(http.StatusOK)
	s.awaitPhases(1, 0, 0)
	is.Equal(s.Sweep(at(59*time.Second), Limits{New: time.Minute, Idle: time.Minute, Head: time.Second}), 0)
	is.Equal(s.Sweep(at(61*time.Second), Limits{New: time.Minute, Idle: time.Minute, Head: time.Second}), 1)
	is.True(active.isClosed(closeWait))
	is.Equal(len(s.cutCauses()), 0)
}

// TestSweepLeavesRequestsThatWereRead guards against closing a connection whose request has
// been read while the HTTP server still reports it as idle.
func TestSweepLeavesRequestsThatWereRead(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	conn, caller := serve(t, false).accept(t)
	a := conn.acceptor
	a.trackState(conn, http.StateActive)
	a.trackState(conn, http.StateIdle)
	_, err := io.WriteString(caller, request)
	is.NoErr(err)
	buffer := make([]byte, 1000)
	n, err := conn.Read(buffer[:10])
	is.NoErr(err)
	is.Equal(n, 10)
	is.Equal(a.Sweep(time.Now().Add(time.Second), Limits{Head: time.Minute}), 0)
	n, err = conn.Read(buffer)
	is.NoErr(err)
	is.Equal(n, len(request)-10)
}

// TestExpiredConnectionsReadWhatHasArrived guards against closing a connection whose request
// has arrived when its limit ends.
func TestExpiredConnectionsReadWhatHasArrived(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	conn, caller := serve(t, false).accept(t)
	a := conn.acceptor
	is.Equal(a.Sweep(time.Now().Add(time.Second), Limits{}), 1)
	_, err := io.WriteString(caller, request)
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Minute))) // as the HTTP server does
	buffer := make([]byte, 1000)
	n, err := conn.Read(buffer)
	is.NoErr(err)
	is.Equal(string(buffer[:n]), request)

	// The connection is not expired any more: a read waits for its deadline.
	is.NoErr(conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
	started := time.Now()
	_, err = conn.Read(buffer)
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	is.True(time.Since(started) >= 50*time.Millisecond)
}

// TestSweepRacesWithRequests guards against requests that run without an answer, or although
// they were refused, because a limit ends at the moment at which they arrive.
func TestSweepRacesWithRequests(t *testing.T) {
	t.Parallel()
	s := serve(t, false)
	stop := make(chan struct{})
	var sweeps, callers sync.WaitGroup
	sweeps.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				s.Sweep(time.Now().Add(time.Second), Limits{})
			}
		}
	})
	for n := range 16 {
		callers.Go(func() {
			for k := range 100 {
				path := fmt.Sprintf("/%d/%d", n, k)
				text := strings.Replace(request, "/", path, 1)
				split := (n*100 + k) % len(text)
				conn, err := net.Dial("tcp", s.Addr().String())
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.WriteString(conn, text[:split])
				time.Sleep(time.Duration(k%20) * 100 * time.Microsecond)
				_, _ = io.WriteString(conn, text[split:])
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				isAnswered := err == nil && response.StatusCode == http.StatusOK
				_ = conn.Close()
				if s.hasRun(path) && !isAnswered {
					t.Errorf("%s ran, split at %d, answer %v, %v", path, split, response, err)
				}
			}
		})
	}
	callers.Wait()
	close(stop)
	sweeps.Wait()
}

// TestRefusedRequestsAreRefusedOnce guards against answers after the refusal of a slow head,
// and against running the request if the rest of its head comes after that.
func TestRefusedRequestsAreRefusedOnce(t *testing.T) {
	t.Parallel()
	s := serve(t, false)
	for split := 1; split < len(request); split++ {
		c := s.dial()
		c.send(request[:split])
		s.awaitPhases(0, 1, 0)
		s.is.Equal(s.Sweep(time.Now().Add(time.Second), Limits{}), 1)
		s.is.NoErr(c.SetReadDeadline(time.Now().Add(closeWait)))
		answer, err := io.ReadAll(c.reader)
		s.is.NoErr(err)
		s.is.Equal(string(answer), requestTimeout)
		s.awaitPhases(0, 0, 0)
	}
	conn, caller := s.accept(t)
	_, err := io.WriteString(caller, request[:20])
	s.is.NoErr(err)
	buffer := make([]byte, 100)
	_, err = conn.Read(buffer)
	s.is.NoErr(err)
	s.is.Equal(conn.acceptor.Sweep(time.Now().Add(time.Second), Limits{}), 1)
	_, err = conn.Read(buffer)
	s.is.True(errors.Is(err, os.ErrDeadlineExceeded))
	_, err = io.WriteString(caller, request[20:])
	s.is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	n, err := conn.Read(buffer)
	s.is.True(errors.Is(err, os.ErrDeadlineExceeded))
	s.is.Equal(n, 0)
}

// TestExpiredHeadThatIsWholeIsServed guards against failing the reads of a request whose
// head was whole when its limit ended, which net/http takes for a caller that left.
func TestExpiredHeadThatIsWholeIsServed(t *testing.T) {
	t.Parallel()
	s := serve(t, false)
	conn, caller := s.accept(t)
	_, err := io.WriteString(caller, request)
	s.is.NoErr(err)
	_, err = conn.Read(make([]byte, 1000))
	s.is.NoErr(err)
	s.is.Equal(conn.acceptor.Sweep(time.Now().Add(time.Second), Limits{}), 1)
	conn.acceptor.trackState(conn, http.StateActive)
	s.is.NoErr(conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
	started := time.Now()
	_, err = conn.Read(make([]byte, 1)) // as the HTTP server does while a handler runs
	s.is.True(errors.Is(err, os.ErrDeadlineExceeded))
	s.is.True(time.Since(started) >= 50*time.Millisecond)
}

// TestLineEndsBetweenRequestsAreNoRequest guards against refusing a request of which nothing
// but the line end that some callers send after a body has come.
func TestLineEndsBetweenRequestsAreNoRequest(t *testing.T) {
	t.Parallel()
	s := serve(t, false)
	c := s.dial()
	c.send(request)
	c.awaitAnswer(http.StatusOK)
	s.awaitPhases(1, 0, 0)
	c.send("\r\n")
	time.Sleep(50 * time.Millisecond)
	s.awaitPhases(1, 0, 0)
	s.is.Equal(s.Sweep(time.Now().Add(time.Second), Limits{}), 1)
	answer, err := io.ReadAll(c.reader)
	s.is.NoErr(err)
	s.is.Equal(len(answer), 0)
}

// TestSlowHeadsAreRefused covers the limit for heads that do not arrive whole.
func TestSlowHeadsAreRefused(t *testing.T) {
	t.Parallel()
	s := serve(t, false)
	c := s.dial()
	c.send(request[:20])
	s.awaitPhases(0, 1, 0)
	s.is.Equal(s.Sweep(time.Now().Add(2*time.Second), Limits{Head: 3 * time.Second}), 0)
	s.is.True(!c.isClosed(stayWait))
	s.is.Equal(s.Sweep(time.Now().Add(4*time.Second), Limits{Head: 3 * time.Second}), 1)
	c.awaitAnswer(http.StatusRequestTimeout)
	s.is.True(c.isClosed(closeWait))
	s.is.Equal(len(s.cutCauses()), 0)
}

// drain starts Drain and returns a channel for its result.
func (s *served) drain(head, answerWithin time.Duration) <-chan error {
	drained := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), answerWithin+time.Second)
	go func() {
		defer cancel()
		drained <- s.Drain(ctx, head, time.Now().Add(answerWithin))
	}()
	return drained
}

// TestDrainAnswersRequests guards against discarding requests that arrive while a server
// stops: on new connections, on idle ones, and in parts.
func TestDrainAnswersRequests(t *testing.T) {
	t.Parallel()
	s := serve(t, true)
	is := s.is
	late, unused, split, active := s.dial(), s.dial(), s.dial(), s.dial()
	split.send(request[:20])
	active.send("GET /wait HTTP/1.1\r\nHost: tier.example\r\n\r\n")
	s.awaitPhases(2, 1, 1)
	drained := s.drain(3*time.Second, 5*time.Second)
	time.Sleep(200 * time.Millisecond)
	late.send(request)
	late.awaitAnswer(http.StatusOK)
	is.True(unused.isClosed(closeWait))
	split.send(request[20:])
	split.awaitAnswer(http.StatusOK)
	close(s.release)
	active.awaitAnswer(http.StatusOK)
	is.NoErr(<-drained)
	_, err := net.Dial("tcp", s.Addr().String())
	is.True(err != nil)
	is.Equal(len(s.cutCauses()), 0)
}

// TestDrainClosesIdleConnections guards against waiting for callers that send nothing, or no
// whole head.
func TestDrainClosesIdleConnections(t *testing.T) {
	t.Parallel()
	s := serve(t, false)
	idle, split := s.dial(), s.dial()
	idle.send(request)
	idle.awaitAnswer(http.StatusOK)
	split.send(request[:20])
	s.awaitPhases(1, 1, 0)
	started := time.Now()
	drained := s.drain(time.Minute, 2*time.Second)
	s.is.True(idle.isClosed(closeWait))
	s.is.True(time.Since(started) < 2*time.Second)
	split.awaitAnswer(http.StatusRequestTimeout)
	s.is.NoErr(<-drained)
}

// TestRequestsReadAheadAreServed guards against closing a connection as idle though the
// beginning of its next request was read together with the one before.
func TestRequestsReadAheadAreServed(t *testing.T) {
	t.Parallel()
	s := serve(t, false)
	swept, drained := s.dial(), s.dial()
	for _, c := range []*client{swept, drained} {
		c.send(request + request[:20])
		c.awaitAnswer(http.StatusOK)
	}
	s.awaitPhases(0, 2, 0)
	s.is.Equal(s.Sweep(time.Now().Add(time.Second), Limits{Head: time.Minute}), 0)
	swept.send(request[20:])
	swept.awaitAnswer(http.StatusOK)
	done := s.drain(time.Minute, 5*time.Second)
	s.is.True(swept.isClosed(closeWait))
	s.is.True(!drained.isClosed(stayWait))
	drained.send(request[20:])
	drained.awaitAnswer(http.StatusOK)
	s.is.NoErr(<-done)
	s.is.Equal(len(s.cutCauses()), 0)
}

// TestCutRequestsAreReported covers the report of a request that was read and not answered.
func TestCutRequestsAreReported(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var cuts []Cut
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	a := New(l, func(c Cut) { cuts = append(cuts, c) })
	defer func() { _ = a.Close() }()
	receive := func(closeCaller bool) net.Conn {
		caller, err := net.Dial("tcp", a.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = caller.Close() })
		conn, err := a.Accept()
		is.NoErr(err)
		_, err = io.WriteString(caller, request)
		is.NoErr(err)
		_, err = conn.Read(make([]byte, 100))
		is.NoErr(err)
		if closeCaller {
			is.NoErr(caller.Close())
			_, err = conn.Read(make([]byte, 100))
			is.True(err != nil)
		}
		return conn
	}
	answered := receive(false)
	_, err = io.WriteString(answered, "HTTP/1.1 200 OK\r\n")
	is.NoErr(err)
	is.NoErr(answered.Close())
	is.Equal(len(cuts), 0)
	is.NoErr(receive(false).Close())
	is.NoErr(receive(true).Close())
	is.Equal(len(cuts), 2)
	is.Equal(cuts[0].Cause, CauseServer)
	is.Equal(cuts[0].Bytes, len(request))
	is.Equal(cuts[1].Cause, CauseCaller)
}

// awaitEnded waits until no request is open and returns the counts.
func (s *served) awaitEnded(begun int) Counts {
	deadline := time.Now().Add(closeWait)
	for {
		c := s.Counts()
		if c.Begun == begun && c.Open == 0 || time.Now().After(deadline) {
			return c
		}
		time.Sleep(time.Millisecond)
	}
}

// TestEveryRequestEndsOnce guards against requests whose end nothing counts: answers that
// break off midway above all.
func TestEveryRequestEndsOnce(t *testing.T) {
	t.Parallel()
	s := serve(t, false)
	answered := s.dial()
	for range 3 {
		answered.send(request)
		answered.awaitAnswer(http.StatusOK)
	}
	refused := s.dial()
	refused.send(request[:10])
	s.awaitPhases(1, 1, 0)
	s.Sweep(time.Now().Add(time.Minute), Limits{New: time.Hour, Idle: time.Hour, Head: time.Second})
	refused.awaitAnswer(http.StatusRequestTimeout)
	shed := s.dial()
	shed.send(strings.Replace(request, "/", "/shed", 1))
	shed.awaitAnswer(http.StatusServiceUnavailable)
	left := s.dial()
	left.send(strings.Replace(request, "/", "/leave", 1))
	s.awaitPhases(2, 0, 1)
	s.is.NoErr(left.Close())
	aborted := s.dial()
	aborted.send(strings.Replace(request, "/", "/abort", 1))
	s.is.True(aborted.isClosed(closeWait))
	midway := s.dial()
	midway.send(strings.Replace(request, "/", "/midway", 1))
	s.is.True(midway.isClosed(closeWait))
	s.is.Equal(s.awaitEnded(8), Counts{Begun: 8, Ended: map[Outcome]int{
		OutcomeAnswered: 3, OutcomeRefused: 2, OutcomeCallerLeft: 1, OutcomeCut: 2,
	}})
	s.is.Equal(len(s.cutCauses()), 3)
}

// TestBlockedAnswersAreCuts guards against counting an answer that the server's close breaks
// off, because its caller reads slowly, as a whole one.
func TestBlockedAnswersAreCuts(t *testing.T) {
	t.Parallel()
	s := serve(t, true)
	c := s.dial()
	s.is.NoErr(c.Conn.(*net.TCPConn).SetReadBuffer(4 << 10))
	c.send(strings.Replace(request, "/", "/long", 1))
	s.awaitPhases(0, 0, 1)
	time.Sleep(stayWait)
	for _, conn := range s.openConns() {
		s.is.NoErr(conn.Close())
	}
	s.is.Equal(s.awaitEnded(1), Counts{Begun: 1, Ended: map[Outcome]int{OutcomeCut: 1}})
}

// TestAnswersOfHTTP10AreCounted guards against taking answers to callers that speak HTTP/1.0
// for cuts.
func TestAnswersOfHTTP10AreCounted(t *testing.T) {
	t.Parallel()
	s := serve(t, false)
	c := s.dial()
	c.send(strings.Replace(request, "HTTP/1.1", "HTTP/1.0", 1))
	c.awaitAnswer(http.StatusOK)
	s.is.Equal(s.awaitEnded(1), Counts{Begun: 1, Ended: map[Outcome]int{OutcomeAnswered: 1}})
}

// TestCloseBesideReadDoesNotWait guards against a close that waits for a read in progress,
// which nothing ends: a stop did not end beside a body that stalled.
func TestCloseBesideReadDoesNotWait(t *testing.T) {
	t.Parallel()
	s := serve(t, true)
	c := s.dial()
	c.send("POST /early HTTP/1.1\r\nHost: tier.example\r\nContent-Length: 10\r\n\r\n")
	s.awaitPhases(0, 0, 1)
	time.Sleep(stayWait)
	closed := make(chan error, 1)
	go func() { closed <- s.openConns()[0].Close() }()
	select {
	case err := <-closed:
		s.is.NoErr(err)
	case <-time.After(closeWait):
		t.Fatal("the close waits")
	}
}

// TestAnnouncedConnectionsStayOpen guards against closing a connection that its caller may
// still use according to the last response, at a lowered limit or in a stop.
func TestAnnouncedConnectionsStayOpen(t *testing.T) {
	t.Parallel()
	s := serve(t, false)
	announced, silent, closing := s.dial(), s.dial(), s.dial()
	announced.send(strings.Replace(request, "/", "/announce", 1))
	s.is.Equal(announced.awaitAnswer(http.StatusOK).Get("Keep-Alive"), "timeout=1")
	silent.send(request)
	s.is.Equal(silent.awaitAnswer(http.StatusOK).Get("Keep-Alive"), "")
	s.awaitPhases(3, 0, 0)
	closing.send(strings.Replace(request, "/", "/closing", 1))
	s.is.Equal(closing.awaitAnswer(http.StatusOK).Get("Connection"), "close")
	s.is.True(closing.isClosed(closeWait))
	lowered := Limits{New: time.Hour, Idle: time.Millisecond, Head: time.Hour}
	s.is.Equal(s.Sweep(time.Now().Add(100*time.Millisecond), lowered), 1)
	s.is.True(silent.isClosed(closeWait))
	s.is.True(!announced.isClosed(stayWait))
	s.is.Equal(s.Sweep(time.Now().Add(1500*time.Millisecond), lowered), 0)
	s.is.Equal(s.Sweep(time.Now().Add(2*time.Second), lowered), 1)
	s.is.True(announced.isClosed(closeWait))
}

// TestAnnouncementsEndBeforeTheirLimits guards against a promise that outlasts the idle limit
// or a stop's notice.
func TestAnnouncementsEndBeforeTheirLimits(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct{ idle, notice, want time.Duration }{
		{15 * time.Second, 2700 * time.Millisecond, 2 * time.Second},
		{2 * time.Second, time.Minute, time.Second},
		{time.Second, time.Minute, 0},
		{time.Minute, 700 * time.Millisecond, 0},
		{0, time.Minute, 0},
	} {
		a := Announcement{Idle: test.idle, Notice: test.notice}
		is.Equal(a.reusable(), test.want)
		is.True(a.reusable() == 0 || a.reusable()+arrivalMargin <= a.kept())
		is.Equal(a.kept(), min(test.idle, test.notice))
	}
}

// TestWaitingConnectionsAreAccepted guards against resetting connections that wait to be
// accepted, some with a request, as a server stops.
func TestWaitingConnectionsAreAccepted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	a := New(l, func(Cut) {})
	var callers []net.Conn
	for range 3 {
		caller, err := net.Dial("tcp", a.Addr().String())
		is.NoErr(err)
		defer func() { _ = caller.Close() }()
		_, err = io.WriteString(caller, request)
		is.NoErr(err)
		callers = append(callers, caller)
	}
	a.stopAccepting()
	for range callers {
		conn, err := a.Accept()
		is.NoErr(err)
		read := make([]byte, 100)
		n, err := conn.Read(read)
		is.NoErr(err)
		is.Equal(string(read[:n]), request)
		is.True(!a.isDrained())
		is.NoErr(conn.Close())
	}
	_, err = a.Accept()
	is.Equal(err, http.ErrServerClosed)
	is.True(a.isDrained())
}
