package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["left"] = playLeft }

// playLeft lets a fifth of the clients leave before their answers. A client that leaves
// ends its sending direction, reads to the end and closes.
func playLeft(ctx context.Context, t *tier, trouble bool) ([]string, error) {
	const requests, leaveEach, leaveAfter = 60, 5, 100 * time.Millisecond
	for _, zone := range zones {
		for range 2 {
			if _, err := t.addSearcher(lookupService, zone, 3, constant(300*time.Millisecond)); err != nil {
				return nil, err
			}
		}
	}
	once := lookupRoute("non_idempotent", 10*time.Second)
	once["name"], once["pathPrefix"] = "r-bd2xq9e", "/sefo417/"
	t.configure(7, []route{lookupRoute("idempotent", 10*time.Second), once}, lookupService)
	for n := range 3 {
		if _, err := t.startDaemon(n + 1); err != nil {
			return nil, err
		}
	}
	if err := t.awaitReady(ctx); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var broken []string
	served := 0
	var wait sync.WaitGroup
	for n := range requests {
		wait.Go(func() {
			c := call{method: http.MethodGet, host: lookupHost, path: fmt.Sprintf("/goka902/%x", n), id: newID(), deadline: 10 * time.Second}
			if n%2 == 0 {
				c.method, c.path, c.body = http.MethodPost, fmt.Sprintf("/sefo417/%x", n), "an order"
			}
			d := t.daemons[n%len(t.daemons)]
			if !trouble || n%leaveEach != 0 {
				a := ask(t.rec, d.front(), c)
				mu.Lock()
				defer mu.Unlock()
				if a.status == http.StatusOK && a.stamp != "" && strings.HasSuffix(a.body, c.id) {
					served++
				}
				if a.status/100 == 2 && a.stamp == "" {
					broken = append(broken, fmt.Sprintf("MIXED: %s was answered %s", c.id, a))
				}
				return
			}
			a, err := leave(t.rec, d, c, leaveAfter)
			if err != nil {
				return
			}
			if a.status/100 == 2 && a.stamp == "" {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, fmt.Sprintf("MIXED: the client of %s %s left and got %s", c.method, c.id, a))
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	wait.Wait()
	if served == 0 {
		return broken, fmt.Errorf("no request was served")
	}
	t.rec.printf("%d of the requests were served", served)
	return broken, nil
}

// leave sends a call, closes the sending direction before its answer and reads what still
// comes on the connection.
func leave(rec *record, d *daemon, c call, after time.Duration) (answer, error) {
	conn, err := net.DialTimeout("tcp", d.front(), time.Second)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, c.text()); err != nil {
		return answer{}, err
	}
	rec.printf("%s sent to daemon %s", c.id, d.ip)
	time.Sleep(after)
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		return answer{}, err
	}
	rec.printf("%s: its client leaves", c.id)
	a := read(conn, bufio.NewReader(conn), c.method, 2*time.Second)
	rec.printf("%s: on its connection came: %s", c.id, a)
	return a, nil
}
