package emulator

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/framer"
)

// serviceTimeSigma is the sigma of the log-normal service time distribution.
const serviceTimeSigma = 0.35

// SearcherConfig configures an emulated searcher.
type SearcherConfig struct {
	Name string `json:"name"`
	// Slots is the number of requests that run concurrently.
	Slots int `json:"slots"`
	// QueueLimit is the number of requests that may wait for a slot; more are shed.
	QueueLimit int `json:"queueLimit"`
	// ConnectionLimit is the maximum number of open connections; further ones are closed on accept.
	ConnectionLimit int `json:"connectionLimit"`
	// ConnectionCostMillis is the setup time added to the first request on a connection.
	ConnectionCostMillis float64 `json:"connectionCostMillis"`
	// ServiceMillis is the median service time of a request once it has a slot.
	ServiceMillis float64 `json:"serviceMillis"`
	// Holdings maps each snapshot to the shards of it that the searcher serves.
	Holdings map[string][]string `json:"holdings"`
	Seed     uint64              `json:"seed"`
}

// SearcherFaults selects the faults that an emulated searcher injects.
type SearcherFaults struct {
	// SlowFactor multiplies the service time if it is positive.
	SlowFactor float64 `json:"slowFactor"`
	// OutlierShare is the fraction of requests whose service time is multiplied by
	// OutlierFactor.
	OutlierShare  float64 `json:"outlierShare"`
	OutlierFactor float64 `json:"outlierFactor"`
	// Truncate closes the connection after half of the body that Content-Length announces.
	Truncate bool `json:"truncate"`
	// CutAfter closes the connection after so many bytes of each reply, which has no length
	// if Unframed is set; zero sends whole replies with a length.
	CutAfter int  `json:"cutAfter"`
	Unframed bool `json:"unframed"`
	// Crossed replies with the request ID of a different request.
	Crossed bool `json:"crossed"`
	// WrongSnapshot replies from a snapshot other than the requested one.
	WrongSnapshot bool `json:"wrongSnapshot"`
	// Rubbish replies with bytes that are not a valid result.
	Rubbish bool `json:"rubbish"`
	// Freeze blocks every request until the caller cancels it.
	Freeze bool `json:"freeze"`
	// ShedAll rejects every request as shed, without running it.
	ShedAll bool `json:"shedAll"`
	// LoseReplies executes requests and then closes their connection without a reply.
	LoseReplies bool `json:"loseReplies"`
}

// SearcherStats counts what an emulated searcher executed and rejected.
type SearcherStats struct {
	// Runs counts executions by framer.Request.RunKey.
	Runs map[string]int `json:"runs"`
	// Started is the number of requests that got a slot.
	Started int `json:"started"`
	Shed    int `json:"shed"`
	// LateRequests is the number of requests that arrived more than drainGrace after the
	// drain began.
	LateRequests       int `json:"lateWork"`
	PeakConnections    int `json:"peakConnections"`
	RefusedConnections int `json:"refusedConnections"`
}

// Searcher emulates a backend server that runs search requests.
type Searcher struct {
	config SearcherConfig

	mu           sync.Mutex
	faults       SearcherFaults
	holdings     map[string][]string
	rng          *rand.Rand
	inFlight     int
	queued       int
	connections  int
	drainStarted time.Time
	stats        SearcherStats
	slots        chan struct{}

	server *http.Server
}

// drainGrace is the time after the start of a drain during which a server may still
// receive new requests.
const drainGrace = 3 * time.Second

// NewSearcher returns a searcher. It accepts connections once Serve is called.
func NewSearcher(config SearcherConfig) *Searcher {
	s := &Searcher{
		config:   config,
		holdings: config.Holdings,
		rng:      rand.New(rand.NewPCG(config.Seed, 1)),
		slots:    make(chan struct{}, config.Slots),
		stats:    SearcherStats{Runs: map[string]int{}},
	}
	s.server = &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: time.Minute,
		ConnState:         s.trackConnection,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connectionSetupKey{}, &connectionSetup{})
		},
	}
	return s
}

// connectionSetup records whether the setup time of a connection has been applied.
type connectionSetup struct{ applied bool }

type connectionSetupKey struct{}

// Serve accepts connections on l until Close is called.
func (s *Searcher) Serve(l net.Listener) error {
	return s.server.Serve(l)
}

// Close stops the searcher and closes its connections immediately, as a crash does.
func (s *Searcher) Close() {
	_ = s.server.Close()
}

// SetFaults replaces the active faults.
func (s *Searcher) SetFaults(f SearcherFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetHoldings replaces the snapshots and shards that the searcher serves.
func (s *Searcher) SetHoldings(h map[string][]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdings = h
}

// Holdings returns the snapshots and shards that the searcher serves.
func (s *Searcher) Holdings() map[string][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holdings
}

// Drain makes the searcher reject new requests and announce the drain on its replies.
func (s *Searcher) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainStarted = time.Now()
}

// Stats returns a copy of the counters.
func (s *Searcher) Stats() SearcherStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Runs = make(map[string]int, len(s.stats.Runs))
	for k, n := range s.stats.Runs {
		stats.Runs[k] = n
	}
	return stats
}

func (s *Searcher) trackConnection(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.connections++
		s.stats.PeakConnections = max(s.stats.PeakConnections, s.connections)
		if s.connections > s.config.ConnectionLimit {
			s.stats.RefusedConnections++
			go func() { _ = c.Close() }()
		}
	case http.StateClosed, http.StateHijacked:
		s.connections--
	case http.StateActive, http.StateIdle:
	}
}

// Handler returns a handler for searches, health, counters, drain and fault injection.
// The health endpoint replies with 200 in every state, also while faults are active or the
// searcher drains.
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
	s.delayFirstRequest(r)
	request, err := framer.ParseRequest(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxObjectBytes))
	if err != nil {
		return
	}
	faults, refusal := s.enqueue(request)
	if refusal != "" {
		s.refuse(w, refusal)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), request.Remaining)
	defer cancel()
	if faults.Freeze {
		s.dequeue()
		<-r.Context().Done()
		return
	}
	if !s.acquireSlot(ctx) {
		s.refuse(w, framer.RefusedTooLate)
		return
	}
	s.execute(ctx, request, faults)
	s.reply(w, request, body, faults)
}

// delayFirstRequest delays the first request on a connection by the setup time.
func (s *Searcher) delayFirstRequest(r *http.Request) {
	setup, _ := r.Context().Value(connectionSetupKey{}).(*connectionSetup)
	if setup == nil || setup.applied {
		return
	}
	setup.applied = true
	time.Sleep(time.Duration(s.config.ConnectionCostMillis * float64(time.Millisecond)))
}

// enqueue adds a request to the queue or returns the reason for its refusal.
func (s *Searcher) enqueue(request framer.Request) (SearcherFaults, framer.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.drainStarted.IsZero() {
		if request.Remaining > 0 && time.Since(s.drainStarted) > drainGrace {
			s.stats.LateRequests++
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
		s.stats.Shed++
		return s.faults, framer.RefusedShed
	}
	s.queued++
	return s.faults, ""
}

func (s *Searcher) dequeue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued--
}

func (s *Searcher) acquireSlot(ctx context.Context) bool {
	defer s.dequeue()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Searcher) execute(ctx context.Context, request framer.Request, faults SearcherFaults) {
	s.mu.Lock()
	s.inFlight++
	s.stats.Started++
	s.stats.Runs[request.RunKey()]++
	millis := s.config.ServiceMillis * math.Exp(s.rng.NormFloat64()*serviceTimeSigma)
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
	s.setLoadHeaders(w.Header())
	w.Header().Set(framer.HeaderRefusal, string(refusal))
	w.Header().Set(framer.HeaderNewerSnapshot, s.newestSnapshot())
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *Searcher) newestSnapshot() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	newestSnapshot := ""
	for snapshot := range s.holdings {
		newestSnapshot = max(newestSnapshot, snapshot)
	}
	return newestSnapshot
}

func (s *Searcher) setLoadHeaders(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := framer.Load{Slots: s.config.Slots, InFlight: s.inFlight, Queued: s.queued}
	h.Set(framer.HeaderLoad, load.String())
	if !s.drainStarted.IsZero() {
		h.Set(framer.HeaderDraining, "true")
	}
}
