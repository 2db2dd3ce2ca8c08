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

// TestLanesShareConnections: a lane that takes another's place, as when the
// gateways of a searcher change, opens no connection beyond the limit in force
// while the old lane's are still open.
func TestLanesShareConnections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	network := dialer.Network{Dial: func(context.Context, string, string) (net.Conn, error) {
		near, _ := net.Pipe()
		return near, nil
	}}
	held := newConnections()
	var limit atomic.Int64
	limit.Store(1)
	dial := held.dialer(network, func() int { return int(limit.Load()) })
	dialFor := func(span time.Duration) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(t.Context(), span)
		defer cancel()
		return dial(ctx, "tcp", "192.0.2.1:80")
	}

	old, err := dialFor(time.Minute)
	is.NoErr(err)
	_, err = dialFor(20 * time.Millisecond)
	is.True(err != nil) // The old lane's connection is still open.

	go func() { _ = old.Close() }()
	second, err := dialFor(time.Minute)
	is.NoErr(err)
	is.NoErr(old.Close()) // Closing twice gives one place back.
	_, err = dialFor(20 * time.Millisecond)
	is.True(err != nil)

	limit.Store(2)
	third, err := dialFor(time.Minute)
	is.NoErr(err)
	is.NoErr(second.Close())
	is.NoErr(third.Close())
	is.True(held.idle())
}
