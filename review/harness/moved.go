package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["moved"] = playMoved }

const (
	otherService = "lohu93e"
	configApply  = 3000 * time.Millisecond
)

// playMoved lets the settings files change: the store gets another address. The operator
// then moves a route to another service.
func playMoved(ctx context.Context, t *tier, trouble bool) ([]string, error) {
	for _, service := range []string{lookupService, otherService} {
		for _, zone := range zones {
			if _, err := t.addSearcher(service, zone, 3, constant(100*time.Millisecond)); err != nil {
				return nil, err
			}
		}
	}
	r := lookupRoute("idempotent", 10*time.Second)
	t.configure(7, []route{r}, lookupService, otherService)
	for n := range 4 {
		if _, err := t.startDaemon(n + 1); err != nil {
			return nil, err
		}
	}
	if err := t.awaitReady(ctx); err != nil {
		return nil, err
	}
	time.Sleep(stableMs * time.Millisecond)
	if trouble {
		if err := t.moveStore(); err != nil {
			return nil, err
		}
		time.Sleep(stableMs*time.Millisecond + time.Second)
	}
	r["service"] = otherService
	t.configure(8, []route{r}, lookupService, otherService)
	acknowledged := time.Now()

	var mu sync.Mutex
	var broken []string
	served := 0
	var wait sync.WaitGroup
	for n := range 90 {
		wait.Go(func() {
			c := call{method: http.MethodGet, host: lookupHost, path: fmt.Sprintf("/goka902/%x", n), id: newID(), deadline: 10 * time.Second}
			sent := time.Now()
			a := ask(t.rec, t.daemons[n%len(t.daemons)].front(), c)
			mu.Lock()
			defer mu.Unlock()
			if a.status == http.StatusOK {
				served++
			}
			if sent.Sub(acknowledged) > configApply && strings.HasPrefix(a.stamp, lookupService+".") {
				broken = append(broken, fmt.Sprintf("CONFIG: %s, sent %.1f s after the acknowledgement of version 8, was run by the service of version 7", c.id, sent.Sub(acknowledged).Seconds()))
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wait.Wait()
	if served == 0 {
		return broken, fmt.Errorf("no request was served")
	}
	return broken, nil
}

// moveStore opens the store at another address and writes that into the settings files. One
// daemon in four gets SIGHUP. The old address is closed three seconds later.
func (t *tier) moveStore() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	old := t.store.address
	t.store.address = l.Addr().String()
	go func() { _ = http.Serve(l, t.store) }()
	for n, d := range t.daemons {
		if err := d.changeSettings(strings.NewReplacer(old, t.store.address)); err != nil {
			return err
		}
		if n%4 == 0 {
			d.signal(syscall.SIGHUP)
		}
	}
	t.rec.printf("the settings files name the store's new address, %s, in place of %s", t.store.address, old)
	time.Sleep(3 * time.Second)
	_ = t.store.server.Close()
	t.rec.printf("the store's old address is closed")
	return nil
}
