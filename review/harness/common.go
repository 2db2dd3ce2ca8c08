package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	lookupHost    = "hufi27.example"
	lookupService = "kafi81c"
	lookupSlo     = 1000 * time.Millisecond
)

func lookupRoute(kind string, timeout time.Duration) route {
	return route{
		"name": "r-xmibw6k", "host": lookupHost, "pathPrefix": "/goka902/", "routeKind": kind, "timeoutMs": timeout.Milliseconds(),
		"sloMs": lookupSlo.Milliseconds(), "priority": 2, "service": lookupService, "maxAttempts": 2,
	}
}

func constant(d time.Duration) func(string) time.Duration {
	return func(string) time.Duration { return d }
}

// startLookups starts six searchers and three daemons of one service and waits until the
// daemons are ready and have been in touch.
func startLookups(ctx context.Context, t *tier, work time.Duration) error {
	for _, zone := range zones {
		for range 2 {
			if _, err := t.addSearcher(lookupService, zone, 3, constant(work)); err != nil {
				return err
			}
		}
	}
	t.configure(7, []route{lookupRoute("idempotent", 10*time.Second)}, lookupService)
	for n := range 3 {
		if _, err := t.startDaemon(n + 1); err != nil {
			return err
		}
	}
	if err := t.awaitReady(ctx); err != nil {
		return err
	}
	time.Sleep(stableMs * time.Millisecond)
	return nil
}

// load is a steady load of 45 requests a second on three daemons.
type load struct {
	served atomic.Int64
	stop   chan struct{}
	wait   sync.WaitGroup
}

func startLoad(t *tier) *load {
	const clients = 45
	l := &load{stop: make(chan struct{})}
	for n := range clients {
		l.wait.Go(func() {
			time.Sleep(time.Duration(n) * time.Second / clients)
			ticker := time.NewTicker(time.Second)
			defer ticker.Stop()
			for {
				c := call{method: http.MethodGet, host: lookupHost, path: fmt.Sprintf("/goka902/%x", n), id: newID(), deadline: 10 * time.Second}
				if a := ask(t.rec, t.daemons[n%3].front(), c); a.status == http.StatusOK && a.stamp != "" {
					l.served.Add(1)
				}
				select {
				case <-ticker.C:
				case <-l.stop:
					return
				}
			}
		})
	}
	return l
}

func (l *load) end() {
	close(l.stop)
	l.wait.Wait()
}

// lateArrivals returns how the rule DRAIN was broken by requests that reached a searcher
// later than the notice after the store acknowledged that it drains or is gone.
func lateArrivals(s *searcher, acknowledged time.Time) []string {
	late := 0
	for _, a := range s.copyArrivals() {
		if a.at.Sub(acknowledged) > drainNotice {
			late++
		}
	}
	if late == 0 {
		return nil
	}
	return []string{fmt.Sprintf("DRAIN: %d requests reached searcher %s later than %s after the store's acknowledgement", late, s.instance, drainNotice)}
}
