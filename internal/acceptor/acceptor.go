// Package acceptor accepts callers' connections for an HTTP server and ends them when they
// exceed a limit. It never closes a connection from which a byte of a request has been read,
// unless the rest takes too long. It reports the requests that a closed connection leaves
// unanswered.
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
	// CauseLimit means that the connection exceeded a limit.
	CauseLimit Cause = "limit"
	// CauseServer means that the HTTP server closed the connection.
	CauseServer Cause = "server"
)

// Cut describes a connection that was closed after bytes of a request had been read and
// before any byte of its response was written.
type Cut struct {
	Remote string
	Cause  Cause
	// IsActive reports whether the HTTP server had the head of the request.
	IsActive bool
	// Bytes is how much of the request had been read.
	Bytes int
	// SinceFirstByte and SinceLastByte are the times since its first and last read bytes.
	SinceFirstByte, SinceLastByte time.Duration
}

// Limits bound how long a caller may take.
type Limits struct {
	// New is the time from the beginning of a connection to the first byte of a request.
	New time.Duration
	// Idle is the time between a response and the first byte of the next request.
	Idle time.Duration
	// Head is the time from the first byte of a request to the end of its head.
	Head time.Duration
}

// Acceptor is the listener of an HTTP server. It is safe for concurrent use.
type Acceptor struct {
	listener net.Listener
	onCut    func(Cut)

	mu sync.Mutex
	// conns holds the open connections.
	conns map[*Conn]struct{}
}

// New returns an Acceptor that accepts connections from listener. It calls onCut for every
// cut request.
func New(listener net.Listener, onCut func(Cut)) *Acceptor {
	return &Acceptor{listener: listener, onCut: onCut, conns: map[*Conn]struct{}{}}
}

// Addr implements net.Listener.
func (a *Acceptor) Addr() net.Addr { return a.listener.Addr() }

// Accept implements net.Listener. Its connections are of type *Conn.
func (a *Acceptor) Accept() (net.Conn, error) {
	accepted, err := a.listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: accepted, acceptor: a, isNew: true, phaseSince: time.Now()}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conns[c] = struct{}{}
	return c, nil
}

// Close implements net.Listener. It leaves the accepted connections open.
func (a *Acceptor) Close() error { return a.listener.Close() }

// TrackState records the state of one of the acceptor's connections; it is an
// http.Server's ConnState hook.
func (a *Acceptor) TrackState(c net.Conn, state http.ConnState) {
	if tracked, ok := c.(*Conn); ok {
		tracked.trackState(state)
	}
}

// Sweep makes the HTTP server close the connections that exceed their limit, unless a
// request arrives first, and returns how many there are.
func (a *Acceptor) Sweep(now time.Time, limits Limits) int {
	expired := 0
	for _, c := range a.openConns() {
		if c.expire(now, limits) {
			expired++
		}
	}
	return expired
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
