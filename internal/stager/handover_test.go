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

// TestTicketsUsedDuringTheHandOver uses tickets at a daemon that is handing them
// over through slow links: the request waits until the successor holds the
// ticket, and is neither unknown nor run twice.
func TestTicketsUsedDuringTheHandOver(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var slow atomic.Int64
	stage := put(t, 1, func(c *stager.Config) {
		c.ModifySettings = func(s *loader.Settings) { s.Shutdown.ReadinessDelay = 0 }
		c.Network = func(emulator.Domain, int) dialer.Network { return slowLinks(&slow) }
	})
	leaving := stage.Client(0)
	tickets := make([]string, 20)
	for i := range tickets {
		ticket, err := leaving.Ticket(t.Context())
		is.NoErr(err)
		tickets[i] = ticket
	}
	slow.Store(int64(400 * time.Millisecond))
	stage.Daemons[0].Stop()
	answers := make(chan error, len(tickets))
	for i, ticket := range tickets {
		time.Sleep(20 * time.Millisecond)
		go func() {
			_, err := leaving.Submit(context.Background(), caller.Request{
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
	is.NoErr(<-stage.Daemons[0].RunErr)
	for ticket, n := range runs(stage) {
		if n > 1 {
			t.Errorf("ticket %s ran %d times", ticket, n)
		}
	}
}

// slowLinks delays what is written to the network.
func slowLinks(by *atomic.Int64) dialer.Network {
	system := dialer.System()
	return dialer.Network{ListenPacket: system.ListenPacket, Dial: func(ctx context.Context, kind, address string) (net.Conn, error) {
		conn, err := system.Dial(ctx, kind, address)
		if err != nil {
			return nil, err
		}
		return &slowConn{Conn: conn, by: by}, nil
	}}
}

type slowConn struct {
	net.Conn
	by *atomic.Int64
}

func (c *slowConn) Write(b []byte) (int, error) {
	time.Sleep(time.Duration(c.by.Load()))
	return c.Conn.Write(b)
}

// TestBookingsUnderWayAtAGatewayThatLeaves stops a daemon while slow bookings of
// other daemons' callers are under way through it: it finishes them, and the
// daemons that have heard of its leave still wait for their answers.
func TestBookingsUnderWayAtAGatewayThatLeaves(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	stage := put(t, 1, func(c *stager.Config) {
		c.ModifySettings = func(s *loader.Settings) { s.Shutdown.ReadinessDelay = 0 }
	})
	// New gateways may hold all their connections by now.
	time.Sleep(3 * time.Second)
	through := stage.Daemons[1].Settings().FailureDomain
	drained := 0
	for _, r := range stage.SearchersOf("bookings") {
		if r.VM.FailureDomain == through {
			r.SetFaults(emulator.SearcherFaults{SlowFactor: 300})
			continue
		}
		r.Drain()
		drained++
	}
	for _, d := range stage.Daemons {
		eventually(t, "every daemon knows where to go", func() bool { return len(d.Status().Draining) == drained })
	}
	const bookings = 8
	answers := make(chan error, bookings)
	for n := range bookings {
		// Only the first and last daemon serve callers; the second is a gateway.
		client := stage.Client(n % 2 * 2)
		ticket, err := client.Ticket(t.Context())
		is.NoErr(err)
		go func() {
			_, err := client.Submit(context.Background(), caller.Request{
				Service: "bookings", Class: "booking", Key: fmt.Sprint(n), Ticket: ticket, Body: []byte(`{}`),
			})
			answers <- err
		}()
	}
	eventually(t, "every booking runs", func() bool { return len(runs(stage)) == bookings })
	stage.Daemons[1].Stop()
	for range bookings {
		is.NoErr(<-answers)
	}
	is.NoErr(<-stage.Daemons[1].RunErr)
}
