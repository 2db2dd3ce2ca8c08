package exchanger

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
)

// server holds the connections to one server process.
type server struct {
	// idle holds the idle connections, the most recently used one last.
	idle []*conn
	// connections is the number of connections, including those being opened.
	connections int
}

// conn is a connection, which carries one request at a time.
type conn struct {
	net.Conn
	// limit bounds what reader may still read from the connection. It is set before
	// each part of a reply.
	limit  *io.LimitedReader
	reader *bufio.Reader
	// idleDeadline is the time at which the server may close the idle connection.
	idleDeadline time.Time
}

// acquire returns a reusable idle connection, or opens a new one. It reports whether
// the connection is new.
func (e *Exchanger) acquire(ctx context.Context, target Target) (*conn, bool, error) {
	for {
		c, ok := e.popIdle(target.Key)
		if !ok {
			break
		}
		if time.Now().Before(c.idleDeadline) && isReusable(c) {
			return c, false, nil
		}
		e.discard(target.Key, c)
	}
	if !e.reserve(target) {
		return nil, false, failer.New("connect", KindConnectionLimit, "limit of %d connections to %s reached", target.Limit, target.Address)
	}
	c, err := e.dial(ctx, target.Address)
	if err != nil {
		e.release(target.Key)
		return nil, false, failer.Wrap("connect", KindDial, err)
	}
	return c, true, nil
}

// Preconnect opens a connection to a server that has none, so that a
// latency-critical request need not wait for connection setup.
func (e *Exchanger) Preconnect(ctx context.Context, target Target) error {
	if e.HasConnection(target.Key) || !e.reserve(target) {
		return nil
	}
	c, err := e.dial(ctx, target.Address)
	if err != nil {
		e.release(target.Key)
		return failer.Wrap("warm", KindDial, err)
	}
	e.putIdle(target.Key, c)
	return nil
}

// popIdle removes and returns the most recently used idle connection to a server.
func (e *Exchanger) popIdle(key string) (*conn, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.servers[key]
	if !ok || len(s.idle) == 0 {
		return nil, false
	}
	c := s.idle[len(s.idle)-1]
	s.idle = s.idle[:len(s.idle)-1]
	return c, true
}

// reserve counts a connection that is about to be opened, and reports false if the
// limit has been reached.
func (e *Exchanger) reserve(target Target) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.servers[target.Key]
	if !ok {
		s = &server{}
		e.servers[target.Key] = s
	}
	if s.connections >= target.Limit {
		return false
	}
	s.connections++
	return true
}

// release removes a connection that was closed or not opened from the count.
func (e *Exchanger) release(key string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.servers[key]
	s.connections--
	if s.connections == 0 {
		delete(e.servers, key)
	}
}

func (e *Exchanger) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	e.onDial()
	netConn, err := e.network.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	limit := &io.LimitedReader{R: netConn}
	return &conn{Conn: netConn, limit: limit, reader: bufio.NewReaderSize(limit, readBufferSize)}, nil
}

func (e *Exchanger) discard(key string, c *conn) {
	_ = c.Close()
	e.release(key)
}

func (e *Exchanger) putIdle(key string, c *conn) {
	if c.idleDeadline.IsZero() {
		c.idleDeadline = time.Now().Add(defaultIdleTimeout)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.servers[key]
	s.idle = append(s.idle, c)
}

// CloseIdle closes the idle connections to a server.
func (e *Exchanger) CloseIdle(key string) {
	e.mu.Lock()
	s, ok := e.servers[key]
	if !ok {
		e.mu.Unlock()
		return
	}
	idle := s.idle
	s.idle = nil
	e.mu.Unlock()
	for _, c := range idle {
		e.discard(key, c)
	}
}

// Sweep closes the idle connections whose idle deadline has passed, and all idle
// connections to servers that are not in keep.
func (e *Exchanger) Sweep(now time.Time, keep map[string]bool) {
	type item struct {
		key string
		c   *conn
	}
	var toClose []item
	e.mu.Lock()
	for key, s := range e.servers {
		kept := s.idle[:0]
		for _, c := range s.idle {
			if keep[key] && now.Before(c.idleDeadline) {
				kept = append(kept, c)
				continue
			}
			toClose = append(toClose, item{key, c})
		}
		s.idle = kept
	}
	e.mu.Unlock()
	for _, i := range toClose {
		e.discard(i.key, i.c)
	}
}

// HasConnection reports whether a connection to a server is open or being opened.
func (e *Exchanger) HasConnection(key string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.servers[key]
	return ok
}

// ConnectionCount returns the number of connections that are open or being opened.
func (e *Exchanger) ConnectionCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, s := range e.servers {
		count += s.connections
	}
	return count
}
