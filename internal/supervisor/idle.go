package supervisor

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxServerTimeout is the HTTP servers' own header and idle timeout. It is far
	// above the limits that configurations declare for callers and applies only if
	// idleCloser does not.
	maxServerTimeout = 5 * time.Minute
	// defaultIdleTimeout and defaultHeaderTimeout apply until the daemon has a
	// configuration, and if the configuration sets no limit.
	defaultIdleTimeout   = time.Minute
	defaultHeaderTimeout = 10 * time.Second
	// idleSweepInterval is how often idle connections are checked. A connection is
	// closed up to this long after its limit, never before it, so that a caller
	// that keeps to the limit does not race with the close.
	idleSweepInterval = time.Second
)

// idleCloser closes callers' connections that have been idle, or have not begun
// their first request, for longer than the configured limits. It exists because
// the limits change with the configuration, while the timeouts of an http.Server
// are fixed once it serves.
type idleCloser struct {
	mu sync.Mutex
	// conns holds the connections without a request in progress.
	conns map[net.Conn]idleConn
}

type idleConn struct {
	since time.Time
	// isNew is set until the connection's first request begins.
	isNew bool
}

func newIdleCloser() *idleCloser { return &idleCloser{conns: map[net.Conn]idleConn{}} }

// trackState records a connection's state; it is an http.Server's ConnState hook.
func (i *idleCloser) trackState(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		i.conns[c] = idleConn{since: time.Now(), isNew: state == http.StateNew}
	case http.StateActive, http.StateClosed, http.StateHijacked:
		delete(i.conns, c)
	}
}

// sweep closes the connections that have been idle for longer than their limit
// and returns how many. A limit of zero or less means the default.
func (i *idleCloser) sweep(now time.Time, header, idle time.Duration) int {
	if header <= 0 {
		header = defaultHeaderTimeout
	}
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	i.mu.Lock()
	var expired []net.Conn
	for c, state := range i.conns {
		limit := idle
		if state.isNew {
			limit = max(header, idle)
		}
		if now.Sub(state.since) > limit {
			expired = append(expired, c)
			delete(i.conns, c)
		}
	}
	i.mu.Unlock()
	for _, c := range expired {
		// The server reports the close through trackState.
		_ = c.Close()
	}
	return len(expired)
}
