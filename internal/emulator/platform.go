// Package emulator holds small stand-ins for the platform and for backend
// servers. Each fault is one field. Demo, tests and cmd/standin share them.
package emulator

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// maxObjectBytes is the largest value that the Object API takes.
const maxObjectBytes = 1 << 20

// PlatformFaults switches faults of the stand-in platform on and off.
type PlatformFaults struct {
	// Outage refuses every call with 503.
	Outage bool `json:"outage"`
	// SlowMillis delays every call.
	SlowMillis int `json:"slowMillis"`
	// LoseReplies carries that many writes out and then breaks their connection.
	LoseReplies int `json:"loseReplies"`
	// ListLagMillis is how far the VM list lags behind the truth.
	ListLagMillis int `json:"listLagMillis"`
}

// Platform is a stand-in for the Object API and the VM list.
type Platform struct {
	mu      sync.Mutex
	objects map[string]declarer.Object
	vms     map[string]declarer.VM
	listed  declarer.VMList
	changed chan struct{}
	faults  PlatformFaults
	calls   map[string]int
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		objects: map[string]declarer.Object{},
		vms:     map[string]declarer.VM{},
		changed: make(chan struct{}),
		calls:   map[string]int{},
	}
}

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notify()
}

// Calls returns how many calls of each kind were taken.
func (p *Platform) Calls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.calls)
}

// SetVM adds or replaces a VM; the list shows it after its lag.
func (p *Platform) SetVM(vm declarer.VM) {
	p.mu.Lock()
	p.vms[vm.Name] = vm
	p.mu.Unlock()
	p.publishList()
}

// RemoveVM takes a VM off the list after its lag.
func (p *Platform) RemoveVM(name string) {
	p.mu.Lock()
	delete(p.vms, name)
	p.mu.Unlock()
	p.publishList()
}

// Restore puts an object back to an older state, as an operator's restore does.
func (p *Platform) Restore(o declarer.Object) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[o.Name] = o
	p.notify()
}

// Object returns an object as it stands.
func (p *Platform) Object(name string) declarer.Object {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.objects[name]
}

func (p *Platform) publishList() {
	p.mu.Lock()
	lag := time.Duration(p.faults.ListLagMillis) * time.Millisecond
	list := make([]declarer.VM, 0, len(p.vms))
	for _, name := range slices.Sorted(maps.Keys(p.vms)) {
		list = append(list, p.vms[name])
	}
	p.mu.Unlock()
	publish := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.listed = declarer.VMList{Version: p.listed.Version + 1, VMs: list}
		p.notify()
	}
	if lag == 0 {
		publish()
		return
	}
	time.AfterFunc(lag, publish)
}

// notify wakes every waiting watch. The caller holds mu.
func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Handler serves the Object API, the VM list and the fault switches.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{name...}", p.faulty("read", p.getObject))
	mux.HandleFunc("PUT /objects/{name...}", p.faulty("write", p.putObject))
	mux.HandleFunc("GET /vms", p.faulty("list", p.getVMs))
	mux.HandleFunc("PUT /vms/{name}", p.putVM)
	mux.HandleFunc("PUT /faults", p.putFaults)
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Calls()) })
	return mux
}

// faulty counts a call and applies the faults in force to it.
func (p *Platform) faulty(kind string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.calls[kind]++
		f := p.faults
		p.mu.Unlock()
		if f.SlowMillis > 0 {
			time.Sleep(time.Duration(f.SlowMillis) * time.Millisecond)
		}
		if f.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

// watch calls read until it reports a version above after, or time is up.
func (p *Platform) watch(ctx context.Context, after uint64, wait time.Duration, read func() uint64) bool {
	deadline := time.After(wait)
	for {
		p.mu.Lock()
		version, changed, outage := read(), p.changed, p.faults.Outage
		p.mu.Unlock()
		if outage {
			return false
		}
		if version > after {
			return true
		}
		select {
		case <-changed:
		case <-deadline:
			return true
		case <-ctx.Done():
			return true
		}
	}
}

func watchArgs(r *http.Request) (uint64, time.Duration) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMillis"))
	return after, time.Duration(wait) * time.Millisecond
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	after, wait := watchArgs(r)
	var object declarer.Object
	ok := p.watch(r.Context(), after, wait, func() uint64 {
		object = p.objects[name]
		return object.Version
	})
	if !ok {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	if object.Version == 0 {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	writeJSON(w, object)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	expected, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		http.Error(w, "version must be a number", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, maxObjectBytes+1))
	if err != nil || len(value) > maxObjectBytes {
		http.Error(w, "value unreadable or too large", http.StatusRequestEntityTooLarge)
		return
	}
	p.mu.Lock()
	current := p.objects[name]
	if current.Version != expected {
		p.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	stored := declarer.Object{Name: name, Version: expected + 1, Value: value}
	p.objects[name] = stored
	lose := p.faults.LoseReplies > 0
	if lose {
		p.faults.LoseReplies--
	}
	p.notify()
	p.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, declarer.Object{Name: name, Version: stored.Version})
}

func (p *Platform) getVMs(w http.ResponseWriter, r *http.Request) {
	after, wait := watchArgs(r)
	var list declarer.VMList
	ok := p.watch(r.Context(), after, wait, func() uint64 {
		list = p.listed
		return list.Version
	})
	if !ok {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, list)
}

func (p *Platform) putVM(w http.ResponseWriter, r *http.Request) {
	var vm declarer.VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	vm.Name = strings.TrimSpace(r.PathValue("name"))
	p.SetVM(vm)
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f PlatformFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// VMListVersion returns the version of the VM list that is shown.
func (p *Platform) VMListVersion() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listed.Version
}
