// Package configurator keeps the documents in force on a daemon and decides
// which of those that it hears of to take. It does no input or output.
//
// Generation order is the only order: a document is only ever replaced by one
// of a higher generation, whatever a lagging watch, a restored store or a peer
// says. Two contents of one generation can only come from a store that was
// restored before any daemon had the first; then the greater digest ranks
// higher, so that all daemons come to agree.
package configurator

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"
)

// Document is one generation of a named document.
type Document struct {
	Name       string
	Generation uint64
	Digest     string
	Content    []byte
	// Since is when the daemon took it.
	Since time.Time
}

// Verdict is what became of an offered document or head.
type Verdict int

// The verdicts.
const (
	// Newer means that a head is newer than what is in force.
	Newer Verdict = iota + 1
	// Accepted means that the document is now in force.
	Accepted
	// Older means that the offer is behind what is in force.
	Older
	// Same means that the offer is what is in force.
	Same
	// Conflict means that the offer has the generation in force but other content of a lower rank.
	Conflict
	// Corrupt means that the content does not match its digest or was rejected.
	Corrupt
)

// String returns the verdict's name.
func (v Verdict) String() string {
	names := [...]string{Newer: "wanted", Accepted: "taken", Older: "older", Same: "same", Conflict: "conflict", Corrupt: "corrupt"}
	return names[v]
}

// Registry holds the documents in force. It is safe for concurrent use.
type Registry struct {
	mu        sync.Mutex
	documents map[string]Document
	// Check rejects content that must not come into force; nil takes all.
	check func(Document) error
}

// New returns an empty register.
func New(check func(Document) error) *Registry {
	return &Registry{documents: map[string]Document{}, check: check}
}

// CompareHead tells whether a document that was heard of is worth fetching.
func (r *Registry) CompareHead(name string, generation uint64, digest string) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return compare(r.documents[name], generation, digest)
}

func compare(inForce Document, generation uint64, digest string) Verdict {
	switch {
	case generation > inForce.Generation:
		return Newer
	case generation < inForce.Generation:
		return Older
	case digest == inForce.Digest:
		return Same
	case digest > inForce.Digest:
		return Newer
	default:
		return Conflict
	}
}

// Offer takes a document if it is newer than what is in force and sound.
func (r *Registry) Offer(d Document) Verdict {
	if Digest(d.Content) != d.Digest {
		return Corrupt
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := compare(r.documents[d.Name], d.Generation, d.Digest); v != Newer {
		return v
	}
	if r.check != nil && r.check(d) != nil {
		return Corrupt
	}
	r.documents[d.Name] = d
	return Accepted
}

// InForce returns a document; its generation is zero if there is none.
func (r *Registry) InForce(name string) Document {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.documents[name]
}

// All returns every document in force.
func (r *Registry) All() []Document {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Document, 0, len(r.documents))
	for _, d := range r.documents {
		out = append(out, d)
	}
	return out
}

// Digest returns the digest that names a content.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}
