package main

import (
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
	pageItems = 50
	pageBytes = 1 << 20
	storeEra  = "1"
)

// store is a stand-in for the platform's metadata store. It answers lists and watches;
// the operator and the searchers write to it by put and remove, whose return is the
// acknowledgement.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
}

type object struct {
	Meta   objectMeta      `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type objectMeta struct {
	Name           string   `json:"name"`
	Revision       uint64   `json:"revision"`
	CreateRevision uint64   `json:"createRevision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

type event struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 500, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) put(kind, name string, spec json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	old, ok := s.objects[kind][name]
	s.revision++
	o := object{Meta: objectMeta{Name: name, Revision: s.revision, CreateRevision: s.revision, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if ok {
		o.Meta.CreateRevision = old.Meta.CreateRevision
	}
	s.objects[kind][name] = o
	s.announce(event{kind: kind, revision: s.revision, Object: o})
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Meta.Revision = s.revision
	s.announce(event{kind: kind, revision: s.revision, Object: o, Deleted: true})
}

// announce appends a change to the history and wakes the watches. The caller holds mu.
func (s *store) announce(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", storeEra)
	kind, ok := strings.CutPrefix(r.URL.Path, "/-/objects/")
	if !ok || r.Method != http.MethodGet {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	query := r.URL.Query()
	var reply any
	switch {
	case strings.Contains(kind, "/"):
		kind, name, _ := strings.Cut(kind, "/")
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply = o
	case query.Has("watch"):
		after, err := strconv.ParseUint(query.Get("watch"), 10, 64)
		wait, waitErr := strconv.Atoi(query.Get("waitMs"))
		if err != nil || waitErr != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		reply = s.watch(r, kind, after, time.Duration(wait)*time.Millisecond)
	default:
		reply = s.list(kind, query.Get("after"))
	}
	body, err := json.Marshal(reply)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

type listReply struct {
	Items   []object `json:"items"`
	HasMore bool     `json:"hasMore"`
	AsOf    uint64   `json:"asOf"`
}

func (s *store) list(kind, after string) listReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := listReply{Items: []object{}, AsOf: s.revision}
	size := 0
	for _, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
		if after != "" && name <= after {
			continue
		}
		o := s.objects[kind][name]
		if len(out.Items) == pageItems || len(out.Items) > 0 && size+len(o.Spec) > pageBytes {
			out.HasMore = true
			break
		}
		out.Items = append(out.Items, o)
		size += len(o.Spec)
	}
	return out
}

type watchReply struct {
	Events []event `json:"events"`
	AsOf   uint64  `json:"asOf"`
}

func (s *store) watch(r *http.Request, kind string, after uint64, wait time.Duration) watchReply {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		out := watchReply{Events: []event{}, AsOf: s.revision}
		for _, e := range s.history {
			if e.kind == kind && e.revision > after {
				out.Events = append(out.Events, e)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(out.Events) > 0 || expired {
			return out
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return out
		}
	}
}
