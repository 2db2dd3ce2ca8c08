package sender

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
)

// TestReplacedUpstreamSharesConnectionLimit checks that the connections of a
// replaced upstream count towards the searcher's limit until they are closed. An
// upstream is replaced when, for example, the gateways of its searcher change.
func TestReplacedUpstreamSharesConnectionLimit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	network := dialer.Network{Dial: func(context.Context, string, string) (net.Conn, error) {
		conn, _ := net.Pipe()
		return conn, nil
	}}
	conns := newConnections()
	var limit atomic.Int64
	limit.Store(1)
	dial := conns.dialer(network, func() int { return int(limit.Load()) })
	dialWithin := func(timeout time.Duration) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		return dial(ctx, "tcp", "192.0.2.1:80")
	}

	first, err := dialWithin(time.Minute)
	is.NoErr(err)
	_, err = dialWithin(20 * time.Millisecond)
	is.True(err != nil) // The replaced upstream's connection is still open.

	go func() { _ = first.Close() }()
	second, err := dialWithin(time.Minute)
	is.NoErr(err)
	is.NoErr(first.Close()) // Closing a connection twice lowers the count only once.
	_, err = dialWithin(20 * time.Millisecond)
	is.True(err != nil)

	limit.Store(2)
	third, err := dialWithin(time.Minute)
	is.NoErr(err)
	is.NoErr(second.Close())
	is.NoErr(third.Close())
	is.True(conns.idle())
}
