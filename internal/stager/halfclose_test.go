package stager_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/pkg/caller"
)

// leaveAfter sends a request, ends the connection with leave after a time and returns what
// the daemon sends until it closes the connection; nil if that is no response.
func leaveAfter(t *testing.T, address, request string, wait time.Duration, leave func(*net.TCPConn) error) *stager.Reply {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return nil
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, request); err != nil {
		t.Error(err)
		return nil
	}
	time.Sleep(wait)
	if err := errors.Join(conn.SetDeadline(time.Now().Add(30*time.Second)), leave(conn.(*net.TCPConn))); err != nil {
		if !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
		return nil
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil
	}
	return &stager.Reply{Status: response.StatusCode, Header: response.Header, Body: body}
}

// TestHalfClosedConnectionsAreNotReportedAsNotRun guards against an outcome of "not run" for
// requests that run: a caller that ends its sending direction may read on.
func TestHalfClosedConnectionsAreNotReportedAsNotRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	cluster := startCluster(t, 1, nil)
	for _, service := range []string{"parts-finder", "bookings"} {
		for _, searcher := range cluster.SearchersOf(service) {
			searcher.SetFaults(emulator.SearcherFaults{SlowFactor: 100})
		}
	}
	var wait sync.WaitGroup
	for n := range 24 {
		path, class, ticket := "/v1/search/parts-finder", "counter", ""
		if n%2 == 0 {
			path, class = "/v1/once/bookings/a", "booking"
			var err error
			ticket, err = cluster.Client(n % len(cluster.Daemons)).Ticket(t.Context())
			is.NoErr(err)
		}
		wait.Go(func() {
			request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\n%s: %s\r\n%s: %s\r\nContent-Length: 2\r\n\r\n{}",
				path, caller.HeaderClass, class, caller.HeaderTicket, ticket)
			// The slow searchers take about 400 ms; within 60 ms all requests run.
			reply := leaveAfter(t, cluster.Daemons[n%len(cluster.Daemons)].Settings().CallerAddress, request, 60*time.Millisecond, (*net.TCPConn).CloseWrite)
			if reply == nil {
				t.Errorf("%s: no response", path)
				return
			}
			var answer caller.Answer
			if err := json.Unmarshal(reply.Body, &answer); err != nil || answer.Outcome == caller.OutcomeNotRun {
				t.Errorf("%s: status %d, %s", path, reply.Status, reply.Body)
			}
		})
	}
	wait.Wait()
}
