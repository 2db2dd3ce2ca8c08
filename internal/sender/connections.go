package sender

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
)

// recheckTime is how often a dial that waits looks whether the limit has risen;
// well within dialTimeout.
const recheckTime = 50 * time.Millisecond

// connections counts what this daemon holds open to one searcher, over all
// lanes that it had, so that a lane that takes another one's place opens none
// before the old one has closed its own.
type connections struct {
	mu   sync.Mutex
	open int
	// freed is closed, and made anew, when one is closed.
	freed chan struct{}
}

func newConnections() *connections { return &connections{freed: make(chan struct{})} }

// held returns the count of a searcher's connections.
func (s *Sender) held(searcher string) *connections {
	held, _ := s.connections.LoadOrCompute(searcher, func() (*connections, bool) { return newConnections(), false })
	return held
}

// dialer opens connections, never more at a time than the limit in force,
// within dialTimeout.
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

// acquire waits until one more connection may be opened.
func (c *connections) acquire(ctx context.Context, limit func() int) error {
	for {
		c.mu.Lock()
		if c.open < limit() {
			c.open++
			c.mu.Unlock()
			return nil
		}
		freed := c.freed
		c.mu.Unlock()
		timer := time.NewTimer(recheckTime)
		select {
		case <-freed:
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
	close(c.freed)
	c.freed = make(chan struct{})
}

// idle reports whether none is open.
func (c *connections) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open == 0
}

// countedConn gives its place back when it is closed.
type countedConn struct {
	net.Conn
	release func()
}

// Close closes the connection and lets another be opened.
func (c *countedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
