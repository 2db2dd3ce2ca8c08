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
	"sync/atomic"
	"time"
)

// arrival is a request that reached a searcher.
type arrival struct {
	at       time.Time
	id       string
	service  string
	instance string
	ran      bool
}

// arrivals collects the arrivals at all searchers.
type arrivals struct {
	mu   sync.Mutex
	list []arrival
}

func (a *arrivals) add(one arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, one)
}

func (a *arrivals) all() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]arrival(nil), a.list...)
}

// searcherConfig describes a stand-in searcher: it works on slots requests at a time, holds
// queue more and rejects the others with 503 and Fuchsiastile-Not-Run.
type searcherConfig struct {
	service, zone, ip string
	slots, queue      int
	work              time.Duration
	// coldFor is how long after its start the searcher is slower by coldFactor.
	coldFor    time.Duration
	coldFactor float64
	// reply overrides how a request that has run is answered; nil is a plain 200.
	reply func(request *http.Request) string
}

var instances atomic.Int64

// searcher is one incarnation of a searcher.
type searcher struct {
	config   searcherConfig
	id       string
	address  string
	store    *store
	record   *record
	arrivals *arrivals
	started  time.Time

	listener net.Listener
	stopOnce sync.Once
	stop     chan struct{}
	slots    chan struct{}
	queued   atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool
	seq   int
	state string
}

// startSearcher starts an incarnation at an address, which is drawn if empty, and
// registers it.
func startSearcher(c searcherConfig, address string, s *store, a *arrivals, r *record) (*searcher, error) {
	if address == "" {
		address = c.ip + ":0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	out := &searcher{
		config: c, id: fmt.Sprintf("i-%06x", 0x5a0000+instances.Add(1)*257), address: l.Addr().String(), store: s, record: r, arrivals: a,
		started: time.Now(), listener: l, stop: make(chan struct{}), slots: make(chan struct{}, c.slots), conns: map[net.Conn]bool{}, state: "ready",
	}
	go out.accept()
	go out.beat()
	r.line("searcher %s of %s starts at %s", out.id, c.service, out.address)
	return out, nil
}

// beat writes the searcher's entry every heartbeat.
func (s *searcher) beat() {
	for {
		s.mu.Lock()
		s.seq++
		warmup := max(0, s.config.coldFor-time.Since(s.started))
		spec := entry(s.config.service, s.address, s.config.zone, s.state, s.config.slots, s.seq, s.started.UnixMilli(), warmup.Truncate(time.Second))
		s.mu.Unlock()
		select {
		case <-s.stop:
			return
		default:
		}
		s.store.put("servers", s.id, spec)
		select {
		case <-s.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// crash ends the searcher at once; nothing is sent and its entry stays.
func (s *searcher) crash() {
	s.stopOnce.Do(func() { close(s.stop) })
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	s.record.line("searcher %s of %s crashes", s.id, s.config.service)
}

func (s *searcher) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *searcher) serve(c net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer func() {
		cancel()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	requests := make(chan *http.Request)
	go func() {
		defer cancel()
		reader := bufio.NewReader(c)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			select {
			case requests <- request:
			case <-ctx.Done():
				return
			}
		}
	}()
	for {
		select {
		case request := <-requests:
			if _, err := io.WriteString(c, s.handle(ctx, request)); err != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// handle answers a request; it drops the work once ctx ends, when the connection closes.
func (s *searcher) handle(ctx context.Context, request *http.Request) string {
	id := request.Header.Get("Fuchsiastile-Request-Id")
	if expected := request.Header.Get("Fuchsiastile-Expect-Instance"); expected != "" && expected != s.id {
		return httpReply("421 Misdirected Request", []string{"Fuchsiastile-Request-Id: " + id, "Fuchsiastile-Not-Run: 1", "Fuchsiastile-Instance-Id: " + s.id}, "")
	}
	one := arrival{at: time.Now(), id: id, service: s.config.service, instance: s.id}
	if !s.enter(ctx) {
		s.arrivals.add(one)
		s.record.line("%s at %s rejected, full", id, s.id)
		return httpReply("503 Service Unavailable", []string{"Fuchsiastile-Request-Id: " + id, "Fuchsiastile-Not-Run: 1"}, "")
	}
	one.ran = true
	s.arrivals.add(one)
	s.record.line("%s at %s runs", id, s.id)
	work := s.config.work
	if time.Since(s.started) < s.config.coldFor {
		work = time.Duration(float64(work) * s.config.coldFactor)
	}
	select {
	case <-time.After(work):
	case <-ctx.Done():
	}
	<-s.slots
	if s.config.reply != nil {
		return s.config.reply(request)
	}
	return httpReply("200 OK", []string{"Fuchsiastile-Request-Id: " + id, "Fuchsiastile-Server-Stamp: " + s.stamp(id)}, partOf(s.id))
}

// stamp is the signature of an answer of this searcher.
func (s *searcher) stamp(id string) string { return s.id + "." + id }

// partOf returns two records of 16 bytes.
func partOf(instance string) string {
	return fmt.Sprintf("%-16.16s%-16.16s", instance+"-record-one", instance+"-record-two")
}

// enter takes a slot, waiting in the queue if it has room.
func (s *searcher) enter(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	if s.queued.Add(1) > int64(s.config.queue) {
		s.queued.Add(-1)
		return false
	}
	defer s.queued.Add(-1)
	select {
	case s.slots <- struct{}{}:
		return true
	case <-s.stop:
		return false
	case <-ctx.Done():
		return false
	}
}

func httpReply(status string, headers []string, body string) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 " + status + "\r\n")
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\nKeep-Alive: timeout=15\r\n\r\n%s", len(body), body)
	return b.String()
}
