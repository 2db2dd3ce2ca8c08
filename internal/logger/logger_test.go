package logger_test

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/logger"
)

// blockingWriter blocks every write until release is closed.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

func (b *blockingWriter) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.String()
}

// TestWriteNeverBlocksAndDropsAreCounted guards against log calls that block on a
// stalled output, and against lines that are dropped without being counted.
func TestWriteNeverBlocksAndDropsAreCounted(t *testing.T) {
	is := is.New(t)
	out := &blockingWriter{release: make(chan struct{})}
	w := logger.New(out)
	started := time.Now()
	for range 5000 {
		n, err := w.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	is.True(time.Since(started) < time.Second)
	close(out.release)
	time.Sleep(100 * time.Millisecond)
	_, _ = w.Write([]byte("last\n"))
	w.Close(time.Second)
	is.True(strings.HasSuffix(out.text(), "last\n"))
	// The volume is bounded, and every line was either written or counted as dropped.
	written := strings.Count(out.text(), "line\n")
	is.True(written <= 1000)
	dropped := w.Dropped()
	for _, m := range regexp.MustCompile(`lines dropped count=(\d+)`).FindAllStringSubmatch(out.text(), -1) {
		n, err := strconv.Atoi(m[1])
		is.NoErr(err)
		dropped += n
	}
	is.Equal(written+dropped, 5000)
	_, err := w.Write([]byte("after close\n"))
	is.NoErr(err)
}

// TestErrorsAreNotDroppedForOtherLines guards against losing the line of a cut request because
// a daemon under load has used up the log's limit for lines on answered ones.
func TestErrorsAreNotDroppedForOtherLines(t *testing.T) {
	is := is.New(t)
	out := &blockingWriter{release: make(chan struct{})}
	w := logger.New(out)
	for range 5000 {
		_, _ = w.Write([]byte("I line\n"))
	}
	for range 50 {
		_, _ = w.Write([]byte("E cut\n"))
	}
	close(out.release)
	w.Close(time.Second)
	is.Equal(strings.Count(out.text(), "E cut\n"), 50)
}
