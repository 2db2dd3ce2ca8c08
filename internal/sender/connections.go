package sender

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
)

// limitRecheckInterval is how often a waiting dial checks whether the connection
// limit was raised. It is well below dialTimeout.
const limitRecheckInterval = 50 * time.Millisecond

// connections counts this daemon's open connections to one searcher and enforces
// their limit. The count covers replaced upstreams, too, so that a new upstream
// opens connections only as its predecessor's are closed.
type connections struct {
	mu   sync.Mutex
	open int
	// released is closed and replaced whenever a connection is closed.
	released chan struct{}
}

func newConnections() *connections { return &connections{released: make(chan struct{})} }

// conns returns the connection count of a searcher.
func (s *Sender) conns(searcher string) *connections {
	conns, _ := s.connections.LoadOrCompute(searcher, func() (*connections, bool) { return newConnections(), false })
	return conns
}

// dialer returns a dial function that keeps the number of open connections within
// the current limit. dialTimeout bounds the wait for the limit and the dial
// together.
func (c *connections) dialer(network dialer.Network, limit func() int) func(ctx context.Context, kind, address string) (net.Conn, error) {
	return func(ctx context.Context, kind, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		if err := c.acquire(ctx, limit); err != nil {
			return nil, &net.OpError{Op: "dial", Net: kind, Err: err}
		}
		conn, err := network.Dial(ctx, kind, address)
		if err != nil {
			c.release()
			return nil, err
		}
		return &countedConn{Conn: conn, release: sync.OnceFunc(c.release)}, nil
	}
}

// acquire waits until the limit allows another connection and counts it.
func (c *connections) acquire(ctx context.Context, limit func() int) error {
	for {
		c.mu.Lock()
		if c.open < limit() {
			c.open++
			c.mu.Unlock()
			return nil
		}
		released := c.released
		c.mu.Unlock()
		timer := time.NewTimer(limitRecheckInterval)
		select {
		case <-released:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

func (c *connections) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	close(c.released)
	c.released = make(chan struct{})
}

// idle reports whether no connection is open.
func (c *connections) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open == 0
}

// countedConn is a connection that is counted until it is closed.
type countedConn struct {
	net.Conn
	release func()
}

// Close closes the connection and no longer counts it towards the limit.
func (c *countedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
