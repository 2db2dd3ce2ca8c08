package main

import (
	"bytes"
	"compress/gzip"
	"net/http"
	"sync/atomic"
	"time"
)

// The case encoded: two of three searchers hand out wrong bytes in one of twenty answers: the
// body is compressed, though nobody asked for that.
const (
	encodedEvery    = 20
	encodedRate     = 60
	encodedFor      = 20 * time.Second
	encodedDeadline = 4 * time.Second
)

func deskConfiguration(kind string) map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-desk", "host": "search.example", "pathPrefix": "/desk/", "routeKind": kind, "timeoutMs": 4000, "sloMs": 1000,
			"priority": 1, "service": "desk", "maxAttempts": 2,
		}},
		"services": []any{map[string]any{"name": "desk", "healthPath": "/health", "maxConns": 248, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

func compressed(text string) string {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write([]byte(text))
	_ = w.Close()
	return b.String()
}

func playEncoded(w *world) (bool, error) {
	w.store.put("config", "main", deskConfiguration("non_idempotent"))
	var answers atomic.Int64
	for n, zone := range zones {
		c := searcherConfig{service: "desk", zone: zone, ip: subnet(100 + n), slots: 3, queue: 12, work: 20 * time.Millisecond}
		if n < 2 && w.trouble {
			c.reply = func(request *http.Request) string {
				id := request.Header.Get("Fuchsiastile-Request-Id")
				headers := []string{"Fuchsiastile-Request-Id: " + id, "Fuchsiastile-Server-Stamp: " + request.Header.Get("Fuchsiastile-Expect-Instance") + "." + id}
				if answers.Add(1)%encodedEvery == 0 {
					w.record.line("%s is answered with a compressed body", id)
					return httpReply("200 OK", append(headers, "Content-Encoding: gzip"), compressed("the order "+id))
				}
				return httpReply("200 OK", headers, "the order "+id)
			}
		}
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
	time.Sleep(3 * time.Second)
	c := newClients(w.record, "search.example")
	for n, next := 0, time.Now(); n < int(encodedFor.Seconds()*encodedRate); n++ {
		c.send(w.daemons[n%len(w.daemons)].caller, "POST", "/desk/2f", "an order", encodedDeadline)
		next = next.Add(time.Second / encodedRate)
		time.Sleep(time.Until(next))
	}
	c.wait.Wait()
	byStatus, wrong := map[int]int{}, 0
	for _, r := range c.all() {
		byStatus[r.status]++
		if encoding := r.header.Get("Content-Encoding"); r.status/100 == 2 && encoding != "" {
			wrong++
			w.record.line("%s: a success with Content-Encoding %s", r.id, encoding)
		}
	}
	w.record.say("answers by status %v; successes with a body that is not the searcher's: %d", byStatus, wrong)
	return wrong > 0, nil
}
