package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/framer"
)

// serviceSpread is the sigma of the log-normal service time.
const serviceSpread = 0.35

// SearcherConfig is the shape of one stand-in searcher.
type SearcherConfig struct {
	Name string `json:"name"`
	// Slots is how many requests run at once.
	Slots int `json:"slots"`
	// QueueLimit is how many requests wait for a slot before the rest is shed.
	QueueLimit int `json:"queueLimit"`
	// ConnectionLimit is how many connections are kept; more are closed at once.
	ConnectionLimit int `json:"connectionLimit"`
	// ConnectionCostMillis is paid by the first request of a connection.
	ConnectionCostMillis float64 `json:"connectionCostMillis"`
	// ServiceMillis is the median time of one request in its slot.
	ServiceMillis float64 `json:"serviceMillis"`
	// Holdings maps a snapshot to the shards that the searcher has of it.
	Holdings map[string][]string `json:"holdings"`
	Seed     uint64              `json:"seed"`
}

// SearcherFaults switches faults of a stand-in searcher on and off.
type SearcherFaults struct {
	// SlowFactor multiplies the service time when it is above zero.
	SlowFactor float64 `json:"slowFactor"`
	// OutlierShare of the requests take OutlierFactor times as long.
	OutlierShare  float64 `json:"outlierShare"`
	OutlierFactor float64 `json:"outlierFactor"`
	// Truncate cuts every reply short of its stated length.
	Truncate bool `json:"truncate"`
	// Crossed answers each request with the identity of another one.
	Crossed bool `json:"crossed"`
	// WrongSnapshot answers from a snapshot that was not asked for.
	WrongSnapshot bool `json:"wrongSnapshot"`
	// Rubbish answers with bytes of no known form.
	Rubbish bool `json:"rubbish"`
	// Freeze holds every request until the caller gives up.
	Freeze bool `json:"freeze"`
	// ShedAll refuses every request as not run.
	ShedAll bool `json:"shedAll"`
	// LoseReplies runs requests and then breaks their connection.
	LoseReplies bool `json:"loseReplies"`
}

// SearcherStats is what a stand-in searcher really did.
type SearcherStats struct {
	// Runs counts how often each request or order key was run.
	Runs map[string]int `json:"runs"`
	// Started counts requests that got a slot.
	Started int `json:"started"`
	Shed    int `json:"shed"`
	// LateRequests counts requests that arrived more than the grace after a drain began.
	LateRequests       int `json:"lateWork"`
	PeakConnections    int `json:"peakConnections"`
	RefusedConnections int `json:"refusedConnections"`
}

// Searcher is a stand-in backend server.
type Searcher struct {
	config SearcherConfig

	mu          sync.Mutex
	faults      SearcherFaults
	holdings    map[string][]string
	rng         *rand.Rand
	inFlight    int
	queued      int
	connections int
	drainedAt   time.Time
	facts       SearcherStats
	slots       chan struct{}

	server *http.Server
}

// drainGrace is the time after which a draining server must get no new work.
const drainGrace = 3 * time.Second

// NewSearcher returns a searcher that does not listen yet.
func NewSearcher(config SearcherConfig) *Searcher {
	s := &Searcher{
		config:   config,
		holdings: config.Holdings,
		rng:      rand.New(rand.NewPCG(config.Seed, 1)),
		slots:    make(chan struct{}, config.Slots),
		facts:    SearcherStats{Runs: map[string]int{}},
	}
	s.server = &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: time.Minute,
		ConnState:         s.trackConnection,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, firstUseKey{}, &firstUse{})
		},
	}
	return s
}

type firstUse struct{ paid bool }

type firstUseKey struct{}

// Serve takes requests on l until Close.
func (s *Searcher) Serve(l net.Listener) error {
	return s.server.Serve(l)
}

// Close stops the searcher at once, as a crash does.
func (s *Searcher) Close() {
	_ = s.server.Close()
}

// SetFaults replaces the faults in force.
func (s *Searcher) SetFaults(f SearcherFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetHoldings replaces the snapshots and shards that the searcher has.
func (s *Searcher) SetHoldings(h map[string][]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdings = h
}

// Holdings returns the snapshots and shards that the searcher has.
func (s *Searcher) Holdings() map[string][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holdings
}

// Drain makes the searcher say on its replies that it is leaving and shed new work.
func (s *Searcher) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainedAt = time.Now()
}

// Stats returns what the searcher did so far.
func (s *Searcher) Stats() SearcherStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	facts := s.facts
	facts.Runs = make(map[string]int, len(s.facts.Runs))
	for k, n := range s.facts.Runs {
		facts.Runs[k] = n
	}
	return facts
}

func (s *Searcher) trackConnection(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.connections++
		s.facts.PeakConnections = max(s.facts.PeakConnections, s.connections)
		if s.connections > s.config.ConnectionLimit {
			s.facts.RefusedConnections++
			go func() { _ = c.Close() }()
		}
	case http.StateClosed, http.StateHijacked:
		s.connections--
	case http.StateActive, http.StateIdle:
	}
}

// Handler serves searches, the lagging health endpoint and the fault switches.
func (s *Searcher) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+framer.Path, s.search)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fine\n") })
	mux.HandleFunc("GET /facts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Stats()) })
	mux.HandleFunc("PUT /drain", func(http.ResponseWriter, *http.Request) { s.Drain() })
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f SearcherFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	})
	return mux
}

func (s *Searcher) search(w http.ResponseWriter, r *http.Request) {
	s.payConnection(r)
	request, err := framer.ParseRequest(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxObjectBytes))
	if err != nil {
		return
	}
	faults, refusal := s.arrive(request)
	if refusal != "" {
		s.refuse(w, refusal)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), request.Remaining)
	defer cancel()
	if faults.Freeze {
		s.leaveQueue()
		<-r.Context().Done()
		return
	}
	if !s.takeSlot(ctx) {
		s.refuse(w, framer.RefusedTooLate)
		return
	}
	s.run(ctx, request, faults)
	s.reply(w, request, body, faults)
}

func (s *Searcher) payConnection(r *http.Request) {
	use, _ := r.Context().Value(firstUseKey{}).(*firstUse)
	if use == nil || use.paid {
		return
	}
	use.paid = true
	time.Sleep(time.Duration(s.config.ConnectionCostMillis * float64(time.Millisecond)))
}

// arrive queues a request, or tells why it is refused.
func (s *Searcher) arrive(request framer.Request) (SearcherFaults, framer.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.drainedAt.IsZero() {
		if request.Remaining > 0 && time.Since(s.drainedAt) > drainGrace {
			s.facts.LateRequests++
		}
		return s.faults, framer.RefusedDraining
	}
	if request.Remaining > 0 && !slices.Contains(s.holdings[request.Snapshot], request.Shard) {
		return s.faults, framer.RefusedSnapshotGone
	}
	if request.Remaining <= 0 {
		return s.faults, framer.RefusedTooLate
	}
	if s.faults.ShedAll || s.queued >= s.config.QueueLimit {
		s.facts.Shed++
		return s.faults, framer.RefusedShed
	}
	s.queued++
	return s.faults, ""
}

func (s *Searcher) leaveQueue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued--
}

func (s *Searcher) takeSlot(ctx context.Context) bool {
	defer s.leaveQueue()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Searcher) run(ctx context.Context, request framer.Request, faults SearcherFaults) {
	s.mu.Lock()
	s.inFlight++
	s.facts.Started++
	s.facts.Runs[request.RunKey()]++
	millis := s.config.ServiceMillis * math.Exp(s.rng.NormFloat64()*serviceSpread)
	if faults.SlowFactor > 0 {
		millis *= faults.SlowFactor
	}
	if faults.OutlierShare > 0 && s.rng.Float64() < faults.OutlierShare {
		millis *= faults.OutlierFactor
	}
	s.mu.Unlock()
	select {
	case <-time.After(time.Duration(millis * float64(time.Millisecond))):
	case <-ctx.Done():
	}
	<-s.slots
	s.mu.Lock()
	s.inFlight--
	s.mu.Unlock()
}

func (s *Searcher) refuse(w http.ResponseWriter, refusal framer.Refusal) {
	s.stampLoad(w.Header())
	w.Header().Set(framer.HeaderRefusal, string(refusal))
	w.Header().Set(framer.HeaderNewerSnapshot, s.newest())
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *Searcher) newest() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := ""
	for snapshot := range s.holdings {
		newest = max(newest, snapshot)
	}
	return newest
}

func (s *Searcher) stampLoad(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := framer.Load{Slots: s.config.Slots, InFlight: s.inFlight, Queued: s.queued}
	h.Set(framer.HeaderLoad, load.String())
	if !s.drainedAt.IsZero() {
		h.Set(framer.HeaderDraining, "true")
	}
}

func (s *Searcher) reply(w http.ResponseWriter, request framer.Request, body []byte, faults SearcherFaults) {
	if faults.LoseReplies {
		panic(http.ErrAbortHandler)
	}
	if faults.Rubbish {
		_, _ = io.WriteString(w, "\x00\xffrubbish")
		return
	}
	if faults.Crossed {
		request.RequestID += "-crossed"
	}
	if faults.WrongSnapshot {
		request.Snapshot += "-old"
	}
	hits := s.hits(request, body)
	h := w.Header()
	s.stampLoad(h)
	request.Echo(h)
	h.Set(framer.HeaderDigest, framer.Digest(hits))
	h.Set("Content-Length", strconv.Itoa(len(hits)))
	if faults.Truncate {
		_, _ = w.Write(hits[:len(hits)/2])
		return
	}
	_, _ = w.Write(hits)
}

// hits makes three hits whose content depends only on shard, snapshot and query.
func (s *Searcher) hits(request framer.Request, body []byte) []byte {
	hits := make([]framer.Hit, 3)
	for i := range hits {
		sum := xxhash.Sum64String(fmt.Sprint(request.Shard, i, string(body)))
		hits[i] = framer.Hit{
			ID:       fmt.Sprintf("%s-%d", request.Shard, i),
			Score:    float64(sum%1000) / 1000,
			Snapshot: request.Snapshot,
		}
	}
	data, _ := json.Marshal(hits)
	return data
}
