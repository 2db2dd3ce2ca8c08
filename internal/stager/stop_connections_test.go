package stager_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/loader"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/pkg/caller"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// noticePeriod is the readiness delay of startNoticeCluster's daemons.
const noticePeriod = 500 * time.Millisecond

// startNoticeCluster starts a cluster whose daemons stop within 3 s, and returns it.
func startNoticeCluster(t *testing.T) *stager.Cluster {
	t.Helper()
	return startCluster(t, 1, func(c *stager.Config) {
		for i := range c.Declarations.Classes {
			c.Declarations.Classes[i].Deadline = declarer.Duration(time.Second)
		}
		c.ModifySettings = func(s *loader.Settings) {
			s.Shutdown.ReadinessDelay = declarer.Duration(noticePeriod)
			s.Shutdown.DrainTimeout = declarer.Duration(2500 * time.Millisecond)
		}
	})
}

// timedSearch is a search whose request is sent at given times, and its response.
type timedSearch struct {
	// conn is the caller's connection; it is opened at dialAt if it is nil. The first
	// partLength bytes are sent at partAt and the rest at wholeAt.
	conn                    net.Conn
	dialAt, partAt, wholeAt time.Time
	partLength              int

	status int
	// closes reports whether the response announces the end of the connection.
	closes bool
	body   string
	err    error
}

// run sends the search and reads the whole response.
func (s *timedSearch) run(address string) {
	if s.conn == nil {
		time.Sleep(time.Until(s.dialAt))
		if s.conn, s.err = net.Dial("tcp", address); s.err != nil {
			return
		}
		defer func() { _ = s.conn.Close() }()
	}
	body := `{"q":"wheel"}`
	request := fmt.Sprintf("POST /v1/search/parts-finder HTTP/1.1\r\nHost: %s\r\n%s: counter\r\nContent-Length: %d\r\n\r\n%s", stager.TierHost, caller.HeaderClass, len(body), body)
	time.Sleep(time.Until(s.partAt))
	if _, s.err = io.WriteString(s.conn, request[:s.partLength]); s.err != nil {
		return
	}
	time.Sleep(time.Until(s.wholeAt))
	if _, s.err = io.WriteString(s.conn, request[s.partLength:]); s.err != nil {
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(s.conn), nil)
	if err != nil {
		s.err = err
		return
	}
	content, err := io.ReadAll(response.Body)
	s.status, s.closes, s.body, s.err = response.StatusCode, response.Close, string(content), err
}

// keptConnection opens a connection to a daemon that has served a request and stays open.
func keptConnection(t *testing.T, d *stager.Node) net.Conn {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", d.Settings().CallerAddress)
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "GET /ready HTTP/1.1\r\nHost: %s\r\n\r\n", stager.TierHost)
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.True(!response.Close)
	return conn
}

// checkAnsweredAtStop stops a daemon at stopAt while the searches run, and checks that each
// gets an answer or a refusal that says that it was not run.
func checkAnsweredAtStop(t *testing.T, cluster *stager.Cluster, stopAt time.Time, searches []timedSearch) {
	t.Helper()
	is := is.New(t)
	stopped := cluster.Daemons[0]
	var wait sync.WaitGroup
	for n := range searches {
		wait.Go(func() { searches[n].run(stopped.Settings().CallerAddress) })
	}
	time.Sleep(time.Until(stopAt))
	stopped.Stop()
	wait.Wait()
	is.NoErr(<-stopped.RunErr)
	noticeEnd := stopAt.Add(noticePeriod)
	for _, s := range searches {
		t.Logf("%d bytes %v, whole %v after the notice: status %d, %.80s, %v", s.partLength, s.partAt.Sub(noticeEnd).Round(time.Millisecond),
			s.wholeAt.Sub(noticeEnd).Round(time.Millisecond), s.status, s.body, s.err)
		if s.err != nil {
			t.Errorf("a search got neither an answer nor a refusal: %v", s.err)
			continue
		}
		if s.status != http.StatusOK {
			is.Equal(s.status, http.StatusServiceUnavailable)
			is.True(strings.Contains(s.body, `"outcome":"notRun"`))
		}
		is.True(s.closes)
	}
}

// TestSearchesOnNewConnectionsAtStopAreAnswered guards against a stopping daemon that closes
// connections it accepted before its notice ended, though a search is read from them after it.
func TestSearchesOnNewConnectionsAtStopAreAnswered(t *testing.T) {
	t.Parallel()
	cluster := startNoticeCluster(t)
	stopAt := time.Now().Add(500 * time.Millisecond)
	searches := make([]timedSearch, 30)
	for n := range searches {
		s := &searches[n]
		s.dialAt = stopAt.Add(noticePeriod - 350*time.Millisecond + time.Duration(n)*5*time.Millisecond)
		s.partAt = s.dialAt.Add(400 * time.Millisecond)
		s.wholeAt = s.partAt
	}
	checkAnsweredAtStop(t, cluster, stopAt, searches)
}

// TestSearchesOnKeptConnectionsAtStopAreAnswered guards against a stopping daemon that takes
// a kept connection for idle, and closes it, while the head of a search is arriving.
func TestSearchesOnKeptConnectionsAtStopAreAnswered(t *testing.T) {
	t.Parallel()
	cluster := startNoticeCluster(t)
	searches := make([]timedSearch, 30)
	for n := range searches {
		searches[n].conn = keptConnection(t, cluster.Daemons[0])
	}
	stopAt := time.Now().Add(100 * time.Millisecond)
	for n := range searches {
		s := &searches[n]
		s.partLength = 1 + n*3
		s.partAt = stopAt.Add(noticePeriod - 200*time.Millisecond + time.Duration(n)*5*time.Millisecond)
		s.wholeAt = s.partAt.Add(300 * time.Millisecond)
	}
	checkAnsweredAtStop(t, cluster, stopAt, searches)
}
