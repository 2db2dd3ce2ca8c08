// Package exchanger is an HTTP/1.1 client for backend servers with persistent
// connections. It never retries a request, and its errors distinguish a request
// that cannot have reached the server from one that may have.
//
// net/http's Transport is unsuitable: it retries a GET when a persistent
// connection fails, and does not report whether any bytes were written.
package exchanger

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/accumulator"
	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/validator"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package. For all kinds except KindReplyLost, the
// server cannot have received the request.
const (
	// KindDial means that no connection was established, or that the server closed
	// a new one before the request was sent.
	KindDial Kind = "dialFailed"
	// KindConnectionLimit means that the connection limit has been reached.
	KindConnectionLimit Kind = "connectionLimit"
	// KindUnsent means that the context ended before any byte was written.
	KindUnsent Kind = "unsent"
	// KindReplyLost means that the request was sent but no complete reply was
	// received.
	KindReplyLost Kind = "replyLost"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	// maxReplyBytes is the maximum size of a reply body.
	maxReplyBytes = 4 << 20
	// maxHeadBytes is the maximum size of a reply's status line and headers.
	// http.ReadResponse has no limit of its own.
	maxHeadBytes = 64 << 10
	// maxBodyWireBytes is the maximum size of a reply body as sent, with its chunk
	// headers and trailer.
	maxBodyWireBytes = 2 * maxReplyBytes
	// dialTimeout limits the time to open a connection. It is twice the round trip
	// between regions and the servers' handshake, and well below the second after
	// which TCP retransmits a lost SYN.
	dialTimeout = 250 * time.Millisecond
	// readBufferSize fits the headers of a typical reply, and writeBufferSize fits a
	// typical request.
	readBufferSize  = 1 << 10
	writeBufferSize = 1 << 10
	// maxStrayReplies is the number of replies to other requests that are skipped
	// before the connection is closed.
	maxStrayReplies = 2
	// defaultIdleTimeout is how long an idle connection is kept open if the server
	// sends no Keep-Alive timeout.
	defaultIdleTimeout = 8 * time.Second
	// maxIdleTimeout limits how long an idle connection is kept open, whatever timeout
	// the server sends.
	maxIdleTimeout = 30 * time.Second
	// idleTimeoutMargin is subtracted from the server's idle timeout, so that a
	// request is not sent while the server closes the connection.
	idleTimeoutMargin = 500 * time.Millisecond
	// resetWindow is the time within which a server that is over its connection limit
	// resets a new connection.
	resetWindow = 2 * time.Millisecond
	// unresponsiveAfter is the minimum duration of a failed exchange after which the
	// idle connections to the same server are assumed to be broken too, and closed.
	unresponsiveAfter = time.Second
)

// Request is a request as it is sent to the server.
type Request struct {
	Method string
	// Target is the path and query, sent unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// CheckNewConnection makes Do check a new connection before it sends the
	// request. A server that is over its connection limit resets a new connection
	// immediately; the check ensures that the request is not sent on it.
	CheckNewConnection bool
	// Matches reports whether a reply with the given headers belongs to this request.
	Matches func(http.Header) bool
}

// Reply is a complete reply.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// NewConnection reports whether the connection was opened for this request.
	NewConnection bool
}

// Exchanger sends requests and pools connections. It is safe for concurrent use.
type Exchanger struct {
	network dialer.Network
	// onDial is called for each new connection.
	onDial func()
	bodies *accumulator.Accumulator

	mu      sync.Mutex
	servers map[string]*server
}

// New returns an Exchanger without connections. It calls onDial for each new one.
func New(network dialer.Network, onDial func()) *Exchanger {
	return &Exchanger{network: network, onDial: onDial, bodies: accumulator.New(), servers: map[string]*server{}}
}

// Target identifies the server of a request.
type Target struct {
	// Key identifies the server process; connections are never shared between keys.
	Key     string
	Address string
	// Limit is the maximum number of connections to the server.
	Limit int
}

// Do sends a request and reads its reply within the context. If the context ends
// after the request was sent, Do closes the connection, so that the server can detect
// it and stop processing the request.
func (e *Exchanger) Do(ctx context.Context, target Target, request Request) (Reply, error) {
	c, isNew, err := e.acquire(ctx, target)
	if err != nil {
		return Reply{}, err
	}
	if ctx.Err() != nil {
		e.putIdle(target.Key, c)
		return Reply{}, failer.Wrap("send", KindUnsent, ctx.Err())
	}
	if isNew && request.CheckNewConnection {
		time.Sleep(resetWindow)
		if !isReusable(c) {
			e.discard(target.Key, c)
			return Reply{}, failer.New("connect", KindDial, "server closed the new connection")
		}
	}
	started := time.Now()
	reply, reusable, err := e.exchange(ctx, c, request)
	if !reusable {
		e.discard(target.Key, c)
	} else {
		e.putIdle(target.Key, c)
	}
	if err != nil {
		if time.Since(started) >= unresponsiveAfter {
			e.CloseIdle(target.Key)
		}
		return Reply{}, failer.Wrap("exchange with "+target.Address, KindReplyLost, err)
	}
	reply.NewConnection = isNew
	return reply, nil
}

// exchange sends a request and reads its reply. It reports whether the connection can
// be reused for another request.
func (e *Exchanger) exchange(ctx context.Context, c *conn, request Request) (reply Reply, reusable bool, err error) {
	deadline, _ := ctx.Deadline()
	if err := c.SetDeadline(deadline); err != nil {
		return Reply{}, false, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	written := make(chan error, 1)
	if len(request.Body) > writeBufferSize {
		// The server may reply before it has read all of a long body.
		go func() { written <- request.writeTo(c) }()
	} else {
		written <- request.writeTo(c)
	}
	reply, canReuse, err := c.readReply(request, e.bodies)
	if err != nil {
		return Reply{}, false, err
	}
	select {
	case writeErr := <-written:
		canReuse = canReuse && writeErr == nil
	default:
		canReuse = false
	}
	return reply, canReuse && stop(), nil
}

// readReply reads the reply to a request and skips stray ones, which belong to
// other requests. It reports whether the connection can be reused.
func (c *conn) readReply(request Request, bodies *accumulator.Accumulator) (Reply, bool, error) {
	for range maxStrayReplies + 1 {
		c.limit.N = maxHeadBytes
		if err := c.checkHead(); err != nil {
			return Reply{}, false, err
		}
		response, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		if err != nil {
			return Reply{}, false, err
		}
		if err := validator.Status(response.StatusCode); err != nil {
			return Reply{}, false, err
		}
		c.limit.N = maxBodyWireBytes
		// A body that is not read to its end is not closed, since Close would read the
		// rest of it; the connection is closed instead.
		body, err := bodies.Read(response.Body, maxReplyBytes)
		if err != nil {
			return Reply{}, false, err
		}
		_ = response.Body.Close()
		if err := validator.FieldNames(response.Trailer); err != nil {
			return Reply{}, false, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if !request.Matches(response.Header) {
			continue
		}
		// Data after a complete reply belongs to no request, so the connection cannot
		// be reused.
		reusable := !response.Close && c.reader.Buffered() == 0
		c.idleDeadline = time.Now().Add(idleTimeout(response.Header))
		return Reply{Status: response.StatusCode, Header: response.Header, Body: body}, reusable, nil
	}
	return Reply{}, false, errors.New("received only replies to other requests")
}
