package emulator

import (
	"cmp"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// BackendFaults selects the faults that an emulated backend server injects.
type BackendFaults struct {
	// Pause is added to the service time of every request.
	Pause time.Duration `json:"pause"`
	// Shed rejects every request with 503 and marks it as not run.
	Shed bool `json:"shed"`
	// Fail executes every request and responds with status 500.
	Fail bool `json:"fail"`
	// Reset executes requests and then resets their connection without a reply.
	Reset bool `json:"reset"`
	// Truncate closes the connection after half of the body that Content-Length announces.
	Truncate bool `json:"truncate"`
	// Unframed sends replies without Content-Length, delimited by closing the connection.
	Unframed bool `json:"unframed"`
	// Extra sends a second, unsolicited reply with a different request ID after each reply.
	Extra bool `json:"extra"`
	// Early replies before the request body is read.
	Early bool `json:"early"`
	// ForgetIdle closes each connection shortly after its reply, without a Connection: close header.
	ForgetIdle bool `json:"forgetIdle"`
	// StatusCode is sent in the status line of each reply, such as 000; empty sends 200.
	StatusCode string `json:"statusCode"`
	// CutAfter closes the connection after so many bytes of each reply, or resets it if Reset
	// is set; zero sends whole replies. It applies to replies with a length and, with
	// Unframed or Chunked, to others.
	CutAfter int `json:"cutAfter"`
	// Chunked sends replies in chunks.
	Chunked bool `json:"chunked"`
	// HeaderLine is added to the head of each reply as it is, valid or not.
	HeaderLine string `json:"headerLine"`
}

// BackendStats counts what an emulated backend server received and executed.
type BackendStats struct {
	// Arrivals counts received requests by request ID, Runs those that were executed.
	Arrivals map[string]int
	Runs     map[string]int
	// Cancelled counts executions that were cancelled because the connection closed.
	Cancelled int
	// LastArrival is the time of the most recent request.
	LastArrival time.Time
	// MaxRemaining is the largest remaining time in the headers of a request.
	MaxRemaining time.Duration
	// Connections is the number of accepted connections.
	Connections int
	// Target is the path and query of the last request, Body its body.
	Target, Body string
}

// Backend emulates a backend server of the users' platform.
type Backend struct {
	Server planner.Server
	// ServiceTime is the service time of a request once it has a slot.
	ServiceTime time.Duration
	// Records is the number of records in a reply.
	Records int

	slots chan struct{}
	http  *http.Server

	mu     sync.Mutex
	faults BackendFaults
	stats  BackendStats
	limit  rateLimit
	// isLeaving means that replies say that the server is about to exit.
	isLeaving bool
}

// StartBackend starts a backend server that listens on address. The Address of its
// Server is set to the address that it listens on.
func StartBackend(server planner.Server, address string, serviceTime time.Duration, records int) (*Backend, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server.Address = l.Addr().String()
	b := &Backend{
		Server: server, ServiceTime: serviceTime, Records: records,
		slots: make(chan struct{}, server.Slots),
		stats: BackendStats{Arrivals: map[string]int{}, Runs: map[string]int{}},
	}
	b.http = &http.Server{Handler: b, ReadHeaderTimeout: time.Minute, ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			b.mu.Lock()
			b.stats.Connections++
			b.mu.Unlock()
		}
	}}
	go func() { _ = b.http.Serve(l) }()
	return b, nil
}

// Close stops the server immediately and closes its connections.
func (b *Backend) Close() { _ = b.http.Close() }

// SetFaults replaces the active faults.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

// Leave makes all further replies say that the server is about to exit.
func (b *Backend) Leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isLeaving = true
}

func (b *Backend) leaves() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isLeaving
}

// Stats returns a copy of the counters.
func (b *Backend) Stats() BackendStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.stats
	out.Arrivals, out.Runs = map[string]int{}, map[string]int{}
	for id, n := range b.stats.Arrivals {
		out.Arrivals[id] = n
	}
	for id, n := range b.stats.Runs {
		out.Runs[id] = n
	}
	return out
}

// ServeHTTP implements http.Handler. It executes a request unless the request has
// no ID, addresses another instance, is shed or gets no slot in time.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request := platform.ParseSearcherRequest(r.Header)
	faults := b.recordRequest(r, request)
	if perSecond, limited := b.recordLimited(r); limited {
		platform.WriteRateLimit(w.Header(), perSecond)
	}
	if b.leaves() {
		platform.WriteLeaving(w.Header())
	}
	switch {
	case request.ID == "":
		platform.WriteNotRun(w.Header(), "")
		w.WriteHeader(http.StatusBadRequest)
		return
	case request.Instance != "" && request.Instance != b.Server.Instance:
		platform.WriteNotRun(w.Header(), request.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case faults.Shed || !b.acquireSlot(r.Context(), request.Remaining):
		platform.WriteNotRun(w.Header(), request.ID)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.slots }()
	b.execute(w, r, request, faults)
}

// recordRequest counts a request and returns the active faults. It reads the body
// unless BackendFaults.Early is set.
func (b *Backend) recordRequest(r *http.Request, request platform.SearcherRequest) BackendFaults {
	body := make([]byte, 0)
	b.mu.Lock()
	faults := b.faults
	b.mu.Unlock()
	if !faults.Early && r.Body != nil {
		body, _ = readBody(r)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Arrivals[request.ID]++
	b.stats.LastArrival = time.Now()
	b.stats.MaxRemaining = max(b.stats.MaxRemaining, request.Remaining)
	b.stats.Target, b.stats.Body = r.RequestURI, string(body)
	return faults
}

// acquireSlot waits for a slot. It reports false if the connection closes or the
// remaining time expires first. A request without a remaining time waits one minute.
func (b *Backend) acquireSlot(ctx context.Context, remaining time.Duration) bool {
	if remaining <= 0 {
		remaining = time.Minute
	}
	timer := time.NewTimer(remaining)
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

func (b *Backend) execute(w http.ResponseWriter, r *http.Request, request platform.SearcherRequest, faults BackendFaults) {
	b.mu.Lock()
	b.stats.Runs[request.ID]++
	b.mu.Unlock()
	select {
	case <-time.After(faults.Pause + b.ServiceTime):
	case <-r.Context().Done():
		b.mu.Lock()
		b.stats.Cancelled++
		b.mu.Unlock()
		return
	}
	platform.WriteServerStamp(w.Header(), request.ID, b.Stamp(request.ID))
	body := b.Body(request.ID)
	switch {
	case faults.Fail:
		w.WriteHeader(http.StatusInternalServerError)
	case faults.Reset, faults.Truncate, faults.Unframed, faults.Extra, faults.ForgetIdle, faults.StatusCode != "", faults.HeaderLine != "", faults.CutAfter != 0, faults.Chunked:
		b.writeFaultyReply(w, request, faults, body)
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	}
}

// writeFaultyReply hijacks the connection to send replies that net/http would not write.
func (b *Backend) writeFaultyReply(w http.ResponseWriter, request platform.SearcherRequest, faults BackendFaults, body []byte) {
	controller := http.NewResponseController(w)
	conn, _, err := controller.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	// A negative length omits Content-Length.
	header := func(id string, length int) string {
		h := http.Header{}
		platform.WriteServerStamp(h, id, b.Stamp(id))
		text := "HTTP/1.1 " + cmp.Or(faults.StatusCode, "200") + " OK\r\n"
		if faults.HeaderLine != "" {
			text += faults.HeaderLine + "\r\n"
		}
		for name, values := range h {
			text += name + ": " + values[0] + "\r\n"
		}
		if length >= 0 {
			text += "Content-Length: " + strconv.Itoa(length) + "\r\n"
		}
		return text + "\r\n"
	}
	switch {
	case faults.CutAfter != 0 || faults.Chunked:
		cutReply(conn, encodeReply(header, request.ID, body, faults), faults)
	case faults.Reset:
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	case faults.Truncate:
		_, _ = fmt.Fprintf(conn, "%s%s", header(request.ID, len(body)), body[:len(body)/2])
	case faults.Unframed && faults.Extra:
		// Without a length that the caller can read, the second reply is read as a part of
		// the first one's body.
		_, _ = fmt.Fprintf(conn, "%s%s%s%s", header(request.ID, -1), body, header("stray", len(body)), body)
	case faults.Unframed:
		_, _ = fmt.Fprintf(conn, "%s%s", header(request.ID, -1), body)
	case faults.Extra:
		_, _ = fmt.Fprintf(conn, "%s%s", header(request.ID, len(body)), body)
		time.Sleep(faultDelay)
		_, _ = fmt.Fprintf(conn, "%s%s", header("stray", len(body)), body)
		time.Sleep(faultDelay)
	case faults.ForgetIdle:
		_, _ = fmt.Fprintf(conn, "%s%s", header(request.ID, len(body)), body)
		time.Sleep(faultDelay)
	default:
		_, _ = fmt.Fprintf(conn, "%s%s", header(request.ID, len(body)), body)
		_, _ = io.Copy(io.Discard, conn) // until the caller closes
	}
}

// encodeReply returns a reply as it is sent, framed as the faults say. header returns its
// head for an ID and a length.
func encodeReply(header func(id string, length int) string, id string, body []byte, faults BackendFaults) string {
	switch {
	case faults.Chunked:
		const chunk = 48
		text := strings.TrimSuffix(header(id, -1), "\r\n") + "Transfer-Encoding: chunked\r\n\r\n"
		for part := range slices.Chunk(body, chunk) {
			text += fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		return text + "0\r\n\r\n"
	case faults.Unframed:
		return header(id, -1) + string(body)
	default:
		return header(id, len(body)) + string(body)
	}
}

// cutReply sends a reply up to the byte after which the faults cut it.
func cutReply(conn net.Conn, reply string, faults BackendFaults) {
	if faults.CutAfter != 0 {
		reply = reply[:min(faults.CutAfter, len(reply))]
	}
	_, _ = io.WriteString(conn, reply)
	if tcp, ok := conn.(*net.TCPConn); ok && faults.Reset {
		// A reset that follows at once would discard what has been sent.
		time.Sleep(faultDelay)
		_ = tcp.SetLinger(0)
	}
}

// faultDelay is the time between a reply and the unsolicited reply or the close of
// the connection that follows it.
const faultDelay = 20 * time.Millisecond

// Stamp returns the server stamp of the reply to a request: service, instance and
// request ID.
func (b *Backend) Stamp(id string) string {
	return b.Server.Service + "." + b.Server.Instance + "." + id
}

// Body returns the reply body for a request ID. It depends only on the service and
// the ID, so every instance of a service returns the same body.
func (b *Backend) Body(id string) []byte {
	out := make([]byte, 0, b.Records*16)
	for n := range b.Records {
		out = binary.BigEndian.AppendUint64(out, xxhash.Sum64String(fmt.Sprint(b.Server.Service, id, n)))
		out = binary.BigEndian.AppendUint64(out, uint64(n))
	}
	return out
}

// maxRequestBytes limits how much of a request body is read.
const maxRequestBytes = 1 << 20

func readBody(r *http.Request) ([]byte, error) {
	return io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
