package daemon

import (
	"net/http"
	"net/http/pprof"
	"runtime"
	runtimemetrics "runtime/metrics"
	"syscall"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/prober"
)

// DocumentStatus describes a document in force.
type DocumentStatus struct {
	Generation uint64    `json:"generation"`
	Digest     string    `json:"digest"`
	Since      time.Time `json:"since"`
}

// MemberStatus describes a member as one daemon sees it.
type MemberStatus struct {
	Address       string `json:"address"`
	State         string `json:"state"`
	FailureDomain string `json:"failureDomain"`
	Successor     string `json:"successor,omitempty"`
}

// Status is a daemon's response to GET /status.
type Status struct {
	Name          string                    `json:"name"`
	Incarnation   string                    `json:"incarnation"`
	FailureDomain string                    `json:"failureDomain"`
	Ready         bool                      `json:"ready"`
	NotReady      []string                  `json:"notReady,omitempty"`
	UptimeSeconds float64                   `json:"uptimeSeconds"`
	Documents     map[string]DocumentStatus `json:"documents"`
	Members       []MemberStatus            `json:"members"`
	Relay         bool                      `json:"relay"`
	// Draining lists the backend servers that are marked as draining.
	Draining      []string `json:"draining,omitempty"`
	Tickets       int      `json:"tickets"`
	AdmittedShare float64  `json:"admittedPart"`
	// HedgeDelayMillis is the delay before a shard request is hedged, by class and
	// service.
	HedgeDelayMillis map[string]float64 `json:"hedgeDelayMillis,omitempty"`
	// ActiveCalls is the number of shard requests in progress in this daemon as a
	// gateway.
	ActiveCalls int64  `json:"activeCalls"`
	SentCalls   int64  `json:"sentCalls"`
	HeapBytes   uint64 `json:"heapBytes"`
	// CPUSeconds is the user and system CPU time used by the process.
	CPUSeconds float64 `json:"cpuSeconds"`
	// ControlBytes is the size of all membership datagrams sent and received,
	// without headers. FetchedBytes is the compressed size of the documents fetched
	// from peers.
	ControlBytes   uint64 `json:"controlBytes"`
	ControlPackets uint64 `json:"controlPackets"`
	FetchedBytes   uint64 `json:"fetchedBytes"`
	PlatformCalls  uint64 `json:"platformCalls"`
	Goroutines     int    `json:"goroutines"`
}

func (d *Daemon) operatorsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", d.handleReady)
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("live\n")) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { d.metrics.write(w) })
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/{name}", pprof.Index)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, "application/json", d.Status())
	})
	return mux
}

// handleReady reports to the load balancer whether this daemon accepts callers.
func (d *Daemon) handleReady(w http.ResponseWriter, _ *http.Request) {
	if reasons := d.notReady(); len(reasons) > 0 {
		d.respond(w, http.StatusServiceUnavailable, "application/json", reasons)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// notReady returns all reasons why this daemon should receive no callers, or nil.
func (d *Daemon) notReady() []string {
	var reasons []string
	if d.stopping.Load() {
		reasons = append(reasons, "the daemon is stopping")
	}
	return append(reasons, d.documents.NotReadyReasons(len(d.members.Members())-1)...)
}

// Status returns the current status of the daemon.
func (d *Daemon) Status() Status {
	now := time.Now()
	reasons := d.notReady()
	status := Status{
		Name:          d.settings.Name,
		Incarnation:   d.incarnation,
		FailureDomain: d.settings.FailureDomain,
		Ready:         len(reasons) == 0,
		NotReady:      reasons,
		UptimeSeconds: now.Sub(d.started).Seconds(),
		Documents:     map[string]DocumentStatus{},
		Relay:         d.isRelay(),
		Tickets:       d.tickets.Len(),
		AdmittedShare: d.gate.AdmittedShare(),
		ActiveCalls:   d.sender.Active(),
		SentCalls:     d.sender.SentRequests(),
		Goroutines:    runtime.NumGoroutine(),
	}
	status.CPUSeconds = cpuSeconds()
	status.ControlBytes = d.metrics.bytesIn.Get() + d.metrics.bytesOut.Get()
	status.ControlPackets = d.metrics.packetsIn.Get() + d.metrics.packetsOut.Get()
	status.FetchedBytes = d.metrics.fetchedBytes.Get()
	status.PlatformCalls = d.metrics.platformCalls.Get()
	status.HeapBytes = heapBytes()
	for _, document := range d.documents.CurrentDocuments() {
		status.Documents[document.Name] = DocumentStatus{Generation: document.Generation, Digest: document.Digest, Since: document.Since}
	}
	for searcher := range d.picker.DrainingServers(now) {
		status.Draining = append(status.Draining, searcher)
	}
	status.Members = d.memberStatus()
	status.HedgeDelayMillis = d.hedgeDelays()
	return status
}

// heapBytes returns the memory of live and not yet collected heap objects. Unlike
// runtime.ReadMemStats, it does not stop the process.
func heapBytes() uint64 {
	sample := []runtimemetrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	runtimemetrics.Read(sample)
	return sample[0].Value.Uint64()
}

// cpuSeconds returns the user and system CPU time of this process, or 0 if it
// cannot be read.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}

func (d *Daemon) hedgeDelays() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]float64{}
	for key, h := range d.hedgers {
		if delay, ok := h.Delay(); ok {
			out[key.class+"/"+key.service] = float64(delay.Microseconds()) / 1000
		}
	}
	return out
}

func (d *Daemon) memberStatus() []MemberStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	members := d.members.Members()
	out := make([]MemberStatus, len(members))
	for i, m := range members {
		out[i] = MemberStatus{
			Address:       m.GetAddress(),
			State:         prober.StateOf(m).String(),
			FailureDomain: m.GetFailureDomain(),
			Successor:     m.GetSuccessor(),
		}
	}
	return out
}
