package emulator

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiastile/fuchsiastile/platform"
)

// StoreFaults selects the faults that the emulated store injects.
type StoreFaults struct {
	// Refuse is the HTTP status with which every call is rejected; zero rejects none.
	Refuse int `json:"refuse"`
	// ReadOnly rejects calls that change objects.
	ReadOnly bool `json:"readOnly"`
	// Silent accepts calls but never replies.
	Silent bool `json:"silent"`
	// Deaf hides all changes from watches.
	Deaf bool `json:"deaf"`
	// Slow is the delay before each reply.
	Slow time.Duration `json:"slow"`
	// Only lists the remote IP addresses to which the faults apply; empty means all.
	Only []string `json:"only"`
}

// Store emulates the platform's metadata store.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]platform.Object
	history  []storeEvent
	// era is named in every reply and rises with each Restore.
	era uint64
	// oldestRevision is the revision after which history is complete.
	oldestRevision uint64
	changed        chan struct{}
	// compactions counts calls of Compact; a watch that detects one aborts its connection.
	compactions int
	faults      StoreFaults
	calls       map[string]int
}

type storeEvent struct {
	kind     string
	revision uint64
	change   platform.Change
}

// pageSize is the maximum number of objects in a page of a list.
const pageSize = 50

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{era: 1, revision: 1, oldestRevision: 1, objects: map[string]map[string]platform.Object{}, changed: make(chan struct{}), calls: map[string]int{}}
}

// Put creates or updates an object. An unchanged specification creates no revision.
func (s *Store) Put(kind, name string, spec json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]platform.Object{}
	}
	if old, ok := s.objects[kind][name]; ok && string(old.Spec) == string(spec) {
		return
	}
	s.revision++
	o := platform.Object{Name: name, Revision: s.revision, Spec: spec}
	s.objects[kind][name] = o
	s.appendHistory(kind, platform.Change{Object: o})
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Revision = s.revision
	s.appendHistory(kind, platform.Change{Object: o, Deleted: true})
}

// appendHistory records a change at the current revision and wakes all watches. The
// caller must hold mu.
func (s *Store) appendHistory(kind string, change platform.Change) {
	s.history = append(s.history, storeEvent{kind: kind, revision: s.revision, change: change})
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact discards the history and aborts all pending watches.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.oldestRevision = s.revision
	s.compactions++
	close(s.changed)
	s.changed = make(chan struct{})
}

// StoreCopy is a copy of a store's content at one revision.
type StoreCopy struct {
	revision uint64
	objects  map[string]map[string]platform.Object
}

// Copy returns a copy of the content.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := StoreCopy{revision: s.revision, objects: map[string]map[string]platform.Object{}}
	for kind, objects := range s.objects {
		out.objects[kind] = maps.Clone(objects)
	}
	return out
}

// Restore replaces the content with an earlier copy: the revision goes back, the history
// is gone, pending watches are aborted and the next era begins.
func (s *Store) Restore(c StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = map[string]map[string]platform.Object{}
	for kind, objects := range c.objects {
		s.objects[kind] = maps.Clone(objects)
	}
	s.era++
	s.revision, s.oldestRevision = c.revision, c.revision
	s.history = nil
	s.compactions++
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetFaults replaces the active faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// Calls returns the number of calls by remote IP address.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// ServeHTTP implements http.Handler. It responds with 410 Gone to a watch whose
// revision precedes the retained history.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	remote := hostOf(r.RemoteAddr)
	s.mu.Lock()
	s.calls[remote]++
	s.mu.Unlock()
	faults := s.faultsFor(remote)
	switch {
	case faults.Silent:
		<-r.Context().Done()
		return
	case faults.Refuse > 0:
		w.WriteHeader(faults.Refuse)
		return
	case faults.ReadOnly && r.Method != http.MethodGet:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if faults.Slow > 0 {
		time.Sleep(faults.Slow)
	}
	if r.Method != http.MethodGet {
		s.handleWrite(w, r)
		return
	}
	call, err := platform.ParseStoreCall(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var body []byte
	var era uint64
	if call.IsWatch {
		body, era, err = s.watch(r, call, remote)
	} else {
		body, era, err = s.list(call)
	}
	platform.WriteStoreEra(w.Header(), era)
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	case body == nil:
		w.WriteHeader(http.StatusGone)
	default:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body)
	}
}

// handleWrite creates or replaces an object. It responds with 409 Conflict to a creation if
// there is one of the name, and with 404 Not Found to a replacement if there is none.
func (s *Store) handleWrite(w http.ResponseWriter, r *http.Request) {
	kind, o, replaces, err := platform.ParseStoreWrite(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	_, exists := s.objects[kind][o.Name]
	platform.WriteStoreEra(w.Header(), s.era)
	s.mu.Unlock()
	switch {
	case exists && !replaces:
		w.WriteHeader(http.StatusConflict)
	case !exists && replaces:
		w.WriteHeader(http.StatusNotFound)
	default:
		s.Put(kind, o.Name, o.Spec)
	}
}

func (s *Store) faultsFor(remote string) StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults.Only) > 0 && !slices.Contains(s.faults.Only, remote) {
		return StoreFaults{}
	}
	return s.faults
}

// list returns one page and the era that it is from.
func (s *Store) list(call platform.StoreCall) (body []byte, era uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := slices.Sorted(maps.Keys(s.objects[call.Kind]))
	var out []platform.Object
	for _, name := range names {
		if name <= call.After && call.After != "" {
			continue
		}
		if len(out) == pageSize {
			body, err = platform.EncodeList(out, true, s.revision)
			return body, s.era, err
		}
		out = append(out, s.objects[call.Kind][name])
	}
	body, err = platform.EncodeList(out, false, s.revision)
	return body, s.era, err
}

// watch returns the changes after the revision of a call, waiting for the first one for
// at most call.Wait. It returns nil if the revision precedes the retained history or has
// not been reached since a Restore.
func (s *Store) watch(r *http.Request, call platform.StoreCall, remote string) (body []byte, era uint64, err error) {
	timer := time.NewTimer(call.Wait)
	defer timer.Stop()
	s.mu.Lock()
	compactions := s.compactions
	s.mu.Unlock()
	for expired := false; ; {
		hideChanges := s.faultsFor(remote).Deaf
		s.mu.Lock()
		if s.compactions != compactions {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if call.Revision < s.oldestRevision || call.Revision > s.revision {
			era = s.era
			s.mu.Unlock()
			return nil, era, nil
		}
		var changes []platform.Change
		for _, e := range s.history {
			if e.kind == call.Kind && e.revision > call.Revision && !hideChanges {
				changes = append(changes, e.change)
			}
		}
		changed, asOf, era := s.changed, s.revision, s.era
		s.mu.Unlock()
		if len(changes) > 0 || expired {
			body, err = platform.EncodeChanges(changes, asOf)
			return body, era, err
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return nil, era, r.Context().Err()
		}
	}
}
