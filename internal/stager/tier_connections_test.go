package stager_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/acceptor"
	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/internal/supervisor"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// partedRequest is a request that was sent in two parts on a connection, and its answer.
type partedRequest struct {
	path, id string
	// firstBy and wholeBy are when the first part and the rest had been sent.
	firstBy, wholeBy time.Time
	// late means that the machine was too slow, so that the connection may have been closed
	// rightly.
	late  bool
	reply stager.Reply
	err   error
}

// dialCaller opens a caller's connection, on which nothing takes longer than 30 s.
func dialCaller(d *stager.TierDaemon) (net.Conn, error) {
	conn, err := net.Dial("tcp", d.Settings.CallerAddress)
	if err != nil {
		return nil, err
	}
	return conn, conn.SetDeadline(time.Now().Add(30 * time.Second))
}

// sendInParts sends the first bytes of a request's head, if any, at one time and the rest at
// another, and reads the whole answer. n chooses one of the three paths.
func sendInParts(conn net.Conn, n, first int, firstAt, restAt time.Time) partedRequest {
	r := partedRequest{path: []string{stager.ScatterGatherPath, stager.AtMostOncePath, stager.SinglePath}[n%3], id: nextID()}
	h, head := http.Header{}, &strings.Builder{}
	platform.WriteCallerHeaders(h, r.id, 10*time.Second)
	_, _ = fmt.Fprintf(head, "POST %sx HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n", r.path, stager.TierHost)
	_ = h.Write(head)
	text := head.String() + "\r\n"
	time.Sleep(time.Until(firstAt))
	_, firstErr := io.WriteString(conn, text[:first])
	r.firstBy = time.Now()
	time.Sleep(time.Until(restAt))
	_, restErr := io.WriteString(conn, text[first:])
	r.wholeBy = time.Now()
	if r.err = errors.Join(firstErr, restErr); r.err != nil {
		return r
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if r.err = err; err == nil {
		r.reply = stager.Reply{Status: response.StatusCode, Header: response.Header, Closes: response.Close}
		r.reply.Body, r.err = io.ReadAll(response.Body)
	}
	return r
}

// checkParted checks that a request got a whole answer: a success, or a refusal of one that
// has not run. It returns the number of successes.
func checkParted(t *testing.T, tier *stager.Tier, r partedRequest) int {
	t.Helper()
	switch {
	case r.err != nil:
		t.Errorf("%s: runs %d, the rest sent %v after the first part: %v", r.path, runCount(tier, r.id), r.wholeBy.Sub(r.firstBy).Round(time.Millisecond), r.err)
	case checkReply(t, tier, r.path, r.id, r.reply):
		return 1
	case r.reply.Status != http.StatusServiceUnavailable || runCount(tier, r.id) > 0:
		t.Errorf("%s: runs %d, status %d", r.path, runCount(tier, r.id), r.reply.Status)
	}
	return 0
}

// checkCallers lets callers send a request each while meanwhile runs, checks the answers to
// those that are not late, and returns the numbers of these and of the successes.
func checkCallers(t *testing.T, tier *stager.Tier, callers int, meanwhile func(), send func(n int) partedRequest) (judged, successes int) {
	t.Helper()
	is := is.New(t)
	requests := make([]partedRequest, callers)
	var wait sync.WaitGroup
	for n := range requests {
		wait.Go(func() { requests[n] = send(n) })
	}
	meanwhile()
	wait.Wait()
	for _, r := range requests {
		if !r.late {
			judged++
			successes += checkParted(t, tier, r)
		}
	}
	t.Logf("%d callers, %d in time, %d successes", callers, judged, successes)
	is.True(judged >= callers/2)
	return judged, successes
}

// keepConnections opens connections to the first daemon, on each of which a first request is
// answered. sentAt is when that request was sent, which is before the connection was idle.
func keepConnections(t *testing.T, tier *stager.Tier, callers int) (conns []net.Conn, sentAt []time.Time) {
	t.Helper()
	is := is.New(t)
	for n := range callers {
		conn, err := dialCaller(tier.Daemons[0])
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		conns, sentAt = append(conns, conn), append(sentAt, time.Now())
		is.Equal(checkParted(t, tier, sendInParts(conn, n, 0, sentAt[n], sentAt[n])), 1)
	}
	return conns, sentAt
}

// stopNotice is less than how long a stopping daemon accepts connections, 2.7 s.
const stopNotice = 2690 * time.Millisecond

func stopFirst(tier *stager.Tier, at time.Time) func() {
	return func() {
		time.Sleep(time.Until(at))
		tier.Daemons[0].Stop()
	}
}

// TestTierStopAnswersRequestsOnNewConnections guards against requests that get no answer
// because they are the first of connections that were opened just before the end of a stop's
// notice, and come just after it. A connection may be closed if it is silent for 500 ms.
func TestTierStopAnswersRequestsOnNewConnections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tier := newTier(t, nil)
	stopAt := time.Now().Add(500 * time.Millisecond)
	checkCallers(t, tier, 30, stopFirst(tier, stopAt), func(n int) partedRequest {
		step := time.Duration(n) * time.Millisecond
		time.Sleep(time.Until(stopAt.Add(2420*time.Millisecond + 7*step)))
		dialledAt := time.Now()
		conn, err := dialCaller(tier.Daemons[0])
		late := time.Since(stopAt) > stopNotice
		if err != nil {
			return partedRequest{late: late, err: err}
		}
		defer func() { _ = conn.Close() }()
		sendAt := stopAt.Add(2750*time.Millisecond + 3*step)
		r := sendInParts(conn, n, 0, sendAt, sendAt)
		r.late = late || r.wholeBy.Sub(dialledAt) > 400*time.Millisecond
		return r
	})
	is.NoErr(<-tier.Daemons[0].RunErr)
}

// TestTierStopAnswersRequestsSentInParts guards against requests that get no answer because a
// stop's notice ends between the first part of their head and the rest.
func TestTierStopAnswersRequestsSentInParts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tier := newTier(t, nil)
	conns, _ := keepConnections(t, tier, 30)
	stopAt := time.Now().Add(200 * time.Millisecond)
	checkCallers(t, tier, len(conns), stopFirst(tier, stopAt), func(n int) partedRequest {
		rest := 2900*time.Millisecond + time.Duration(n)*20*time.Millisecond
		r := sendInParts(conns[n], n, 1+4*n, stopAt.Add(2500*time.Millisecond), stopAt.Add(rest))
		r.late = r.firstBy.Sub(stopAt) > stopNotice
		return r
	})
	is.NoErr(<-tier.Daemons[0].RunErr)
}

// headLimit is the limit for heads of requests that applyLimits applies.
const headLimit = 3 * time.Second

// applyLimits applies limits for callers' connections and waits until they are in force at
// every daemon, as a route shows that comes with them.
func applyLimits(t *testing.T, tier *stager.Tier, idle time.Duration) {
	t.Helper()
	c := tier.InitialConfiguration()
	c.Version = tier.StoredConfiguration.Version + 1
	c.Limits.HeaderTimeout, c.Limits.IdleTimeout = headLimit, idle
	added := c.Routes[2]
	added.Name, added.PathPrefix = "limited", fmt.Sprintf("/limited/%d/", c.Version)
	c.Routes = append(c.Routes, added)
	tier.Apply(c)
	eventually(t, "the limits are in force", func() bool {
		for n := range tier.Daemons {
			if _, reply := sendRequest(t, tier, n, added.PathPrefix+"x"); reply.Status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// TestTierIdleLimitLeavesRequestsInProgress guards against requests that get no answer because
// their connection passes the idle limit between the first part of their head and the rest.
func TestTierIdleLimitLeavesRequestsInProgress(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tier := newTier(t, nil)
	const idle = 2 * time.Second
	applyLimits(t, tier, idle)
	conns, sentAt := keepConnections(t, tier, 30)
	judged, successes := checkCallers(t, tier, len(conns), func() {}, func(n int) partedRequest {
		firstAt := sentAt[n].Add(1500 * time.Millisecond)
		r := sendInParts(conns[n], n, 1+4*n, firstAt, firstAt.Add(1600*time.Millisecond))
		r.late = r.firstBy.Sub(sentAt[n]) > idle || r.wholeBy.Sub(r.firstBy) > headLimit
		return r
	})
	is.Equal(successes, judged)
}

// startMeasuredDaemon puts a daemon that serves its metrics at the returned URL in front of
// the tier's others.
func startMeasuredDaemon(t *testing.T, tier *stager.Tier) string {
	t.Helper()
	is := is.New(t)
	d, err := tier.WriteSettings(len(tier.Daemons), true)
	is.NoErr(err)
	l, err := net.Listen("tcp", d.Settings.IP+":0")
	is.NoErr(err)
	address := l.Addr().(*net.TCPAddr)
	is.NoErr(l.Close())
	network := dialer.Network{Dial: (&net.Dialer{LocalAddr: &net.TCPAddr{IP: address.IP}}).DialContext, ListenPacket: net.ListenPacket}
	d.Supervisor, err = supervisor.New(supervisor.Config{SettingsFile: d.SettingsFile, MetricsPort: address.Port, Network: network})
	is.NoErr(err)
	go func() { d.RunErr <- d.Run() }()
	tier.Daemons = slices.Insert(tier.Daemons, 0, d)
	eventually(t, "the daemon is ready", d.IsReady)
	return "http://" + address.String()
}

// readMetrics returns the metrics of a daemon of startMeasuredDaemon.
func readMetrics(t *testing.T, url string) string {
	t.Helper()
	is := is.New(t)
	response, err := http.Get(url)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	metrics, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return string(metrics)
}

// TestTierLoweredIdleLimitCutsNoRequest guards against requests whose connection the daemon
// closes after it has read a part of them, while a lower idle limit takes effect.
func TestTierLoweredIdleLimitCutsNoRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tier := newTier(t, nil)
	url := startMeasuredDaemon(t, tier)
	conns, _ := keepConnections(t, tier, 60)
	answered := make([][]partedRequest, len(conns))
	var wait sync.WaitGroup
	end := time.Now().Add(6 * time.Second)
	for n, conn := range conns {
		wait.Go(func() {
			rng := rand.New(rand.NewPCG(4, uint64(n)))
			for k := n; time.Now().Before(end); k++ {
				firstAt := time.Now().Add(time.Duration(rng.IntN(2000)) * time.Millisecond)
				if r := sendInParts(conn, k, 1+rng.IntN(100), firstAt, firstAt.Add(300*time.Millisecond)); r.err == nil {
					answered[n] = append(answered[n], r)
					continue
				}
				// The metrics tell whether the daemon had read any of the request.
				_ = conn.Close()
				var err error
				if conn, err = dialCaller(tier.Daemons[0]); err != nil {
					t.Error(err)
					return
				}
			}
			_ = conn.Close()
		})
	}
	time.Sleep(2 * time.Second)
	applyLimits(t, tier, time.Second)
	wait.Wait()
	requests := slices.Concat(answered...)
	is.True(len(requests) >= len(conns))
	for _, r := range requests {
		checkParted(t, tier, r)
	}
	metrics := readMetrics(t, url)
	is.True(strings.Contains(metrics, "expiredConnectionsTotal")) // the limit took effect
	for line := range strings.Lines(metrics) {
		if strings.HasPrefix(line, "cutRequestsTotal") && !strings.Contains(line, string(acceptor.CauseCaller)) && !strings.HasSuffix(line, " 0\n") {
			t.Error(line)
		}
	}
}
