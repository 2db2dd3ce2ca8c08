package main

import (
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"
)

// The case moved: the platform's store gets a new address. The settings files name it and every
// daemon gets SIGHUP; the old address is closed a while later. Then the operator writes a
// version that moves the route to another service.
const (
	movedNotice = 5 * time.Second
	// movedStable is longer than stableWindowMs, so that all machines are in touch again.
	movedStable = 7 * time.Second
	movedApply  = 3 * time.Second
	movedAsked  = 10 * time.Second
	movedRate   = 30
)

// serveAt serves the same objects at one more address.
func (s *store) serveAt(address string) (*http.Server, net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(l) }()
	return server, l, nil
}

func movedConfiguration(version int, service string) map[string]any {
	out := deskConfiguration("idempotent")
	out["version"] = version
	out["routes"].([]any)[0].(map[string]any)["service"] = service
	out["services"] = []any{
		map[string]any{"name": "desk", "healthPath": "/health", "maxConns": 248, "protocol": "h1", "tls": false},
		map[string]any{"name": "desk-new", "healthPath": "/health", "maxConns": 248, "protocol": "h1", "tls": false},
	}
	return out
}

func playMoved(w *world) (bool, error) {
	w.store.put("config", "main", movedConfiguration(7, "desk"))
	for _, service := range []string{"desk", "desk-new"} {
		for n, zone := range zones {
			c := searcherConfig{service: service, zone: zone, ip: subnet(100 + n), slots: 3, queue: 12, work: 20 * time.Millisecond}
			if _, err := startSearcher(c, "", w.store, w.arrivals, w.record); err != nil {
				return false, err
			}
		}
	}
	if err := w.startTier(daemonCount); err != nil {
		return false, err
	}
	if err := awaitReady(w.daemons, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if w.trouble {
		port, err := freePort(subnet(6))
		if err != nil {
			return false, err
		}
		server, l, err := w.store.serveAt(fmt.Sprintf("%s:%d", subnet(6), port))
		if err != nil {
			return false, err
		}
		defer func() { _ = server.Close() }()
		for _, d := range w.daemons {
			d.storeAddress = l.Addr().String()
			if err := d.writeSettings(false); err != nil {
				return false, err
			}
			d.signal(syscall.SIGHUP)
		}
		w.record.say("the settings files name the store at %s, SIGHUP to every daemon", l.Addr())
		time.Sleep(movedNotice)
		_ = w.store.server.Close()
		w.record.say("the old address is closed")
	}
	time.Sleep(movedStable)
	w.store.put("config", "main", movedConfiguration(8, "desk-new"))
	acknowledged := time.Now()
	w.record.line("version 8 is acknowledged")
	time.Sleep(movedApply)
	c := newClients(w.record, "search.example")
	for n, next := 0, time.Now(); time.Since(acknowledged) < movedApply+movedAsked; n++ {
		c.send(w.daemons[n%len(w.daemons)].caller, "GET", "/desk/2f", "", 4*time.Second)
		next = next.Add(time.Second / movedRate)
		time.Sleep(time.Until(next))
	}
	c.wait.Wait()
	ranBy := map[string]string{}
	for _, a := range w.arrivals.all() {
		if a.ran {
			ranBy[a.id] = a.service
		}
	}
	old, last := 0, time.Duration(0)
	for _, r := range c.all() {
		if sent := r.at.Sub(acknowledged); sent > movedApply && ranBy[r.id] == "desk" {
			old++
			last = max(last, sent)
		}
	}
	w.record.say("%d requests sent over 3 s after the acknowledgement, %d run by the old service, the last sent %.1f s after it", len(c.all()), old, last.Seconds())
	return old > 0, nil
}
