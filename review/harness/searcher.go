package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// searcher is a stand-in for a searcher of one service. It runs the requests that name
// its instance or none, each for work, and drops one whose connection closes.
type searcher struct {
	service, instance, address, zone string
	born                             int64
	slots                            chan struct{}
	queue                            int
	// work returns how long a request runs.
	work   func(id string) time.Duration
	rec    *record
	server *http.Server

	mu      sync.Mutex
	waiting int
	limit   float64
	// refused returns the share of its requests that the searcher refuses.
	refused  func() float64
	arrivals []arrival
	runs     map[string]int
	ended    map[string]time.Time
}

// arrival is a request that reached a searcher and was not answered with 421.
type arrival struct {
	at   time.Time
	id   string
	from string
}

func startSearcher(rec *record, service, instance, zone string, slots int, work func(string) time.Duration) (*searcher, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &searcher{
		service: service, instance: instance, address: l.Addr().String(), zone: zone, born: time.Now().UnixMilli(),
		slots: make(chan struct{}, slots), queue: 4 * slots, work: work, rec: rec, runs: map[string]int{}, ended: map[string]time.Time{},
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// spec returns the searcher's registration.
func (s *searcher) spec(state string, seq int) json.RawMessage {
	out, _ := json.Marshal(map[string]any{
		"service": s.service, "addr": s.address, "zone": s.zone, "version": "v1", "maxConcurrency": cap(s.slots),
		"state": state, "warmupLeftMs": 0, "seq": seq, "born": s.born,
	})
	return out
}

func (s *searcher) stamp(id string) string { return s.service + "." + s.instance + "." + id }

func (s *searcher) setLimit(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = perSecond
}

func (s *searcher) setRefused(share func() float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = share
}

func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == "/health" {
		h.Set("Fuchsiastile-Instance-Id", s.instance)
		return
	}
	id := r.Header.Get("Fuchsiastile-Request-Id")
	if expected := r.Header.Get("Fuchsiastile-Expect-Instance"); expected != "" && expected != s.instance {
		h.Set("Fuchsiastile-Instance-Id", s.instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{time.Now(), id, from})
	limit, refuses := s.limit, s.refused != nil && rand.Float64() < s.refused()
	s.mu.Unlock()
	s.rec.printf("%s reaches searcher %s of %s from daemon %s", id, s.instance, s.service, from)
	h.Set("Fuchsiastile-Request-Id", id)
	if limit > 0 {
		h.Set("Server-Limit", strconv.FormatFloat(limit, 'f', 1, 64))
	}
	if id == "" || refuses || !s.acquire(r) {
		s.rec.printf("%s refused by searcher %s", id, s.instance)
		h.Set("Fuchsiastile-Not-Run", "1")
		w.WriteHeader(map[bool]int{true: http.StatusBadRequest, false: http.StatusServiceUnavailable}[id == ""])
		return
	}
	defer func() { <-s.slots }()
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	select {
	case <-time.After(s.work(id)):
	case <-r.Context().Done():
		s.rec.printf("%s dropped by searcher %s: its connection was closed", id, s.instance)
		return
	}
	s.mu.Lock()
	s.ended[id] = time.Now()
	s.mu.Unlock()
	s.rec.printf("%s has run on searcher %s: 200", id, s.instance)
	h.Set("Fuchsiastile-Server-Stamp", s.stamp(id))
	_, _ = fmt.Fprintf(w, "the answer to %s", id)
}

// acquire waits for a slot, unless the queue is full.
func (s *searcher) acquire(r *http.Request) bool {
	s.mu.Lock()
	if s.waiting >= s.queue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.waiting--
	}()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *searcher) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *searcher) copyArrivals() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}
