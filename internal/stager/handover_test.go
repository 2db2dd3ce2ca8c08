package stager_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/loader"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/pkg/caller"
)

// TestTicketsUsedDuringHandOver uses tickets at a stopping daemon that hands them over
// through slow connections. The request must wait until the successor holds the
// ticket. Without the wait, its outcome is unknown, since the ticket table is closed,
// or it runs twice.
func TestTicketsUsedDuringHandOver(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var writeDelay atomic.Int64
	cluster := startCluster(t, 1, func(c *stager.Config) {
		c.ModifySettings = func(s *loader.Settings) { s.Shutdown.ReadinessDelay = 0 }
		c.Network = func(emulator.Domain, int) dialer.Network { return delayedWrites(&writeDelay) }
	})
	stopping := cluster.Client(0)
	tickets := make([]string, 20)
	for i := range tickets {
		ticket, err := stopping.Ticket(t.Context())
		is.NoErr(err)
		tickets[i] = ticket
	}
	writeDelay.Store(int64(400 * time.Millisecond))
	cluster.Daemons[0].Stop()
	answers := make(chan error, len(tickets))
	for i, ticket := range tickets {
		time.Sleep(20 * time.Millisecond)
		go func() {
			_, err := stopping.Submit(context.Background(), caller.Request{
				Service: "bookings", Class: "booking", Key: fmt.Sprint(i), Ticket: ticket, Body: []byte(`{}`),
			})
			answers <- err
		}()
	}
	for range tickets {
		if err := <-answers; err != nil && strings.Contains(err.Error(), "table is closed") {
			t.Error(err)
		}
	}
	is.NoErr(<-cluster.Daemons[0].RunErr)
	for ticket, n := range bookingRuns(cluster) {
		if n > 1 {
			t.Errorf("ticket %s ran %d times", ticket, n)
		}
	}
}

// delayedWrites returns a network that delays each write to a connection.
func delayedWrites(delay *atomic.Int64) dialer.Network {
	system := dialer.System()
	return dialer.Network{ListenPacket: system.ListenPacket, Dial: func(ctx context.Context, kind, address string) (net.Conn, error) {
		conn, err := system.Dial(ctx, kind, address)
		if err != nil {
			return nil, err
		}
		return &delayedConn{Conn: conn, delay: delay}, nil
	}}
}

type delayedConn struct {
	net.Conn
	delay *atomic.Int64
}

func (c *delayedConn) Write(b []byte) (int, error) {
	time.Sleep(time.Duration(c.delay.Load()))
	return c.Conn.Write(b)
}

// TestInFlightBookingsFinishAtStoppingGateway stops a gateway while it relays slow
// bookings of other daemons' callers. The gateway must finish them, and daemons that
// have been notified of its shutdown must keep their links to it until they have the
// answers.
func TestInFlightBookingsFinishAtStoppingGateway(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	cluster := startCluster(t, 1, func(c *stager.Config) {
		c.ModifySettings = func(s *loader.Settings) { s.Shutdown.ReadinessDelay = 0 }
	})
	// After this time, new gateways may open all their connections.
	time.Sleep(3 * time.Second)
	gatewayDomain := cluster.Daemons[1].Settings().FailureDomain
	drained := 0
	for _, searcher := range cluster.SearchersOf("bookings") {
		if searcher.VM.FailureDomain == gatewayDomain {
			searcher.SetFaults(emulator.SearcherFaults{SlowFactor: 300})
			continue
		}
		searcher.Drain()
		drained++
	}
	for _, d := range cluster.Daemons {
		eventually(t, "every daemon reports all drained searchers", func() bool { return len(d.Status().Draining) == drained })
	}
	const bookings = 8
	answers := make(chan error, bookings)
	for n := range bookings {
		// Only the first and last daemon serve callers; the second is the gateway.
		client := cluster.Client(n % 2 * 2)
		ticket, err := client.Ticket(t.Context())
		is.NoErr(err)
		go func() {
			_, err := client.Submit(context.Background(), caller.Request{
				Service: "bookings", Class: "booking", Key: fmt.Sprint(n), Ticket: ticket, Body: []byte(`{}`),
			})
			answers <- err
		}()
	}
	eventually(t, "every booking is running", func() bool { return len(bookingRuns(cluster)) == bookings })
	cluster.Daemons[1].Stop()
	for range bookings {
		is.NoErr(<-answers)
	}
	is.NoErr(<-cluster.Daemons[1].RunErr)
}
