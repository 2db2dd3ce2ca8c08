package exchanger

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// unpooledBodyBytes is how much of a reply body may be read without room in the pool.
	unpooledBodyBytes = 64 << 10
	// poolStep is the number of bytes that are taken from the pool at a time.
	poolStep = 64 << 10
	// bodyPoolBytes bounds the memory of all bodies being read, beyond unpooledBodyBytes
	// each. Without it, searchers that send endless bodies for all shards of a query
	// would take the memory of a small VM.
	bodyPoolBytes = 8 << 20
)

var (
	errBodyTooLong = errors.New("reply body exceeds the maximum size")
	errPoolEmpty   = errors.New("too many long reply bodies at once")
)

// bodyPool is the memory that is left for long bodies, in bytes.
type bodyPool struct{ left atomic.Int64 }

func newBodyPool(bytes int64) *bodyPool {
	p := &bodyPool{}
	p.left.Store(bytes)
	return p
}

// read reads a body of at most maxReplyBytes to its end.
func (p *bodyPool) read(body io.Reader) ([]byte, error) {
	r := &pooledReader{body: io.LimitReader(body, maxReplyBytes+1), pool: p, room: unpooledBodyBytes}
	defer func() { p.left.Add(r.taken) }()
	content, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	if len(content) > maxReplyBytes {
		return nil, errBodyTooLong
	}
	return content, nil
}

// pooledReader takes room from the pool for what it reads.
type pooledReader struct {
	body io.Reader
	pool *bodyPool
	// room is what may still be read without taking more, and taken what was taken from
	// the pool.
	room  int
	taken int64
}

// Read implements io.Reader.
func (r *pooledReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	for r.room -= n; r.room < 0; r.room += poolStep {
		if r.pool.left.Add(-poolStep) < 0 {
			r.pool.left.Add(poolStep)
			return 0, errPoolEmpty
		}
		r.taken += poolStep
	}
	return n, err
}
