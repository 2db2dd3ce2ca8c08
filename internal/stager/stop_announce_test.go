package stager_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/pkg/caller"
)

// lateConn is a caller's connection over a network with a delay: what the daemon sends, and
// its close, arrives late.
type lateConn struct{ net.Conn }

const networkDelay = 40 * time.Millisecond

// Read implements net.Conn.
func (c lateConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	time.Sleep(networkDelay)
	return n, err
}

// countingTransport counts the requests that got no response.
type countingTransport struct {
	*http.Transport
	lost atomic.Int64
}

// RoundTrip implements http.RoundTripper.
func (c *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := c.Transport.RoundTrip(r)
	if err != nil {
		c.lost.Add(1)
	}
	return response, err
}

// newLateTransport returns a transport to the first daemon that accepts connections, as
// behind a load balancer, over a network with a delay.
func newLateTransport(t *testing.T, cluster *stager.Cluster) *countingTransport {
	t.Helper()
	transport := &http.Transport{DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
		var conn net.Conn
		var err error
		for _, d := range cluster.Daemons {
			if conn, err = (&net.Dialer{}).DialContext(ctx, network, d.Settings().CallerAddress); err == nil {
				return lateConn{conn}, nil
			}
		}
		return nil, err
	}}
	t.Cleanup(transport.CloseIdleConnections)
	return &countingTransport{Transport: transport}
}

// crossStop stops the first daemon while clients, each with a kept connection to it, send a
// request around the end of the notice. It returns the number that got no response.
func crossStop(t *testing.T, send func(client *caller.Client, ticket string) error) int {
	t.Helper()
	is := is.New(t)
	cluster := startNoticeCluster(t)
	transports := make([]*countingTransport, 40)
	stopAt := time.Now().Add(time.Second)
	var wait sync.WaitGroup
	for n := range transports {
		transports[n] = newLateTransport(t, cluster)
		client := caller.New("http://"+stager.TierHost, &http.Client{Transport: transports[n]})
		sendAt := stopAt.Add(noticePeriod - 20*time.Millisecond + time.Duration(n)*4*time.Millisecond)
		wait.Go(func() {
			ticket, err := client.Ticket(context.Background())
			if err != nil {
				t.Error(err)
				return
			}
			time.Sleep(time.Until(sendAt))
			if err := send(client, ticket); err != nil {
				t.Logf("sent %v after the notice: %v", sendAt.Sub(stopAt.Add(noticePeriod)), err)
			}
		})
	}
	time.Sleep(time.Until(stopAt))
	cluster.Daemons[0].Stop()
	wait.Wait()
	is.NoErr(<-cluster.Daemons[0].RunErr)
	lost := 0
	for _, transport := range transports {
		lost += int(transport.lost.Load())
	}
	t.Logf("%d of %d lost", lost, len(transports))
	return lost
}

// TestSearchesOfClientsThatCrossTheStopAreAnswered guards against searches of pkg/caller that
// get no answer because they cross the close of a kept connection at the end of a stop's
// notice.
func TestSearchesOfClientsThatCrossTheStopAreAnswered(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.Equal(crossStop(t, func(client *caller.Client, _ string) error {
		_, err := client.Search(context.Background(), searchRequest("parts-finder"))
		return err
	}), 0)
}

// TestTicketsOfClientsThatCrossTheStopAreAnswered guards against the same of requests for
// tickets.
func TestTicketsOfClientsThatCrossTheStopAreAnswered(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.Equal(crossStop(t, func(client *caller.Client, _ string) error {
		_, err := client.Ticket(context.Background())
		return err
	}), 0)
}

// TestSubmissionsOfClientsThatCrossTheStopCanBeRepeated guards against non-idempotent requests
// that cross the close and have no outcome when their caller repeats them with their ticket.
func TestSubmissionsOfClientsThatCrossTheStopCanBeRepeated(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var answered atomic.Int64
	crossStop(t, func(client *caller.Client, ticket string) error {
		request := searchRequest("bookings")
		request.Class, request.Key, request.Ticket = "booking", ticket, ticket
		answer, err := client.Submit(context.Background(), request)
		if answer.Outcome == caller.OutcomeUnknown {
			answer, err = client.Submit(context.Background(), request)
		}
		if answer.Outcome == caller.OutcomeAnswered {
			answered.Add(1)
		}
		return err
	})
	is.Equal(answered.Load(), int64(40))
}
