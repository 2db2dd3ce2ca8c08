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
)

// The case stop: one of six daemons is stopped while callers on slow lines send it orders, which
// must not run twice.
const (
	// stopStable is longer than stableWindowMs.
	stopStable = 6 * time.Second
	// stopGrace is graceS. The end of a request counts until stopCounted after it.
	stopGrace   = 6 * time.Second
	stopCounted = time.Second
	// stopEarly is how long after the signal a request may be sent for its searcher's work
	// to excuse a cut.
	stopEarly = 3 * time.Second
	// stopWork is the work of a searcher on one order. Its caller waits for stopWait, which is
	// also the timeout of the route.
	stopWork = 220 * time.Millisecond
	stopWait = 10 * time.Second

	// The callers connect and send their heads in the first stopConnect after the signal, when
	// the balancer still uses the daemon. Their bodies are whole stopFirst to stopLast after it.
	stopCallers = 50
	stopConnect = 1500 * time.Millisecond
	stopFirst   = 3100 * time.Millisecond
	stopLast    = 5550 * time.Millisecond
	// stopBody is the size of an order in bytes. It is sent in stopPieces pieces.
	stopBody   = 100_000
	stopPieces = 50

	stopSearchers = 9
)

// slowOrder is what a caller on a slow line saw of its order.
type slowOrder struct {
	id string
	// whole is when the last byte was sent and ended when the answer or the connection ended,
	// after the signal.
	whole, ended time.Duration
	status       int
	err          error
}

func playStop(w *world) (bool, error) {
	configuration := deskConfiguration("non_idempotent")
	configuration["routes"].([]any)[0].(map[string]any)["timeoutMs"] = stopWait.Milliseconds()
	w.store.put("config", "main", configuration)
	for n := range stopSearchers {
		c := searcherConfig{service: "desk", zone: zones[n%len(zones)], ip: subnet(100 + n), slots: 3, queue: 12, work: stopWork}
		if _, err := startSearcher(c, "", w.store, w.arrivals, w.record); err != nil {
			return false, err
		}
	}
	if err := w.startTier(daemonCount); err != nil {
		return false, err
	}
	if err := awaitReady(w.daemons, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(stopStable)
	stopped := w.daemons[0]
	signalled := time.Now()
	if w.trouble {
		w.record.say("SIGTERM to %s", stopped.name)
		stopped.signal(syscall.SIGTERM)
	}
	orders := make([]slowOrder, stopCallers)
	var wait sync.WaitGroup
	for n := range orders {
		wait.Go(func() { orders[n] = sendSlowly(stopped.caller, signalled, n) })
	}
	wait.Wait()
	ran := map[string]bool{}
	for _, a := range w.arrivals.all() {
		ran[a.id] = ran[a.id] || a.ran
	}
	answered, lost := 0, 0
	for _, o := range orders {
		w.record.line("order %s: last byte sent %.3f s after the signal, ended at %.3f s, status %d, ran %v, error %v", o.id, o.whole.Seconds(), o.ended.Seconds(), o.status, ran[o.id], o.err)
		switch {
		case o.err == nil:
			answered++
		case ran[o.id] && o.whole > stopEarly && o.ended < stopGrace+stopCounted:
			lost++
		}
	}
	w.record.say("%d of %d orders answered; %d sent later than 3 s after the signal ran and ended without an answer", answered, len(orders), lost)
	if answered == 0 {
		return false, errors.New("no order was answered")
	}
	return lost > 0, nil
}

// sendSlowly sends the n-th order on a connection of its own, at the pace of a slow line.
func sendSlowly(address string, signalled time.Time, n int) (o slowOrder) {
	o.id = fmt.Sprintf("%016x", 0x5c41d07b00000000+n)
	await := func(d time.Duration) { time.Sleep(time.Until(signalled.Add(d))) }
	begin := stopConnect * time.Duration(n) / stopCallers
	end := stopFirst + (stopLast-stopFirst)*time.Duration(n)/(stopCallers-1)
	await(begin)
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		o.err = err
		return o
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(stopWait + 5*time.Second))
	head := fmt.Sprintf("POST /desk/2f HTTP/1.1\r\nHost: search.example\r\nFuchsiastile-Request-Id: %s\r\nFuchsiastile-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", o.id, stopWait.Milliseconds(), stopBody)
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
	o.ended, o.err = time.Since(signalled), err
	return o
}
