// Package acceptor accepts callers' connections, closes those that exceed the limits for
// idle connections, and reports the requests that a closed connection leaves unanswered.
package acceptor

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Cause is why a connection was closed.
type Cause string

// The causes of closed connections.
const (
	// CauseCaller means that the caller closed or reset the connection.
	CauseCaller Cause = "caller"
	// CauseIdle means that the connection exceeded a limit of the configuration.
	CauseIdle Cause = "idleLimit"
	// CauseServer means that the HTTP server closed the connection.
	CauseServer Cause = "server"
)

// Cut describes a connection that was closed after bytes of a request had been read and
// before any byte of its response was written.
type Cut struct {
	Remote string
	Cause  Cause
	// State is the last state that the HTTP server reported.
	State http.ConnState
	// Bytes is how much of the request had been read.
	Bytes int
	// SinceFirstByte and SinceLastByte are the times since its first and last read bytes.
	SinceFirstByte, SinceLastByte time.Duration
}

// Acceptor is the listener of an HTTP server. It is safe for concurrent use.
type Acceptor struct {
	net.Listener
	onCut func(Cut)

	mu sync.Mutex
	// conns holds the open connections.
	conns map[*Conn]struct{}
}

// New returns an Acceptor that accepts connections from listener. It calls onCut for every
// cut request.
func New(listener net.Listener, onCut func(Cut)) *Acceptor {
	return &Acceptor{Listener: listener, onCut: onCut, conns: map[*Conn]struct{}{}}
}

// Accept implements net.Listener. Its connections are of type *Conn.
func (a *Acceptor) Accept() (net.Conn, error) {
	accepted, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: accepted, acceptor: a, state: http.StateNew, waitingSince: time.Now()}
	a.mu.Lock()
	a.conns[c] = struct{}{}
	a.mu.Unlock()
	return c, nil
}

// TrackState records the state of one of the acceptor's connections; it is an
// http.Server's ConnState hook.
func (a *Acceptor) TrackState(c net.Conn, state http.ConnState) {
	if tracked, ok := c.(*Conn); ok {
		tracked.setState(state)
	}
}

// Limits bound how long a caller may take.
type Limits struct {
	// Head is the time for the head of a request.
	Head time.Duration
	// Idle is the time between a response and the next request.
	Idle time.Duration
}

// Sweep closes the connections that have been idle, or have not begun their first request,
// for longer than their limit and returns how many.
func (a *Acceptor) Sweep(now time.Time, limits Limits) int {
	closed := 0
	for _, c := range a.openConns() {
		if c.isExpired(now, limits) {
			_ = c.closeFor(CauseIdle)
			closed++
		}
	}
	return closed
}

func (a *Acceptor) openConns() []*Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]*Conn, 0, len(a.conns))
	for c := range a.conns {
		out = append(out, c)
	}
	return out
}

func (a *Acceptor) forget(c *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, c)
}
