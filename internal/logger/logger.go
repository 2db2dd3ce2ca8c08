// Package logger makes log output asynchronous and rate-limited: lines are queued
// in a queue of fixed size, a token bucket bounds their rate, and logging never
// blocks. Dropped lines are counted, and the count is logged.
package logger

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queueSize is how many lines may wait to be written: a burst of one second's
	// lines.
	queueSize = 512
	// linesPerSecond and burstLines are the rate and the size of the token bucket
	// that bounds the log volume under load.
	linesPerSecond = 150
	burstLines     = 600
	// reservedLines is the part of the queue and of the token bucket that is left for
	// lines of errors.
	reservedLines = 100
)

// errorPrefix begins klog's lines of errors.
var errorPrefix = []byte("E")

// Writer writes lines to an underlying writer without blocking on it. It is safe
// for concurrent use.
type Writer struct {
	out   io.Writer
	queue chan []byte

	mu sync.Mutex
	// tokens is how many lines may be queued now; it never exceeds burstLines.
	tokens     float64
	refilledAt time.Time
	// dropped counts the lines dropped since the last one that was queued.
	dropped int
	// closed is set by Close; later lines are discarded.
	closed bool
	done   chan struct{}
}

// New returns a writer that writes lines to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, queue: make(chan []byte, queueSize), tokens: burstLines, refilledAt: time.Now(), done: make(chan struct{})}
	go w.drainQueue()
	return w
}

// Write queues a copy of a line, or drops it if the rate limit is exceeded or the
// queue is full. Lines of errors may use what is reserved for them. It always reports
// success.
func (w *Writer) Write(line []byte) (int, error) {
	queued := append([]byte(nil), line...)
	reserved := reservedLines
	if bytes.HasPrefix(line, errorPrefix) {
		reserved = 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	now := time.Now()
	w.tokens = min(burstLines, w.tokens+linesPerSecond*now.Sub(w.refilledAt).Seconds())
	w.refilledAt = now
	if w.tokens < float64(1+reserved) || len(w.queue) >= queueSize-reserved {
		w.dropped++
		return len(line), nil
	}
	if w.dropped > 0 {
		queued = append(fmt.Appendf(nil, "I log lines dropped count=%d\n", w.dropped), queued...)
	}
	select {
	case w.queue <- queued:
		w.tokens--
		w.dropped = 0
	default:
		w.dropped++
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the last one that was queued.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

func (w *Writer) drainQueue() {
	defer close(w.done)
	for line := range w.queue {
		if _, err := w.out.Write(line); err != nil {
			// A failed write of the log has nowhere else to be reported.
			continue
		}
	}
}

// Close stops accepting lines and waits for the queued ones to be written, for at
// most the given time.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.queue)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
