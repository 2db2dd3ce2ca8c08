package acceptor

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// phase is how far the current request of a connection has got.
type phase int

const (
	// phaseWaiting means that no byte of the next request has been read.
	phaseWaiting phase = iota
	// phaseReceiving means that bytes of a request have been read, and the HTTP server has
	// not yet reported that it has its head.
	phaseReceiving
	// phaseActive means that the HTTP server has the head of a request and has not finished
	// its response.
	phaseActive
)

const (
	// requestTimeout is the response to a request whose head has taken too long.
	requestTimeout = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// refusalTimeout limits how long its sending may take.
	refusalTimeout = 100 * time.Millisecond
	// discardSize is how much of the bytes that nothing is going to answer is read at once,
	// at most maxDiscards times.
	discardSize = 4 << 10
	maxDiscards = 16
)

// pastDeadline makes reads fail at once.
var pastDeadline = time.Unix(1, 0)

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	acceptor *Acceptor

	mu    sync.Mutex
	phase phase
	// phaseSince is when the phase began.
	phaseSince time.Time
	// kept is how long the connection stays open after its last response at least, by the
	// limits that were in force when that was sent.
	kept time.Duration
	// isNew is set until the HTTP server has the head of the first request.
	isNew bool
	// deadline is the read deadline that the HTTP server has set last.
	deadline time.Time
	// isAwaited is set once the HTTP server has begun to wait for the next request. It is
	// used in phaseWaiting only, and not while isNew is set.
	isAwaited bool
	// expired is set while the read deadline is in the past because the connection has
	// exceeded a limit. It is never set in phaseActive.
	expired bool
	// unanswered counts the bytes read since the last byte written; it is 1 if they were all
	// read before that. firstByteAt and lastByteAt are when the first and the last of them
	// were read.
	unanswered              int
	firstByteAt, lastByteAt time.Time
	// isOpen is set while the acceptor's ledger counts a request of this connection as open.
	isOpen bool
	// isHandled is set while the HTTP handler runs, and stays set if it panics.
	isHandled bool
	// writing is the number of calls of Write in progress.
	writing int
	// status is that of the response to the open request, 0 until its head is written; written
	// is how many of its bytes were. writeErr is the first error of writing them.
	status, written int
	writeErr        error
	// callerLeft is set when a read or a write fails because the caller closed or reset the
	// connection.
	callerLeft bool
	// timedOut is set when a read fails because the connection has exceeded a limit. Nothing
	// is written to the connection after that.
	timedOut bool
	closed   bool
}

// Read implements net.Conn. On a connection that has exceeded a limit it fails with
// os.ErrDeadlineExceeded, but only if no byte is there to be read.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timedOut {
		// net/http reads on after some errors within a head.
		return 0, os.ErrDeadlineExceeded
	}
	if c.expired && errors.Is(err, os.ErrDeadlineExceeded) {
		if n = c.readAvailable(p); n > 0 {
			err = nil
		} else {
			c.refuse()
		}
	}
	if n > 0 {
		c.recordRead(p[:n])
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !c.closed {
		c.callerLeft = true
	}
	return n, err
}

// readAvailable reads what has arrived, without waiting; it returns 0 if nothing has. It
// does not wait for a Read in progress, whose caller may hold mu next.
func (c *Conn) readAvailable(p []byte) int {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { n, _ = syscall.Read(int(fd), p) })
	return max(0, n)
}

// discardAvailable reads what has arrived behind a request whose response ends the
// connection. Closing it with unread bytes would reset it, and the part of the response that
// the caller has not received would be lost. The caller holds mu.
func (c *Conn) discardAvailable() {
	buffer := make([]byte, discardSize)
	for rest := maxDiscards; rest > 0 && c.readAvailable(buffer) == len(buffer); rest-- {
	}
}

// refuse answers a request whose head has taken too long, and makes Write discard the HTTP
// server's own answer to it, which does not say that the request has not run. The caller
// holds mu.
func (c *Conn) refuse() {
	c.timedOut = true
	if c.phase != phaseReceiving {
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	n, err := io.WriteString(c.Conn, requestTimeout)
	c.recordWrite([]byte(requestTimeout), n, err)
	if err == nil {
		c.unanswered = 0
	}
}

// recordRead records that bytes were read. Line ends between requests are no part of one.
// The caller holds mu.
func (c *Conn) recordRead(read []byte) {
	c.restoreDeadline()
	if c.phase == phaseWaiting && len(bytes.Trim(read, "\r\n")) == 0 {
		return
	}
	c.lastByteAt = time.Now()
	if c.unanswered == 0 {
		c.firstByteAt = c.lastByteAt
	}
	c.unanswered += len(read)
	if c.phase == phaseWaiting {
		c.setPhase(phaseReceiving, c.lastByteAt)
	}
}

// recordWrite records that n bytes of p were written. The caller holds mu.
func (c *Conn) recordWrite(p []byte, n int, err error) {
	if status, ok := parseStatus(p); ok && c.status < http.StatusOK {
		c.status = status
	}
	c.written += n
	if err != nil && c.writeErr == nil {
		c.writeErr = err
		c.callerLeft = c.callerLeft || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
	}
}

// parseStatus returns the status of a response that begins with p.
func parseStatus(p []byte) (int, bool) {
	const prefix, digits = "HTTP/1.1 ", 3
	if len(p) < len(prefix)+digits || string(p[:len("HTTP/1.")]) != "HTTP/1." {
		return 0, false
	}
	status, err := strconv.Atoi(string(p[len(prefix) : len(prefix)+digits]))
	return status, err == nil
}

// setPhase begins a phase. The caller holds mu.
func (c *Conn) setPhase(next phase, now time.Time) {
	c.phase, c.phaseSince = next, now
	if next == phaseWaiting || c.isOpen || c.closed {
		return
	}
	c.isOpen = true
	c.status, c.written, c.writeErr = 0, 0, nil
	c.acceptor.ledger.begin()
}

// endRequest ends the open request, if any, and returns its outcome. The caller holds mu.
func (c *Conn) endRequest() Outcome {
	if !c.isOpen {
		return ""
	}
	c.isOpen = false
	outcome := c.outcome()
	c.acceptor.ledger.end(outcome)
	return outcome
}

// outcome returns the outcome of the open request if it ends now. The HTTP server writes the
// whole response unless the handler panics or a write fails. The caller holds mu.
func (c *Conn) outcome() Outcome {
	isWhole := c.status >= http.StatusOK && !c.isHandled && c.writing == 0 && c.writeErr == nil
	switch {
	case isWhole && isRefusal(c.status):
		return OutcomeRefused
	case isWhole:
		return OutcomeAnswered
	case c.callerLeft:
		return OutcomeCallerLeft
	default:
		return OutcomeCut
	}
}

// restoreDeadline undoes expire. The caller holds mu.
func (c *Conn) restoreDeadline() {
	if c.expired {
		c.expired = false
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
}

// expire makes the pending read, or the next one, fail unless there is something to read,
// if the connection exceeds a limit. It reports whether it does so now.
//
// The HTTP server's goroutine closes the connection after that read. A Close by any other
// goroutine could not know what that one has just read.
func (c *Conn) expire(now time.Time, limits Limits) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired || c.closed || c.phase == phaseActive || now.Sub(c.phaseSince) <= c.limit(limits) {
		return false
	}
	c.expired = true
	_ = c.Conn.SetReadDeadline(pastDeadline)
	return true
}

// limit returns the limit for the current phase.
func (c *Conn) limit(limits Limits) time.Duration {
	switch {
	case c.phase == phaseReceiving:
		return limits.Head
	case c.isNew:
		return limits.New
	case limits.Forced:
		return limits.Idle
	default:
		return max(limits.Idle, c.kept)
	}
}

func (c *Conn) setKept(kept time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kept = kept
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseWaiting && !c.isNew {
		// The HTTP server sets a deadline when it begins to wait for a request, and another
		// when it has the first bytes, which it may have read together with the request
		// before.
		if c.isAwaited {
			now := time.Now()
			c.setPhase(phaseReceiving, now)
			if c.unanswered == 0 {
				c.unanswered, c.firstByteAt, c.lastByteAt = 1, now, now
			}
			c.expired = false
		}
		c.isAwaited = true
	}
	c.deadline = t
	if c.expired {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.timedOut {
		c.mu.Unlock()
		return len(p), nil
	}
	c.unanswered = 0
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	c.recordWrite(p, n, err)
	return n, err
}

// CloseWrite closes the sending direction. The HTTP server does so before it closes a
// connection whose request it has not read to the end.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. It reports the request that this ends without a whole response,
// if any.
func (c *Conn) Close() error {
	c.mu.Lock()
	now := time.Now()
	if !c.closed && !c.isOpen && c.unanswered > 0 {
		// The beginning of a request was read together with the one before.
		c.setPhase(phaseReceiving, c.firstByteAt)
	}
	cut := Cut{
		Remote: c.RemoteAddr().String(), Cause: c.cause(), IsActive: c.phase == phaseActive, Bytes: c.unanswered,
		Written: c.written, Err: c.writeErr,
		SinceFirstByte: now.Sub(c.firstByteAt), SinceLastByte: now.Sub(c.lastByteAt),
	}
	outcome := c.endRequest()
	isCut := outcome == OutcomeCut || outcome == OutcomeCallerLeft
	if outcome == OutcomeAnswered || outcome == OutcomeRefused {
		c.discardAvailable()
	}
	c.closed = true
	c.mu.Unlock()
	if isCut {
		c.acceptor.onCut(cut)
	}
	defer c.acceptor.forget(c)
	return c.Conn.Close()
}

func (c *Conn) cause() Cause {
	switch {
	case c.callerLeft:
		return CauseCaller
	case c.timedOut:
		return CauseLimit
	default:
		return CauseServer
	}
}

func (c *Conn) setHandled(isHandled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isHandled = isHandled
}

// trackState records a state that the HTTP server reports.
func (c *Conn) trackState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.isNew = false
		c.setPhase(phaseActive, time.Now())
		c.restoreDeadline()
	case http.StateIdle:
		c.endRequest()
		c.isAwaited = false
		c.setPhase(phaseWaiting, time.Now())
	case http.StateNew, http.StateClosed, http.StateHijacked:
	}
}
