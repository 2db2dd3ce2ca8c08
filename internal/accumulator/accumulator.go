// Package accumulator reads the bodies of replies within a memory limit that all bodies
// being read share. Without it, backend servers that send endless bodies for all shards of
// a query would take the memory of a small VM.
package accumulator

import (
	"io"
	"sync/atomic"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	// KindTooLong means that a body exceeds its maximum size.
	KindTooLong Kind = "tooLong"
	// KindNoMemory means that too many long bodies are being read at once.
	KindNoMemory Kind = "noMemory"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// opRead is the operation in all errors of this package.
const opRead = "read body"

const (
	// unpooledBytes is how much of a body may be read without room in the pool.
	unpooledBytes = 64 << 10
	// poolStep is the number of bytes that are taken from the pool at a time.
	poolStep = 64 << 10
	// poolBytes bounds the memory of all bodies being read, beyond unpooledBytes each.
	poolBytes = 8 << 20
)

// Accumulator reads bodies. It is safe for concurrent use.
type Accumulator struct {
	// left is the number of bytes that are left in the pool.
	left atomic.Int64
}

// New returns an Accumulator with a pool of its own.
func New() *Accumulator {
	a := &Accumulator{}
	a.left.Store(poolBytes)
	return a
}

// Read reads a body of at most maxBytes to its end. It returns an error of KindTooLong or
// KindNoMemory, or the error of the body's reader.
func (a *Accumulator) Read(body io.Reader, maxBytes int) ([]byte, error) {
	r := &pooledReader{body: io.LimitReader(body, int64(maxBytes)+1), left: &a.left, room: unpooledBytes}
	defer func() { a.left.Add(r.taken) }()
	content, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	if len(content) > maxBytes {
		return nil, failer.New(opRead, KindTooLong, "body exceeds %d bytes", maxBytes)
	}
	return content, nil
}

// pooledReader takes room from the pool for what it reads.
type pooledReader struct {
	body io.Reader
	// left is that of the Accumulator.
	left *atomic.Int64
	// room is what may still be read without taking more, and taken what was taken from
	// the pool.
	room  int
	taken int64
}

// Read implements io.Reader.
func (r *pooledReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	for r.room -= n; r.room < 0; r.room += poolStep {
		if r.left.Add(-poolStep) < 0 {
			r.left.Add(poolStep)
			return 0, failer.New(opRead, KindNoMemory, "too many long bodies at once")
		}
		r.taken += poolStep
	}
	return n, err
}
