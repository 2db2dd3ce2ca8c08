// Package emulator implements emulated platforms and backend servers with fault
// injection, one field per fault. The demo, the tests and cmd/standin use them.
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

// maxObjectBytes limits the size of a value in the Object API.
const maxObjectBytes = 1 << 20

// PlatformFaults selects the faults that the emulated platform injects.
type PlatformFaults struct {
	// Outage rejects every call with status 503.
	Outage bool `json:"outage"`
	// SlowMillis delays every call by this many milliseconds.
	SlowMillis int `json:"slowMillis"`
	// LoseReplies is the number of writes that are applied but whose connection is
	// closed without a reply.
	LoseReplies int `json:"loseReplies"`
	// ListLagMillis is the delay until the VM list shows a change.
	ListLagMillis int `json:"listLagMillis"`
}

// Platform emulates the Object API and the VM list.
type Platform struct {
	mu        sync.Mutex
	objects   map[string]declarer.Object
	vms       map[string]declarer.VM
	published declarer.VMList
	// captures counts the lists captured for publication; publishedCapture is the
	// number of the published one.
	captures, publishedCapture int
	changed                    chan struct{}
	faults                     PlatformFaults
	calls                      map[string]int
}

// NewPlatform returns a platform without objects and VMs.
func NewPlatform() *Platform {
	return &Platform{
		objects: map[string]declarer.Object{},
		vms:     map[string]declarer.VM{},
		changed: make(chan struct{}),
		calls:   map[string]int{},
	}
}

// SetFaults replaces the active faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notify()
}

// Calls returns the number of calls by kind: read, write and list.
func (p *Platform) Calls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.calls)
}

// SetVM adds or replaces a VM. The VM list shows the change after ListLagMillis.
func (p *Platform) SetVM(vm declarer.VM) {
	p.mu.Lock()
	p.vms[vm.Name] = vm
	p.mu.Unlock()
	p.publishList()
}

// RemoveVM removes a VM. The VM list shows the change after ListLagMillis.
func (p *Platform) RemoveVM(name string) {
	p.mu.Lock()
	delete(p.vms, name)
	p.mu.Unlock()
	p.publishList()
}

// Restore overwrites an object, version included, as an operator does when
// restoring an older state from a backup.
func (p *Platform) Restore(o declarer.Object) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[o.Name] = o
	p.notify()
}

// Object returns the current state of an object.
func (p *Platform) Object(name string) declarer.Object {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.objects[name]
}

// publishList captures the VMs and publishes them as a new list version after the lag.
func (p *Platform) publishList() {
	p.mu.Lock()
	lag := time.Duration(p.faults.ListLagMillis) * time.Millisecond
	list := make([]declarer.VM, 0, len(p.vms))
	for _, name := range slices.Sorted(maps.Keys(p.vms)) {
		list = append(list, p.vms[name])
	}
	p.captures++
	capture := p.captures
	p.mu.Unlock()
	publish := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if capture < p.publishedCapture {
			// The lag was lowered after this list was captured.
			return
		}
		p.publishedCapture = capture
		p.published = declarer.VMList{Version: p.published.Version + 1, VMs: list}
		p.notify()
	}
	if lag == 0 {
		publish()
		return
	}
	time.AfterFunc(lag, publish)
}

// notify wakes all watches. The caller must hold mu.
func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Handler returns a handler for the Object API, the VM list and fault injection.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{name...}", p.withFaults("read", p.getObject))
	mux.HandleFunc("PUT /objects/{name...}", p.withFaults("write", p.putObject))
	mux.HandleFunc("GET /vms", p.withFaults("list", p.getVMs))
	mux.HandleFunc("PUT /vms/{name}", p.putVM)
	mux.HandleFunc("PUT /faults", p.putFaults)
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Calls()) })
	return mux
}

// withFaults wraps a handler: it counts the call by kind and applies the active faults.
func (p *Platform) withFaults(kind string, next http.HandlerFunc) http.HandlerFunc {
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

// watch waits until read, which is called with mu held, returns a version above after,
// or until wait has passed or ctx is done. It reports false during an outage.
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
		http.Error(w, "object not found", http.StatusNotFound)
		return
	}
	writeJSON(w, object)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	expected, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		http.Error(w, "version must be an unsigned integer", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, maxObjectBytes+1))
	if err != nil || len(value) > maxObjectBytes {
		http.Error(w, "cannot read value, or value exceeds 1 MiB", http.StatusRequestEntityTooLarge)
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
	loseReply := p.faults.LoseReplies > 0
	if loseReply {
		p.faults.LoseReplies--
	}
	p.notify()
	p.mu.Unlock()
	if loseReply {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, declarer.Object{Name: name, Version: stored.Version})
}

func (p *Platform) getVMs(w http.ResponseWriter, r *http.Request) {
	after, wait := watchArgs(r)
	var list declarer.VMList
	ok := p.watch(r.Context(), after, wait, func() uint64 {
		list = p.published
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

// VMListVersion returns the version of the published VM list.
func (p *Platform) VMListVersion() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.published.Version
}
