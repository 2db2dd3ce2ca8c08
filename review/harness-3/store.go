package main

import (
	"bytes"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeDelay is the time that the store takes for an answer.
	storeDelay = 4 * time.Millisecond
	// maxPageItems and maxPageBytes bound a reply of the store: "about 500 or 1 MB at most".
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

// object is an object of the store.
type object struct {
	name     string
	revision uint64
	created  uint64
	spec     json.RawMessage
}

// change is an event of the store's history.
type change struct {
	kind    string
	object  object
	deleted bool
}

// store is the stand-in of the platform's metadata store: lists, watches and, for the
// operator and the searchers, direct writes.
type store struct {
	server  *http.Server
	address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
	// isDown makes the store silent for everybody: calls get no answer and writes are
	// not accepted.
	isDown bool
}

func startStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

func (s *store) setDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
	s.notify()
}

// notify wakes the waiting watches. The caller holds mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object and reports whether the store accepted that.
func (s *store) put(kind, name string, spec json.RawMessage) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return false
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	old, exists := s.objects[kind][name]
	if exists && string(old.spec) == string(spec) {
		return true
	}
	s.revision++
	o := object{name: name, revision: s.revision, created: s.revision, spec: spec}
	if exists {
		o.created = old.created
	}
	s.objects[kind][name] = o
	s.history = append(s.history, change{kind: kind, object: o})
	s.notify()
	return true
}

// remove deletes an object and reports whether the store accepted that.
func (s *store) remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return false
	}
	if o, ok := s.objects[kind][name]; ok {
		delete(s.objects[kind], name)
		s.revision++
		o.revision = s.revision
		s.history = append(s.history, change{kind: kind, object: o, deleted: true})
		s.notify()
	}
	return true
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	isDown := s.isDown
	s.mu.Unlock()
	if isDown {
		<-r.Context().Done()
		return
	}
	time.Sleep(storeDelay)
	kind, ok := strings.CutPrefix(r.URL.Path, "/-/objects/")
	if !ok || kind == "" || strings.Contains(kind, "/") || r.Method != http.MethodGet {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	query := r.URL.Query()
	var reply map[string]any
	if query.Has("watch") {
		after, _ := strconv.ParseUint(query.Get("watch"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		if reply = s.watch(r, kind, after, time.Duration(min(wait, 30_000))*time.Millisecond); reply == nil {
			return
		}
	} else {
		reply = s.list(kind, query.Get("after"))
	}
	body, err := encode(reply)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	_, _ = w.Write(body)
}

// encode returns JSON in which texts stand as they are.
func encode(value any) (json.RawMessage, error) {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(value)
	return bytes.TrimSpace(out.Bytes()), err
}

func (o object) encode() map[string]any {
	return map[string]any{
		"meta":   map[string]any{"name": o.name, "revision": o.revision, "createRevision": o.created, "finalizers": []string{}, "deleting": false},
		"spec":   o.spec,
		"status": map[string]any{},
	}
}

func (s *store) list(kind, after string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, size, hasMore := []any{}, 0, false
	for _, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
		if after != "" && name <= after {
			continue
		}
		o := s.objects[kind][name]
		if len(items) > 0 && (len(items) == maxPageItems || size+len(o.spec) > maxPageBytes) {
			hasMore = true
			break
		}
		items, size = append(items, o.encode()), size+len(o.spec)
	}
	return map[string]any{"items": items, "hasMore": hasMore, "asOf": s.revision}
}

// watch returns the changes after a revision, or nil if the store went down meanwhile.
func (s *store) watch(r *http.Request, kind string, after uint64, wait time.Duration) map[string]any {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events, asOf := s.changesAfter(kind, after)
		changed, isDown := s.changed, s.isDown
		s.mu.Unlock()
		switch {
		case isDown:
			<-r.Context().Done()
			return nil
		case len(events) > 0 || expired:
			return map[string]any{"events": events, "asOf": asOf}
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return nil
		}
	}
}

// changesAfter returns as many changes as fit into a reply and the revision to watch from
// after them. The caller holds mu.
func (s *store) changesAfter(kind string, after uint64) ([]any, uint64) {
	events, size := []any{}, 0
	for _, c := range s.history {
		if c.kind != kind || c.object.revision <= after {
			continue
		}
		if len(events) > 0 && size+len(c.object.spec) > maxPageBytes {
			return events, c.object.revision - 1
		}
		events = append(events, map[string]any{"object": c.object.encode(), "deleted": c.deleted})
		size += len(c.object.spec)
	}
	return events, s.revision
}
