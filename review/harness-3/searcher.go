package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// recordsPerPart is the number of 16-byte records in a searcher's answer.
	recordsPerPart = 8
)

// arrival is a request that reached a searcher.
type arrival struct {
	at   time.Time
	id   string
	path string
	// status is that of the answer; ran is set if the searcher ran the request.
	status int
	ran    bool
	// retryAfter is the time that a refusal named.
	retryAfter time.Duration
	answeredAt time.Time
}

// searcher is a stand-in of a searcher of the platform.
type searcher struct {
	id, service, zone string
	work              time.Duration

	address  string
	born     int64
	listener net.Listener
	stopped  chan struct{}
	stopOnce sync.Once

	mu       sync.Mutex
	conns    map[net.Conn]bool
	arrivals []arrival
	requests int
	seq      int
	// isLeaving makes all answers say that the searcher leaves.
	isLeaving bool
	// refuse returns the time for which the searcher wants no requests, if it turns the
	// n-th request away; nil if it turns none away.
	refuse func(n int) (retryAfter time.Duration, refused bool)
	// cutExtra reports whether a second answer to the n-th request follows late, broken off
	// in its head; nil if none does.
	cutExtra func(n int) bool
}

// start listens on a free port of an address.
func (s *searcher) start(ip string) error {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	s.listener, s.address = listener, listener.Addr().String()
	s.born, s.conns, s.stopped = time.Now().UnixMilli(), map[net.Conn]bool{}, make(chan struct{})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	return nil
}

// exit ends the searcher as the end of its process would.
func (s *searcher) exit() {
	s.stopOnce.Do(func() { close(s.stopped) })
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// register writes the searcher's entry in a state and reports whether the store took it.
func (s *searcher) register(to *store, state string) bool {
	s.mu.Lock()
	s.seq++
	seq := s.seq
	s.mu.Unlock()
	spec, err := json.Marshal(map[string]any{
		"service": s.service, "addr": s.address, "zone": s.zone, "version": "v1", "maxConcurrency": 5,
		"state": state, "warmupLeftMs": 0, "seq": seq, "born": s.born,
	})
	return err == nil && to.put("servers", s.id, spec)
}

// keepRegistered renews the entry until the searcher leaves or exits.
func (s *searcher) keepRegistered(to *store) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-s.stopped:
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		isLeaving := s.isLeaving
		s.mu.Unlock()
		if isLeaving {
			return
		}
		s.register(to, "ready")
	}
}

// leave makes all further answers say that the searcher leaves.
func (s *searcher) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isLeaving = true
}

func (s *searcher) log() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

func (s *searcher) stamp(id string) string { return s.service + "." + s.id + "." + id }

// part returns the body of the answer to a request.
func (s *searcher) part(id string) []byte {
	var out []byte
	for n := range recordsPerPart {
		sum := sha256.Sum256([]byte(fmt.Sprint(s.stamp(id), n)))
		out = append(out, sum[:16]...)
	}
	return out
}

func (s *searcher) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	// late holds bytes that are sent where the next answer is expected.
	var late []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if len(late) > 0 {
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer, n := s.answer(request)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		s.mu.Lock()
		cutExtra := s.cutExtra
		s.mu.Unlock()
		if cutExtra != nil && cutExtra(n) {
			late = s.cutAnswer(request.Header.Get("Fuchsiastile-Request-Id"))
		}
	}
}

// cutAnswer returns the beginning of a second answer to a request, which the searcher
// breaks off in the middle of a header line.
func (s *searcher) cutAnswer(id string) []byte {
	return []byte("HTTP/1.1 200 OK\r\nFuchsiastile-Server-Stamp: " + s.stamp(id) + "\r\nContent-Type: application/oc")
}

// answer runs a request or turns it away. It returns the answer as it is sent and the
// number of the request.
func (s *searcher) answer(r *http.Request) ([]byte, int) {
	a := arrival{at: time.Now(), id: r.Header.Get("Fuchsiastile-Request-Id"), path: r.RequestURI, status: http.StatusOK}
	s.mu.Lock()
	s.requests++
	n, isLeaving, refuse := s.requests, s.isLeaving, s.refuse
	s.mu.Unlock()
	h := http.Header{}
	var body []byte
	refused := false
	if refuse != nil {
		a.retryAfter, refused = refuse(n)
	}
	switch expected := r.Header.Get("Fuchsiastile-Expect-Instance"); {
	case a.id == "":
		a.status = http.StatusBadRequest
	case expected != "" && expected != s.id:
		a.status = http.StatusMisdirectedRequest
	case refused:
		a.status = http.StatusServiceUnavailable
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', -1, 64))
	default:
		a.ran = true
		time.Sleep(s.work)
		body = s.part(a.id)
		h.Set("Fuchsiastile-Server-Stamp", s.stamp(a.id))
	}
	if !a.ran {
		h.Set("Fuchsiastile-Not-Run", "1")
	}
	if isLeaving {
		h.Set("Server-Leaving", "1")
	}
	if a.id != "" {
		h.Set("Fuchsiastile-Request-Id", a.id)
	}
	a.answeredAt = time.Now()
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Keep-Alive", "timeout=10")
	_ = h.Write(&out)
	out.WriteString("\r\n")
	out.Write(body)
	return out.Bytes(), n
}
