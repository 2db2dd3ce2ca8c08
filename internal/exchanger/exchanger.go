// Package exchanger makes single HTTP/1.1 exchanges with backend servers over
// kept connections. It never repeats a request by itself, and it tells apart
// what certainly never reached a server from what may have.
//
// net/http's transport is no base for this: it sends a GET again by itself on a
// kept connection that dies, and doesn't say whether bytes were written.
package exchanger

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
	"github.com/fuchsiastile/fuchsiastile/internal/failer"
)

// Kind is the kind of an Error.
type Kind string

// The kinds of errors of this package. After all but KindReplyLost the server
// cannot have seen the request.
const (
	// KindDial means that no connection came about.
	KindDial Kind = "dialFailed"
	// KindConnectionLimit means that the connection limit is reached.
	KindConnectionLimit Kind = "connectionLimit"
	// KindUnsent means that the time was up before a byte was written.
	KindUnsent Kind = "unsent"
	// KindReplyLost means that the request went out and no whole reply came back.
	KindReplyLost Kind = "replyLost"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	// maxReplyBytes is the largest reply body that is read.
	maxReplyBytes = 4 << 20
	// dialTimeout bounds a new connection: twice the round trip between regions
	// and the servers' handshake, far below the second after which a dropped
	// opening packet is sent again.
	dialTimeout = 250 * time.Millisecond
	// readBuffer and writeBuffer hold a usual reply's head and a usual request.
	readBuffer  = 1 << 10
	writeBuffer = 1 << 10
	// maxForeign is how many replies to other requests are skipped on a connection.
	maxForeign = 2
	// defaultIdle is how long an unused connection is kept where the server names no time.
	defaultIdle = 8 * time.Second
	// maxIdle bounds how long an unused connection is kept whatever the server says.
	maxIdle = 30 * time.Second
	// idleMargin is kept from the server's own idle time, so that a request does
	// not cross the close.
	idleMargin = 500 * time.Millisecond
	// resetTime is how soon after a new connection a server that has too many
	// resets it.
	resetTime = 2 * time.Millisecond
	// silentAfter is how long a connection says nothing to a request before other
	// unused connections to that server are distrusted, too.
	silentAfter = time.Second
)

// Request is one request as it goes on the wire.
type Request struct {
	Method string
	// Target is the path and query, sent unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// CheckNewConnection has a new connection looked at before the request goes out: a server
	// that has too many resets it at once, and then nothing was sent.
	CheckNewConnection bool
	// Owns reports whether a reply's head belongs to this request.
	Owns func(http.Header) bool
}

// Reply is one whole reply.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// NewConnection reports whether the connection was made for this request.
	NewConnection bool
}

// Exchanger holds the kept connections. It is safe for concurrent use.
type Exchanger struct {
	network dialer.Network
	// onDial counts new connections.
	onDial func()

	mu    sync.Mutex
	hosts map[string]*host
}

// host is the connections to one server process.
type host struct {
	// idle holds unused connections, the last used one last.
	idle []*conn
	// open counts connections, those being made included.
	open int
}

// conn is one connection; one request at a time is on it.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// usableUntil is when the server may close it for being unused.
	usableUntil time.Time
}

// New returns an exchanger without connections.
func New(network dialer.Network, onDial func()) *Exchanger {
	return &Exchanger{network: network, onDial: onDial, hosts: map[string]*host{}}
}

// Target is the server of an exchange.
type Target struct {
	// Key names the process; connections are never shared between keys.
	Key     string
	Address string
	// Limit is how many connections may be open to it.
	Limit int
}

// Do sends a request and reads its reply. The context bounds all of it; when it
// ends after the request went out, the connection is closed, which tells the
// server to stop.
func (e *Exchanger) Do(ctx context.Context, target Target, request Request) (Reply, error) {
	c, fresh, err := e.take(ctx, target)
	if err != nil {
		return Reply{}, err
	}
	if ctx.Err() != nil {
		e.giveBack(target.Key, c)
		return Reply{}, failer.Wrap("send", KindUnsent, ctx.Err())
	}
	if fresh && request.CheckNewConnection {
		time.Sleep(resetTime)
		if !isQuiet(c) {
			e.discard(target.Key, c)
			return Reply{}, failer.New("connect", KindDial, "the server closed the new connection")
		}
	}
	started := time.Now()
	reply, reusable, err := e.exchange(ctx, c, request)
	if !reusable {
		e.discard(target.Key, c)
	} else {
		e.giveBack(target.Key, c)
	}
	if err != nil {
		if time.Since(started) >= silentAfter {
			e.CloseIdle(target.Key)
		}
		return Reply{}, failer.Wrap("exchange with "+target.Address, KindReplyLost, err)
	}
	reply.NewConnection = fresh
	return reply, nil
}

// take returns an unused connection that is still sound, or makes one.
func (e *Exchanger) take(ctx context.Context, target Target) (*conn, bool, error) {
	for {
		c, ok := e.pop(target.Key)
		if !ok {
			break
		}
		if time.Now().Before(c.usableUntil) && isQuiet(c) {
			return c, false, nil
		}
		e.discard(target.Key, c)
	}
	if !e.reserve(target) {
		return nil, false, failer.New("connect", KindConnectionLimit, "%d connections to %s are open", target.Limit, target.Address)
	}
	c, err := e.dial(ctx, target.Address)
	if err != nil {
		e.release(target.Key)
		return nil, false, failer.Wrap("connect", KindDial, err)
	}
	return c, true, nil
}

// Preconnect makes a connection to a server that has none, so that a request which
// is in a hurry need not wait for it.
func (e *Exchanger) Preconnect(ctx context.Context, target Target) error {
	if e.HasConnection(target.Key) || !e.reserve(target) {
		return nil
	}
	c, err := e.dial(ctx, target.Address)
	if err != nil {
		e.release(target.Key)
		return failer.Wrap("warm", KindDial, err)
	}
	e.giveBack(target.Key, c)
	return nil
}

func (e *Exchanger) pop(key string) (*conn, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h, ok := e.hosts[key]
	if !ok || len(h.idle) == 0 {
		return nil, false
	}
	c := h.idle[len(h.idle)-1]
	h.idle = h.idle[:len(h.idle)-1]
	return c, true
}

func (e *Exchanger) reserve(target Target) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	h, ok := e.hosts[target.Key]
	if !ok {
		h = &host{}
		e.hosts[target.Key] = h
	}
	if h.open >= target.Limit {
		return false
	}
	h.open++
	return true
}

func (e *Exchanger) release(key string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.hosts[key]
	h.open--
	if h.open == 0 {
		delete(e.hosts, key)
	}
}

func (e *Exchanger) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	e.onDial()
	made, err := e.network.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: made, reader: bufio.NewReaderSize(made, readBuffer)}, nil
}

func (e *Exchanger) discard(key string, c *conn) {
	_ = c.Close()
	e.release(key)
}

func (e *Exchanger) giveBack(key string, c *conn) {
	if c.usableUntil.IsZero() {
		c.usableUntil = time.Now().Add(defaultIdle)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.hosts[key]
	h.idle = append(h.idle, c)
}

// CloseIdle closes the unused connections to a server.
func (e *Exchanger) CloseIdle(key string) {
	e.mu.Lock()
	h, ok := e.hosts[key]
	if !ok {
		e.mu.Unlock()
		return
	}
	idle := h.idle
	h.idle = nil
	e.mu.Unlock()
	for _, c := range idle {
		e.discard(key, c)
	}
}

// Sweep closes connections that were unused for too long, and all unused ones
// to servers that are not to be kept.
func (e *Exchanger) Sweep(now time.Time, keep map[string]bool) {
	type victim struct {
		key string
		c   *conn
	}
	var victims []victim
	e.mu.Lock()
	for key, h := range e.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if keep[key] && now.Before(c.usableUntil) {
				kept = append(kept, c)
				continue
			}
			victims = append(victims, victim{key, c})
		}
		h.idle = kept
	}
	e.mu.Unlock()
	for _, v := range victims {
		e.discard(v.key, v.c)
	}
}

// HasConnection reports whether there is a connection to a server, or one in the making.
func (e *Exchanger) HasConnection(key string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.hosts[key]
	return ok
}

// ConnectionCount returns how many connections are open.
func (e *Exchanger) ConnectionCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, h := range e.hosts {
		n += h.open
	}
	return n
}

// exchange writes a request and reads its reply; reusable reports whether the
// connection may carry another request.
func (e *Exchanger) exchange(ctx context.Context, c *conn, request Request) (reply Reply, reusable bool, err error) {
	deadline, _ := ctx.Deadline()
	if err := c.SetDeadline(deadline); err != nil {
		return Reply{}, false, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	written := make(chan error, 1)
	if len(request.Body) > writeBuffer {
		// A server may answer before it has read a long body.
		go func() { written <- request.write(c) }()
	} else {
		written <- request.write(c)
	}
	reply, keep, err := c.read(request)
	if err != nil {
		return Reply{}, false, err
	}
	select {
	case writeErr := <-written:
		keep = keep && writeErr == nil
	default:
		keep = false
	}
	return reply, keep && stop(), nil
}

// read takes the reply to a request, skipping what belongs to others.
func (c *conn) read(request Request) (Reply, bool, error) {
	for range maxForeign + 1 {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		if err != nil {
			return Reply{}, false, err
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
		_ = response.Body.Close()
		if response.StatusCode < http.StatusOK {
			continue
		}
		if err != nil {
			return Reply{}, false, err
		}
		if len(body) > maxReplyBytes {
			return Reply{}, false, errors.New("the reply is too large")
		}
		if !request.Owns(response.Header) {
			continue
		}
		// What follows a whole reply belongs to no request.
		keep := !response.Close && c.reader.Buffered() == 0
		c.usableUntil = time.Now().Add(idleTime(response.Header))
		return Reply{Status: response.StatusCode, Header: response.Header, Body: body}, keep, nil
	}
	return Reply{}, false, errors.New("only replies to other requests came")
}
