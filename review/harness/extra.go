package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["extra"] = playExtra }

// The doses of the day entry { kind = "garble", how = "extra late", share = 0.6, x = 0.03,
// for_s = 5.0 }.
const (
	garbledShare   = 0.6
	garbledAnswers = 0.03
	garbledTime    = 5 * time.Second
)

// bareRefusal is a refusal as the pages' examples show it. It names no request.
const bareRefusal = "HTTP/1.1 503 Service Unavailable\r\nFuchsiastile-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

// serveRaw serves a searcher without net/http, so that it can send bytes that belong to no
// request: after a share of its answers it sends a second one late, when the next request
// on the connection has come. Its answers proper echo their requests' ids.
func (s *searcher) serveRaw(l net.Listener, extraShare func() float64) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveConnection(conn, extraShare)
	}
}

func (s *searcher) serveConnection(conn net.Conn, extraShare func() float64) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for owesExtra := false; ; owesExtra = rand.Float64() < extraShare() {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		id := r.Header.Get("Fuchsiastile-Request-Id")
		from, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
		s.mu.Lock()
		s.arrivals = append(s.arrivals, arrival{time.Now(), id, from})
		s.mu.Unlock()
		s.rec.printf("%s (%s %s, %d bytes) reaches searcher %s from daemon %s", id, r.Method, r.RequestURI, len(body), s.instance, from)
		if owesExtra {
			s.rec.printf("searcher %s sends additional bytes of an earlier answer: a refusal without an id", s.instance)
			if _, err := io.WriteString(conn, bareRefusal); err != nil {
				return
			}
		}
		if !s.answer(conn, r, id) {
			return
		}
	}
}

func (s *searcher) answer(conn net.Conn, r *http.Request, id string) bool {
	if expected := r.Header.Get("Fuchsiastile-Expect-Instance"); expected != s.instance {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nFuchsiastile-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.instance)
		return err == nil
	}
	if !s.acquire(r) {
		s.rec.printf("%s refused by searcher %s, which is full", id, s.instance)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nFuchsiastile-Request-Id: %s\r\nFuchsiastile-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	defer func() { <-s.slots }()
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.rec.printf("%s runs on searcher %s", id, s.instance)
	time.Sleep(s.work(id))
	text := "the answer to " + id
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nFuchsiastile-Request-Id: %s\r\nFuchsiastile-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", id, s.stamp(id), len(text), text)
	return err == nil
}

// addRawSearcher starts a searcher that is served by serveRaw and registers it.
func (t *tier) addRawSearcher(service, zone string, slots int, work func(string) time.Duration, extraShare func() float64) error {
	s, err := t.addSearcher(service, zone, slots, work)
	if err != nil {
		return err
	}
	_ = s.server.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	go s.serveRaw(l, extraShare)
	t.store.put("servers", s.instance, s.spec("ready", 2))
	return nil
}

// playExtra sends requests that may run once at most, while a share of the searchers sends
// additional bytes after a share of their answers.
func playExtra(ctx context.Context, t *tier, trouble bool) ([]string, error) {
	const searchers, requests, interval, garbledAfter = 5, 900, time.Second / 90, 2 * time.Second
	var garbled atomic.Bool
	for n := range searchers {
		share := func() float64 {
			if garbled.Load() && n < int(garbledShare*searchers) {
				return garbledAnswers
			}
			return 0
		}
		if err := t.addRawSearcher(lookupService, zones[n%len(zones)], 6, constant(90*time.Millisecond), share); err != nil {
			return nil, err
		}
	}
	t.configure(7, []route{lookupRoute("non_idempotent", 10*time.Second)}, lookupService)
	for n := range 3 {
		if _, err := t.startDaemon(n + 1); err != nil {
			return nil, err
		}
	}
	if err := t.awaitReady(ctx); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		time.AfterFunc(garbledAfter, func() { garbled.Store(true) })
		time.AfterFunc(garbledAfter+garbledTime, func() { garbled.Store(false) })
	}
	var wait sync.WaitGroup
	answers := make([]answer, requests)
	calls := make([]call, requests)
	for n := range requests {
		calls[n] = call{method: http.MethodPost, host: lookupHost, path: fmt.Sprintf("/goka902/%x", n), id: newID(), deadline: 10 * time.Second, body: "an order"}
		wait.Go(func() { answers[n] = ask(t.rec, t.daemons[n%len(t.daemons)].front(), calls[n]) })
		time.Sleep(interval)
	}
	wait.Wait()
	time.Sleep(500 * time.Millisecond)
	return judgeOnce(t, calls, answers)
}

// judgeOnce returns the calls that ran more than once, or ran although their answer
// promised that they had not.
func judgeOnce(t *tier, calls []call, answers []answer) (broken []string, err error) {
	served := 0
	for n, c := range calls {
		var on []string
		runs := 0
		for _, s := range t.searchers {
			if count := s.runsOf(c.id); count > 0 {
				runs += count
				on = append(on, s.instance)
			}
		}
		status := answers[n].status
		if status == http.StatusOK {
			served++
		}
		if runs > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s ran %d times, on %v", c.id, runs, on))
		}
		if runs > 0 && (status == 429 || status == 503 || status == 408 || status == 421) {
			broken = append(broken, fmt.Sprintf("REFUSED: %s was answered %d and ran on %v", c.id, status, on))
		}
	}
	t.rec.printf("%d of %d requests were served", served, len(calls))
	if served < len(calls)/2 {
		err = fmt.Errorf("only %d of %d requests were served", served, len(calls))
	}
	return broken, err
}
