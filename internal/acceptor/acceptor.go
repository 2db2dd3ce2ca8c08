// Package acceptor accepts callers' connections for an HTTP server and ends them when they
// exceed a limit or when the server stops. A request that has begun to arrive is served, or
// refused if the rest of its head takes too long; only of one that was read together with the
// request before, up to three bytes may go unnoticed. It reports the requests that a closed
// connection leaves unanswered.
//
// net/http does this differently: Shutdown closes connections that it takes for idle while
// their request is being read, and discards requests that are read after it was called.
package acceptor

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/scheduler"
)

const (
	// firstRequestWait is how long a new connection may wait for its first request while
	// the acceptor drains: its caller has only just been sent here.
	firstRequestWait = 500 * time.Millisecond
	// drainInterval is how often Drain applies its limits.
	drainInterval = 10 * time.Millisecond
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
// before the whole of its response was written.
type Cut struct {
	Remote string
	Cause  Cause
	// IsActive reports whether the HTTP server had the head of the request.
	IsActive bool
	// Bytes is how much was read after the last byte that was written.
	Bytes int
	// Written is how much of the response was written, and Err why not the rest; nil if the
	// connection was closed before it was written.
	Written int
	Err     error
	// SinceFirstByte and SinceLastByte are the times since its first and last read bytes.
	SinceFirstByte, SinceLastByte time.Duration
}

// Limits bound how long a caller may take.
type Limits struct {
	// New is the time from the beginning of a connection to the first byte of a request.
	New time.Duration
	// Idle is the time between a response and the first byte of the next request. It is
	// longer on connections whose last response was sent under a higher limit.
	Idle time.Duration
	// Head is the time from the first byte of a request to the end of its head.
	Head time.Duration
	// Forced makes Idle apply to those, too.
	Forced bool
}

// Acceptor is the listener of an HTTP server. It is safe for concurrent use.
type Acceptor struct {
	listener net.Listener
	onCut    func(Cut)
	ledger   ledger

	mu sync.Mutex
	// conns holds the open connections.
	conns map[*Conn]struct{}
	// accepting is the number of calls of Accept in progress.
	accepting int
	// waiting holds those of conns that Accept has yet to return. It is empty until stopped
	// is set.
	waiting []*Conn
	// stopped is set once the listener has been closed.
	stopped bool
}

// New returns an Acceptor that accepts connections from listener. It calls onCut for every
// cut request.
func New(listener net.Listener, onCut func(Cut)) *Acceptor {
	return &Acceptor{listener: listener, onCut: onCut, ledger: ledger{ended: map[Outcome]int{}}, conns: map[*Conn]struct{}{}}
}

// Addr implements net.Listener.
func (a *Acceptor) Addr() net.Addr { return a.listener.Addr() }

// Accept implements net.Listener. Its connections are of type *Conn. After Close it fails
// with http.ErrServerClosed.
func (a *Acceptor) Accept() (net.Conn, error) {
	a.mu.Lock()
	a.accepting++
	a.mu.Unlock()
	accepted, err := a.listener.Accept()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.accepting--
	switch {
	case err == nil:
		return a.track(accepted), nil
	case len(a.waiting) > 0:
		c := a.waiting[0]
		a.waiting = a.waiting[1:]
		return c, nil
	case a.stopped:
		return nil, http.ErrServerClosed
	default:
		return nil, err
	}
}

// track returns the connection for an accepted one. The caller holds mu.
func (a *Acceptor) track(accepted net.Conn) *Conn {
	c := &Conn{Conn: accepted, acceptor: a, isNew: true, phaseSince: time.Now()}
	a.conns[c] = struct{}{}
	return c
}

// Close implements net.Listener. It leaves the connections open that Accept has returned.
func (a *Acceptor) Close() error {
	a.mu.Lock()
	a.stopped = true
	waiting := a.waiting
	a.waiting = nil
	a.mu.Unlock()
	for _, c := range waiting {
		_ = c.Close()
	}
	return a.listener.Close()
}

// stopAccepting closes the listener. Accept goes on to return the connections that wait for
// it: the system would reset them, also those whose callers have sent a request.
func (a *Acceptor) stopAccepting() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped {
		return
	}
	a.stopped = true
	for _, accepted := range acceptWaiting(a.listener) {
		a.waiting = append(a.waiting, a.track(accepted))
	}
	_ = a.listener.Close()
}

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// Attach makes the acceptor follow the requests of a server that serves its connections. The
// server must not have begun, and must have its handler.
func (a *Acceptor) Attach(server *http.Server) {
	handler := server.Handler
	server.ConnState = a.trackState
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		c.setHandled(true)
		handler.ServeHTTP(w, r)
		c.setHandled(false)
	})
}

// trackState records the state of one of the acceptor's connections.
func (a *Acceptor) trackState(c net.Conn, state http.ConnState) {
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

// Drain closes the listener and waits until all connections are closed, also those that
// waited to be accepted. Until answerBy every request that has begun to arrive is served;
// later ones are not read any more. Connections stay open for as long as the announcement of
// their last response says. Responses must ask the callers to close their connections. If ctx
// ends first, Drain returns its error and leaves the remaining connections open.
func (a *Acceptor) Drain(ctx context.Context, head time.Duration, answerBy time.Time) error {
	a.stopAccepting()
	for !a.isDrained() {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		now := time.Now()
		limits := Limits{New: firstRequestWait, Head: head}
		if !now.Before(answerBy) {
			limits = Limits{Forced: true}
		}
		a.Sweep(now, limits)
		scheduler.Sleep(ctx, drainInterval)
	}
	return nil
}

func (a *Acceptor) isDrained() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.accepting == 0 && len(a.conns) == 0
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
