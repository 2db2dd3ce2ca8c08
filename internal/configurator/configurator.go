// Package configurator holds the documents in force on a daemon and decides which
// offered documents replace them. It performs no I/O.
//
// Documents are ordered by generation: a document is only ever replaced by one of
// a higher generation, whatever a lagging watch, a restored store or a peer
// reports. Two contents of the same generation can only occur if the store was
// restored before any daemon had received the first one. In that case the one with
// the greater digest wins, so that all daemons converge.
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
	// Since is when the daemon accepted the document.
	Since time.Time
}

// Verdict is the result of checking an offered document or a document head.
type Verdict int

// Verdicts on documents and heads.
const (
	// Newer means that an offer or a head is newer than the document in force.
	Newer Verdict = iota + 1
	// Accepted means that the document is now in force.
	Accepted
	// Older means that the offered generation is lower than the one in force.
	Older
	// Same means that the offered document is the one in force.
	Same
	// Conflict means that the offered document has the generation in force but
	// other content, with a lower digest.
	Conflict
	// Corrupt means that the content does not match its digest or failed validation.
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
	// check validates a document before it comes into force. If nil, every
	// document is valid.
	check func(Document) error
}

// New returns an empty registry that validates documents with check, unless it is nil.
func New(check func(Document) error) *Registry {
	return &Registry{documents: map[string]Document{}, check: check}
}

// CompareHead compares an advertised head with the document in force. The result is
// Newer if the document should be fetched.
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

// Offer puts a document in force if it is valid and newer than the one in force.
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

// InForce returns the document in force under a name. Its generation is zero if
// there is none.
func (r *Registry) InForce(name string) Document {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.documents[name]
}

// All returns all documents in force, in no particular order.
func (r *Registry) All() []Document {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Document, 0, len(r.documents))
	for _, d := range r.documents {
		out = append(out, d)
	}
	return out
}

// Digest returns the SHA-256 digest of a document's content in hexadecimal.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}
