package packer

import (
	"bytes"
	"compress/gzip"
	"testing"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
)

// compressWithoutLimit compresses a document as a peer without a limit does.
func compressWithoutLimit(t *testing.T, content []byte) []byte {
	t.Helper()
	is := is.New(t)
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, err := w.Write(content)
	is.NoErr(err)
	is.NoErr(w.Close())
	return out.Bytes()
}

// TestTooLongDocumentIsRejected checks that a document is never cut at the limit: the
// first part of a document may decode as a whole one that lacks entries.
func TestTooLongDocumentIsRejected(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, c := range []struct {
		bytes   int
		tooLong bool
	}{{maxDocumentBytes, false}, {maxDocumentBytes + 1, true}, {3 * maxDocumentBytes, true}} {
		content := bytes.Repeat([]byte{' '}, c.bytes)
		compressed, err := Compress(content)
		is.Equal(failer.Is(err, KindTooLong), c.tooLong)
		if c.tooLong {
			compressed = compressWithoutLimit(t, content)
		}
		got, err := Decompress(compressed)
		is.Equal(failer.Is(err, KindTooLong), c.tooLong)
		is.Equal(len(got) == c.bytes, !c.tooLong)
	}
}
