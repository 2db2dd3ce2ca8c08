//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/stager"
)

const (
	// stableWindow is stableWindowMs of a small deployment, stopGrace its graceS.
	stableWindow = 5 * time.Second
	stopGrace    = 6 * time.Second
	// stopCounted is how long after graceS the end of a request counts.
	stopCounted = time.Second
	// sentEarly is how long after the signal a request may be sent for its searcher's work
	// to excuse a cut.
	sentEarly = 3 * time.Second
	// stopWork is the mean work of an order-lookup at a searcher, and stopWait how long its
	// caller waits, which is also the timeout of the route.
	stopWork = 220 * time.Millisecond
	stopWait = 10 * time.Second

	// The callers connect and send their heads in the first lastConnect after the signal,
	// while the balancer still uses the daemon. Their bodies are whole firstWhole to
	// lastWhole after it.
	stopCallers = 50
	lastConnect = 1500 * time.Millisecond
	firstWhole  = 3100 * time.Millisecond
	lastWhole   = 5550 * time.Millisecond
	// stopBody is the size of a body, in bytes, and stopPieces the number of its pieces.
	stopBody   = 100_000
	stopPieces = 50
)

// outcome is what a caller saw of one request.
type outcome struct {
	id string
	// whole is when the last byte was sent, done when the request ended, after the signal.
	whole, done time.Duration
	status      int
	err         error
}

// runStop stops one of three daemons while callers on slow lines send it requests that
// must not run twice. It reports whether each request that was passed on was answered.
func runStop(b *bench, trouble bool) (held bool, err error) {
	if err := b.start(stager.TierConfig{Domains: []string{"a", "b", "c"}, DaemonsPerDomain: 1, Shards: 3, SingleSearchersPerDomain: 9, ServiceTime: stopWork}); err != nil {
		return false, errors.Join(errNotRun, err)
	}
	c := b.tier.InitialConfiguration()
	c.Version++
	for i := range c.Routes {
		c.Routes[i].Timeout = stopWait
	}
	b.tier.Apply(c)
	time.Sleep(stableWindow + time.Second)
	target := b.daemons[0]
	signalled := time.Now()
	if trouble {
		b.note("SIGTERM to %s", target.Settings.Name)
		if err := target.process.Process.Signal(syscall.SIGTERM); err != nil {
			return false, errors.Join(errNotRun, err)
		}
	}
	outcomes := make([]outcome, stopCallers)
	var wait sync.WaitGroup
	for n := range outcomes {
		wait.Go(func() { outcomes[n] = sendSlowly(target.Settings.CallerAddress, signalled, n) })
	}
	wait.Wait()
	broken, answered := 0, 0
	for _, o := range outcomes {
		runs := b.runs(o.id)
		b.note("request %s: last byte sent at %.3f s, ended at %.3f s, status %d, runs %d, error %v", o.id, o.whole.Seconds(), o.done.Seconds(), o.status, runs, o.err)
		switch {
		case o.err == nil:
			answered++
		case runs > 0 && o.whole > sentEarly && o.done < stopGrace+stopCounted:
			broken++
		}
	}
	b.note("%d requests answered; %d ran at a searcher and ended without an answer, sent later than %v after the signal", answered, broken, sentEarly)
	if answered == 0 {
		return false, fmt.Errorf("%w: no request was answered", errNotRun)
	}
	return broken == 0, nil
}

// sendSlowly sends the n-th request on a connection of its own, in the pace of a slow line.
func sendSlowly(address string, signalled time.Time, n int) (o outcome) {
	o.id = fmt.Sprintf("%016x", 0x5709000+n)
	await := func(d time.Duration) { time.Sleep(time.Until(signalled.Add(d))) }
	begin := lastConnect * time.Duration(n) / stopCallers
	end := firstWhole + (lastWhole-firstWhole)*time.Duration(n)/(stopCallers-1)
	await(begin)
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		o.err = err
		return o
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(stopWait + 5*time.Second))
	head := fmt.Sprintf("POST %sorder HTTP/1.1\r\nHost: %s\r\nFuchsiastile-Request-Id: %s\r\nFuchsiastile-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		stager.AtMostOncePath, stager.TierHost, o.id, stopWait.Milliseconds(), stopBody)
	if _, o.err = io.WriteString(conn, head); o.err != nil {
		return o
	}
	piece := strings.Repeat("x", stopBody/stopPieces)
	for k := range stopPieces {
		await(begin + (end-begin)*time.Duration(k+1)/stopPieces)
		if _, o.err = io.WriteString(conn, piece); o.err != nil {
			return o
		}
	}
	o.whole = time.Since(signalled)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		o.status = response.StatusCode
		_, err = io.Copy(io.Discard, response.Body)
	}
	o.done, o.err = time.Since(signalled), err
	return o
}
