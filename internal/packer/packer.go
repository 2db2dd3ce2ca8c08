// Package packer compresses the documents that daemons send each other.
package packer

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	// KindTooLong means that a document is longer than maxDocumentBytes.
	KindTooLong Kind = "tooLong"
	// KindCorrupt means that compressed content cannot be decompressed.
	KindCorrupt Kind = "corrupt"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// maxDocumentBytes is the maximum size of a document. It bounds the memory that a
// peer's content can take when it is decompressed.
const maxDocumentBytes = 16 << 20

// Compress compresses a document of at most maxDocumentBytes with gzip.
func Compress(content []byte) ([]byte, error) {
	if len(content) > maxDocumentBytes {
		return nil, failer.New("compress document", KindTooLong, "%d bytes exceed the limit of %d", len(content), maxDocumentBytes)
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(content); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Decompress decompresses a document.
func Decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, failer.Wrap("decompress document", KindCorrupt, err)
	}
	content, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	if err != nil {
		return nil, failer.Wrap("decompress document", KindCorrupt, err)
	}
	if len(content) > maxDocumentBytes {
		return nil, failer.New("decompress document", KindTooLong, "content exceeds the limit of %d bytes", maxDocumentBytes)
	}
	return content, nil
}
