package emulator

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// BackendFaults switches faults of a stand-in backend server on and off.
type BackendFaults struct {
	// Pause holds every request for a time before its work.
	Pause time.Duration `json:"pause"`
	// Shed refuses every request as not run.
	Shed bool `json:"shed"`
	// Fail answers every request that it ran with 500.
	Fail bool `json:"fail"`
	// Reset runs requests and then breaks their connection.
	Reset bool `json:"reset"`
	// Truncate cuts replies short of their stated length.
	Truncate bool `json:"truncate"`
	// Unframed gives replies no length and ends them with their connection.
	Unframed bool `json:"unframed"`
	// Extra sends a second reply, with another id, after each.
	Extra bool `json:"extra"`
	// Early answers before the body is read.
	Early bool `json:"early"`
	// ForgetIdle closes each connection without notice soon after its reply.
	ForgetIdle bool `json:"forgetIdle"`
}

// BackendStats is what a stand-in backend server saw.
type BackendStats struct {
	// Arrivals and Runs count requests by id.
	Arrivals map[string]int
	Runs     map[string]int
	// Cancelled counts runs whose connection closed before their end.
	Cancelled int
	// LastArrival is when the last request came.
	LastArrival time.Time
	// MaxRemaining is the longest time that a request said to have left.
	MaxRemaining time.Duration
	// Connections counts connections that were opened.
	Connections int
	// Targets holds the path and query of the last request, Body its body.
	Target, Body string
}

// Backend is a stand-in backend server of the users' platform.
type Backend struct {
	Server planner.Server
	// ServiceTime is how long a request takes in its slot.
	ServiceTime time.Duration
	// Records is how many records a reply holds.
	Records int

	slots chan struct{}
	http  *http.Server

	mu     sync.Mutex
	faults BackendFaults
	facts  BackendStats
}

// StartBackend listens on an address and serves; the server's Address is filled in.
func StartBackend(server planner.Server, address string, work time.Duration, records int) (*Backend, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server.Address = l.Addr().String()
	b := &Backend{
		Server: server, ServiceTime: work, Records: records,
		slots: make(chan struct{}, server.Slots),
		facts: BackendStats{Arrivals: map[string]int{}, Runs: map[string]int{}},
	}
	b.http = &http.Server{Handler: b, ReadHeaderTimeout: time.Minute, ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			b.mu.Lock()
			b.facts.Connections++
			b.mu.Unlock()
		}
	}}
	go func() { _ = b.http.Serve(l) }()
	return b, nil
}

// Close ends the server and its connections at once.
func (b *Backend) Close() { _ = b.http.Close() }

// SetFaults replaces the faults in force.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

// Stats returns what the server saw so far.
func (b *Backend) Stats() BackendStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.facts
	out.Arrivals, out.Runs = map[string]int{}, map[string]int{}
	for id, n := range b.facts.Arrivals {
		out.Arrivals[id] = n
	}
	for id, n := range b.facts.Runs {
		out.Runs[id] = n
	}
	return out
}

// ServeHTTP takes one request.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	addressed := platform.ParseSearcherRequest(r.Header)
	faults := b.arrived(r, addressed)
	switch {
	case addressed.ID == "":
		platform.WriteNotRun(w.Header(), "")
		w.WriteHeader(http.StatusBadRequest)
		return
	case addressed.Instance != "" && addressed.Instance != b.Server.Instance:
		platform.WriteNotRun(w.Header(), addressed.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case faults.Shed || !b.enter(r.Context(), addressed.Remaining):
		platform.WriteNotRun(w.Header(), addressed.ID)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.slots }()
	b.run(w, r, addressed, faults)
}

func (b *Backend) arrived(r *http.Request, a platform.SearcherRequest) BackendFaults {
	body := make([]byte, 0)
	b.mu.Lock()
	faults := b.faults
	b.mu.Unlock()
	if !faults.Early && r.Body != nil {
		body, _ = readAll(r)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.facts.Arrivals[a.ID]++
	b.facts.LastArrival = time.Now()
	b.facts.MaxRemaining = max(b.facts.MaxRemaining, a.Remaining)
	b.facts.Target, b.facts.Body = r.RequestURI, string(body)
	return faults
}

// enter waits for a slot; it reports false where the queue is full or the time is up.
func (b *Backend) enter(ctx context.Context, left time.Duration) bool {
	if left <= 0 {
		left = time.Minute
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case b.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	}
}

func (b *Backend) run(w http.ResponseWriter, r *http.Request, a platform.SearcherRequest, faults BackendFaults) {
	b.mu.Lock()
	b.facts.Runs[a.ID]++
	b.mu.Unlock()
	select {
	case <-time.After(faults.Pause + b.ServiceTime):
	case <-r.Context().Done():
		b.mu.Lock()
		b.facts.Cancelled++
		b.mu.Unlock()
		return
	}
	platform.WriteServerStamp(w.Header(), a.ID, b.Stamp(a.ID))
	body := b.Body(a.ID)
	switch {
	case faults.Fail:
		w.WriteHeader(http.StatusInternalServerError)
	case faults.Reset, faults.Truncate, faults.Unframed, faults.Extra, faults.ForgetIdle:
		b.misbehave(w, a, faults, body)
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	}
}

// misbehave writes a reply by hand.
func (b *Backend) misbehave(w http.ResponseWriter, a platform.SearcherRequest, faults BackendFaults, body []byte) {
	controller := http.NewResponseController(w)
	conn, _, err := controller.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	head := func(id string, length int) string {
		h := http.Header{}
		platform.WriteServerStamp(h, id, b.Stamp(id))
		text := "HTTP/1.1 200 OK\r\n"
		for name, values := range h {
			text += name + ": " + values[0] + "\r\n"
		}
		if length >= 0 {
			text += "Content-Length: " + strconv.Itoa(length) + "\r\n"
		}
		return text + "\r\n"
	}
	switch {
	case faults.Reset:
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	case faults.Truncate:
		_, _ = fmt.Fprintf(conn, "%s%s", head(a.ID, len(body)), body[:len(body)/2])
	case faults.Unframed:
		_, _ = fmt.Fprintf(conn, "%s%s", head(a.ID, -1), body)
	case faults.Extra:
		_, _ = fmt.Fprintf(conn, "%s%s", head(a.ID, len(body)), body)
		time.Sleep(extraDelay)
		_, _ = fmt.Fprintf(conn, "%s%s", head("stray", len(body)), body)
		time.Sleep(extraDelay)
	case faults.ForgetIdle:
		_, _ = fmt.Fprintf(conn, "%s%s", head(a.ID, len(body)), body)
		time.Sleep(extraDelay)
	}
}

// extraDelay is how long after a reply a stray one comes, or the connection goes.
const extraDelay = 20 * time.Millisecond

// Stamp is the server's signature of its reply to a request.
func (b *Backend) Stamp(id string) string {
	return b.Server.Service + "." + b.Server.Instance + "." + id
}

// Body is the server's reply to a request: records that depend on its service only.
func (b *Backend) Body(id string) []byte {
	out := make([]byte, 0, b.Records*16)
	for n := range b.Records {
		out = binary.BigEndian.AppendUint64(out, xxhash.Sum64String(fmt.Sprint(b.Server.Service, id, n)))
		out = binary.BigEndian.AppendUint64(out, uint64(n))
	}
	return out
}

// maxRequestBytes is the largest body that a backend server reads.
const maxRequestBytes = 1 << 20

func readAll(r *http.Request) ([]byte, error) {
	return io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
