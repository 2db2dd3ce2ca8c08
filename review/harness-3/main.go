// Command harness-3 runs the cases of the third review: it starts daemons as separate
// processes and stand-ins of the store, the searchers and the clients, causes one
// disruption and checks one rule. It exits with 1 if the rule was broken, 0 if it held and
// 2 if the case could not run.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit statuses.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// maxDuration ends a case that hangs, its processes included.
const maxDuration = 110 * time.Second

// host is the Host header of all requests.
const host = "shop.example"

// harness is a small deployment: a store, searchers and three daemons.
type harness struct {
	trouble   bool
	record    *recorder
	store     *store
	searchers []*searcher
	daemons   []*daemon
	// root is the folder of the repository, folder that of settings and logs.
	root, folder string
	// ips are the addresses of the daemons, of the searchers and of the store.
	ips []string

	mu sync.Mutex
	// sent counts the requests of the clients.
	sent int
}

// recorder writes the record of a case.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

// log writes a line with the time since the start of the case.
func (r *recorder) log(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// cases maps the name of each case to the function that runs it and reports whether the
// rule was broken.
var cases = map[string]func(*harness) (bool, error){
	"foreign":    runForeign,
	"crowded":    runCrowded,
	"leaving":    runLeaving,
	"merged":     runMerged,
	"retryAfter": runRetryAfter,
	"inventory":  runInventory,
}

func main() {
	name := flag.String("case", "", "`name` of the case")
	file := flag.String("record", "record.txt", "`file` for the record")
	root := flag.String("root", ".", "`folder` of the repository, with the build in target/")
	flag.Parse()
	os.Exit(run(*name, *file, *root))
}

func run(name, file, root string) int {
	runCase, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "harness-3: unknown case", name)
		return exitNotRun
	}
	out, err := os.Create(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness-3:", err)
		return exitNotRun
	}
	defer func() { _ = out.Close() }()
	h := &harness{trouble: os.Getenv("TROUBLE") != "0", record: &recorder{out: out, start: time.Now()}}
	defer h.close()
	abort := func(reason string) {
		h.record.log(time.Now(), "not run to its end: %s", reason)
		h.close()
		os.Exit(exitNotRun)
	}
	defer time.AfterFunc(maxDuration, func() { abort("the case took too long") }).Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { abort("signal " + (<-signals).String()) }()
	h.record.log(time.Now(), "case %s, with the disruption: %t", name, h.trouble)
	if err := h.prepare(root); err != nil {
		h.record.log(time.Now(), "not run: %v", err)
		return exitNotRun
	}
	broken, err := runCase(h)
	switch {
	case err != nil:
		h.record.log(time.Now(), "not run: %v", err)
		return exitNotRun
	case broken:
		h.record.log(time.Now(), "the rule was broken")
		return exitBroken
	default:
		h.record.log(time.Now(), "the rule held")
		return exitHeld
	}
}

// prepare chooses addresses and starts the store and the daemons, but no searcher.
func (h *harness) prepare(root string) error {
	var err error
	if h.root, err = filepath.Abs(root); err != nil {
		return err
	}
	if h.folder, err = os.MkdirTemp("", "review-3-"); err != nil {
		return err
	}
	if h.ips, err = freeAddresses(5); err != nil {
		return err
	}
	if h.store, err = startStore(h.ips[4]); err != nil {
		return err
	}
	if err := h.configure(); err != nil {
		return err
	}
	for n, zone := range []string{"a", "b", "c"} {
		d := &daemon{name: fmt.Sprintf("front-%s-1", zone), ip: h.ips[n], zone: zone}
		if err := d.start(h.root, h.folder, h.ips[:3], h.store.address); err != nil {
			return err
		}
		h.daemons = append(h.daemons, d)
	}
	return nil
}

// close ends all processes and stand-ins that the case started.
func (h *harness) close() {
	var wait sync.WaitGroup
	for _, d := range h.daemons {
		wait.Go(d.stop)
	}
	wait.Wait()
	for _, s := range h.searchers {
		s.exit()
	}
	if h.store != nil {
		h.store.close()
	}
	if h.folder != "" {
		_ = os.RemoveAll(h.folder)
	}
}

// The services and the shards of the deployment.
const (
	serviceOrders = "order-desk"
	serviceFeed   = "stock-feed"
	shardCount    = 4
)

func shardName(n int) string { return fmt.Sprintf("pad-finder-%d", n) }

// configure writes the operator's configuration.
func (h *harness) configure() error {
	shards := make([]string, shardCount)
	services := []any{}
	for n := range shards {
		shards[n] = shardName(n)
	}
	for _, name := range append([]string{serviceOrders, serviceFeed}, shards...) {
		services = append(services, map[string]any{"name": name, "healthPath": "/health", "maxConns": 92})
	}
	route := func(name, kind string, timeout, objective int, more map[string]any) map[string]any {
		out := map[string]any{
			"name": name, "host": host, "pathPrefix": "/" + name + "/", "routeKind": kind,
			"timeoutMs": timeout, "sloMs": objective, "priority": 1, "maxAttempts": 2,
		}
		for key, value := range more {
			out[key] = value
		}
		return out
	}
	spec, err := json.Marshal(map[string]any{
		"version": 7,
		"routes": []any{
			route("orders", "non_idempotent", 4000, 1000, map[string]any{"service": serviceOrders}),
			route("feed", "idempotent", 4000, 1000, map[string]any{"service": serviceFeed}),
			route("search", "idempotent", 2500, 250, map[string]any{"gather": shards, "topK": 5, "minCoverage": 0.75}),
		},
		"services": services,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
	})
	if err != nil {
		return err
	}
	h.store.put("config", "main", spec)
	return nil
}

// addSearchers starts searchers of a service, one in each of the zones in turn, and
// registers them.
func (h *harness) addSearchers(service string, count int, work time.Duration) ([]*searcher, error) {
	var out []*searcher
	for n := range count {
		s := &searcher{id: fmt.Sprintf("i-%s-%d", service, n+1), service: service, zone: string(rune('a' + n%3)), work: work}
		if err := s.start(h.ips[3]); err != nil {
			return nil, err
		}
		out = append(out, s)
		s.register(h.store, "ready")
		go s.keepRegistered(h.store)
	}
	h.searchers = append(h.searchers, out...)
	return out, nil
}

// awaitReady waits until all daemons are ready and have discovered each other; traffic
// starts 10 s after the machines do.
func (h *harness) awaitReady() error {
	for _, d := range h.daemons {
		if err := d.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(h.record.start.Add(10 * time.Second)))
	h.record.log(time.Now(), "traffic starts")
	return nil
}

// reply is what a client got for a request.
type reply struct {
	id string
	// daemon is the index of the daemon to which the request was sent.
	daemon int
	sentAt time.Time
	status int
	header http.Header
	body   []byte
	err    error
}

// send sends a request to a daemon on a connection of its own.
func (h *harness) send(daemonIndex int, method, route string, deadline time.Duration) reply {
	h.mu.Lock()
	h.sent++
	out := reply{id: fmt.Sprintf("%016x", h.sent), daemon: daemonIndex, sentAt: time.Now()}
	h.mu.Unlock()
	request, err := http.NewRequest(method, "http://"+net.JoinHostPort(h.daemons[daemonIndex].ip, portFront)+"/"+route+"/x?n="+out.id, nil)
	if err != nil {
		out.err = err
		return out
	}
	request.Host = host
	request.Header.Set("Fuchsiastile-Request-Id", out.id)
	request.Header.Set("Fuchsiastile-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	client := &http.Client{Timeout: deadline + time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = response.Body.Close() }()
	out.status, out.header = response.StatusCode, response.Header
	out.body, out.err = io.ReadAll(response.Body)
	return out
}

// traffic sends requests at a rate, to the daemons in turn, and returns the replies once
// all have arrived.
func (h *harness) traffic(method, route string, perSecond int, duration, deadline time.Duration) []reply {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	var mu sync.Mutex
	var out []reply
	var wait sync.WaitGroup
	for n, until := 0, time.Now().Add(duration); time.Now().Before(until); n++ {
		wait.Go(func() {
			r := h.send(n%len(h.daemons), method, route, deadline)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, r)
		})
		<-ticker.C
	}
	wait.Wait()
	return out
}

// recordTraffic writes what was sent and answered.
func (h *harness) recordTraffic(replies []reply) {
	byStatus := map[int]int{}
	for _, r := range replies {
		if r.err != nil {
			byStatus[0]++
			h.record.log(r.sentAt, "request %s sent to %s: no answer: %v", r.id, h.daemons[r.daemon].name, r.err)
			continue
		}
		byStatus[r.status]++
		stamp := r.header.Get("Fuchsiastile-Server-Stamp") + r.header.Get("Fuchsiastile-Part-Stamps")
		h.record.log(r.sentAt, "request %s sent to %s: answered %d, stamp %q, %d bytes", r.id, h.daemons[r.daemon].name, r.status, stamp, len(r.body))
	}
	h.record.log(time.Now(), "%d requests sent; answers by status, 0 for none: %v", len(replies), byStatus)
}

// recordArrivals writes what reached the searchers.
func (h *harness) recordArrivals(searchers []*searcher) {
	for _, s := range searchers {
		for _, a := range s.log() {
			h.record.log(a.at, "request %s reached %s: ran %t, answered %d", a.id, s.id, a.ran, a.status)
		}
	}
}
