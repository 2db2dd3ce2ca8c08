package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval at which searchers write their entries, and expiryBeats the
// number of silent intervals after which the store removes an entry.
const (
	heartbeat   = 1200 * time.Millisecond
	expiryBeats = 3
)

// A page of a list has about this much at most.
const (
	pageObjects = 500
	pageBytes   = 1 << 20
)

type object struct {
	kind, name string
	revision   uint64
	created    uint64
	spec       json.RawMessage
	// beatAt is when the entry was last written, for kind servers.
	beatAt time.Time
}

type change struct {
	object  object
	deleted bool
}

// store is a stand-in for the platform's metadata store. All its answers are linearizable.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]object
	history  []change
	changed  chan struct{}
	record   *record
	listener net.Listener
	server   *http.Server
	// plainText leaves <, > and & in texts as they are, where Go would escape them.
	plainText bool
	stop      chan struct{}
}

func newStore(address string, r *record) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{revision: 100, objects: map[string]object{}, changed: make(chan struct{}), record: r, listener: l, stop: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	go s.expire()
	return s, nil
}

func (s *store) close() {
	close(s.stop)
	_ = s.server.Close()
}

// expire removes the entries of searchers that have been silent for three intervals.
func (s *store) expire() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		s.mu.Lock()
		for key, o := range s.objects {
			if o.kind == "servers" && !o.beatAt.IsZero() && time.Since(o.beatAt) > expiryBeats*heartbeat {
				s.record.line("store removes %s after three silent heartbeats", o.name)
				s.deleteLocked(key)
			}
		}
		s.mu.Unlock()
	}
}

// put creates or replaces an object. An entry that differs in seq alone raises no event.
func (s *store) put(kind, name string, spec any) uint64 {
	data := s.marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	key := kind + "/" + name
	old, exists := s.objects[key]
	if exists && withoutSeq(old.spec) == withoutSeq(data) {
		old.beatAt = time.Now()
		s.objects[key] = old
		return s.revision
	}
	s.revision++
	o := object{kind: kind, name: name, revision: s.revision, created: s.revision, spec: data, beatAt: time.Now()}
	if exists {
		o.created = old.created
	}
	s.objects[key] = o
	s.publishLocked(change{object: o})
	return s.revision
}

func (s *store) newEncoder(w io.Writer) *json.Encoder {
	out := json.NewEncoder(w)
	out.SetEscapeHTML(!s.plainText)
	return out
}

func (s *store) marshal(spec any) json.RawMessage {
	var out bytes.Buffer
	if err := s.newEncoder(&out).Encode(spec); err != nil {
		panic(err)
	}
	return bytes.TrimSpace(out.Bytes())
}

func withoutSeq(spec json.RawMessage) string {
	var fields map[string]any
	if json.Unmarshal(spec, &fields) != nil {
		return string(spec)
	}
	delete(fields, "seq")
	out, _ := json.Marshal(fields)
	return string(out)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteLocked(kind + "/" + name)
}

func (s *store) deleteLocked(key string) {
	o, ok := s.objects[key]
	if !ok {
		return
	}
	delete(s.objects, key)
	s.revision++
	o.revision = s.revision
	s.publishLocked(change{object: o, deleted: true})
}

func (s *store) publishLocked(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func encode(o object) map[string]any {
	return map[string]any{
		"meta":   map[string]any{"name": o.name, "revision": o.revision, "createRevision": o.created, "finalizers": []string{}, "deleting": false},
		"spec":   o.spec,
		"status": nil,
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, ok := strings.CutPrefix(r.URL.Path, "/-/objects/")
	if !ok || r.Method != http.MethodGet {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	time.Sleep(4 * time.Millisecond)
	w.Header().Set("Content-Type", "application/json")
	if text := r.URL.Query().Get("watch"); text != "" {
		s.watch(w, r, kind, text)
		return
	}
	s.mu.Lock()
	items := []any{}
	var names []string
	for _, o := range s.objects {
		if o.kind == kind && o.name > r.URL.Query().Get("after") {
			names = append(names, o.name)
		}
	}
	sort.Strings(names)
	more, size := false, 0
	for _, name := range names {
		o := s.objects[kind+"/"+name]
		if size += len(o.spec); len(items) == pageObjects || size > pageBytes && len(items) > 0 {
			more = true
			break
		}
		items = append(items, encode(o))
	}
	asOf := s.revision
	s.mu.Unlock()
	_ = s.newEncoder(w).Encode(map[string]any{"items": items, "hasMore": more, "asOf": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind, text string) {
	after, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []any{}
		for _, c := range s.history {
			if c.object.kind == kind && c.object.revision > after {
				events = append(events, map[string]any{"object": encode(c.object), "deleted": c.deleted})
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			_ = s.newEncoder(w).Encode(map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			_ = s.newEncoder(w).Encode(map[string]any{"events": events, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		case <-s.stop:
			return
		}
	}
}

// entry is what a searcher writes of itself.
func entry(service, address, zone, state string, slots int, seq int, born int64, warmup time.Duration) map[string]any {
	return map[string]any{
		"service": service, "addr": address, "zone": zone, "version": "v1", "maxConcurrency": slots,
		"state": state, "warmupLeftMs": warmup.Milliseconds(), "seq": seq, "born": born,
	}
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	_, port, err := net.SplitHostPort(l.Addr().String())
	if err != nil {
		return 0, err
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return 0, fmt.Errorf("free port: %w", err)
	}
	return n, nil
}
