package acceptor

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	acceptor *Acceptor

	mu sync.Mutex
	// state is the last state that the HTTP server reported.
	state http.ConnState
	// waitingSince is when the connection was accepted or became idle.
	waitingSince time.Time
	// unanswered counts the bytes read since the last byte written. firstByteAt and
	// lastByteAt are when the first and the last of them were read.
	unanswered              int
	firstByteAt, lastByteAt time.Time
	// callerLeft is set when a read fails because the caller closed or reset the
	// connection.
	callerLeft bool
	closed     bool
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.lastByteAt = time.Now()
		if c.unanswered == 0 {
			c.firstByteAt = c.lastByteAt
		}
		c.unanswered += n
	}
	if err != nil && !isTimeout(err) && !c.closed {
		c.callerLeft = true
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.unanswered = 0
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// CloseWrite closes the sending direction. The HTTP server does so before it closes a
// connection whose request it has not read to the end.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error { return c.closeFor(CauseServer) }

// closeFor closes the connection and reports the request that this cuts, if any.
func (c *Conn) closeFor(cause Cause) error {
	c.mu.Lock()
	if c.callerLeft {
		cause = CauseCaller
	}
	now := time.Now()
	cut := Cut{
		Remote: c.RemoteAddr().String(), Cause: cause, State: c.state, Bytes: c.unanswered,
		SinceFirstByte: now.Sub(c.firstByteAt), SinceLastByte: now.Sub(c.lastByteAt),
	}
	isCut := !c.closed && c.unanswered > 0
	c.closed = true
	c.mu.Unlock()
	c.acceptor.forget(c)
	if isCut {
		c.acceptor.onCut(cut)
	}
	return c.Conn.Close()
}

func (c *Conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
	if state == http.StateIdle {
		c.waitingSince = time.Now()
	}
}

// isExpired reports whether the connection has waited for a request for longer than its
// limit.
func (c *Conn) isExpired(now time.Time, limits Limits) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	waited := now.Sub(c.waitingSince)
	switch c.state {
	case http.StateNew:
		return waited > max(limits.Head, limits.Idle)
	case http.StateIdle:
		return waited > limits.Idle
	default:
		return false
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error) //nolint:errorlint // the connection returns it unwrapped
	return ok && timeout.Timeout()
}
