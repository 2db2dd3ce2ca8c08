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

// DocumentStatus is one document in force.
type DocumentStatus struct {
	Generation uint64    `json:"generation"`
	Digest     string    `json:"digest"`
	Since      time.Time `json:"since"`
}

// MemberStatus is what a daemon thinks of one other.
type MemberStatus struct {
	Address       string `json:"address"`
	State         string `json:"state"`
	FailureDomain string `json:"failureDomain"`
	Successor     string `json:"successor,omitempty"`
}

// Status is the status document of a daemon.
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
	// Draining lists backend servers that said they are leaving.
	Draining      []string `json:"draining,omitempty"`
	Tickets       int      `json:"tickets"`
	AdmittedShare float64  `json:"admittedPart"`
	// HedgeDelayMillis is after how long a shard is tried again, by class and service.
	HedgeDelayMillis map[string]float64 `json:"hedgeDelayMillis,omitempty"`
	// ActiveCalls is how many shard requests this daemon has as a gateway.
	ActiveCalls int64  `json:"activeCalls"`
	SentCalls   int64  `json:"sentCalls"`
	HeapBytes   uint64 `json:"heapBytes"`
	// CPUSeconds is the processor time that the process has used.
	CPUSeconds float64 `json:"cpuSeconds"`
	// ControlBytes counts membership datagrams in both directions, without
	// headers; FetchedBytes counts documents as peers sent them, packed.
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

// handleReady tells the balancer whether to send callers here.
func (d *Daemon) handleReady(w http.ResponseWriter, _ *http.Request) {
	if why := d.notReady(); len(why) > 0 {
		writeJSON(w, http.StatusServiceUnavailable, "application/json", why)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// notReady returns every reason why callers should not be sent here.
func (d *Daemon) notReady() []string {
	var why []string
	if d.stopping.Load() {
		why = append(why, "the daemon is stopping")
	}
	return append(why, d.documents.NotReadyReasons(len(d.members.Members())-1)...)
}

// Status returns the status document.
func (d *Daemon) Status() Status {
	now := time.Now()
	why := d.notReady()
	status := Status{
		Name:          d.settings.Name,
		Incarnation:   d.incarnation,
		FailureDomain: d.settings.FailureDomain,
		Ready:         len(why) == 0,
		NotReady:      why,
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

// heapBytes returns the memory of live and not yet collected objects, without
// stopping the process as runtime.ReadMemStats does.
func heapBytes() uint64 {
	sample := []runtimemetrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	runtimemetrics.Read(sample)
	return sample[0].Value.Uint64()
}

// cpuSeconds returns the processor time of this process, user and system.
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
