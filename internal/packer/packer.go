// Package packer compresses the documents that daemons send each other.
package packer

import (
	"bytes"
	"compress/gzip"
	"io"
)

// maxDocumentBytes limits the decompressed size of a document; the rest of a longer
// one is dropped.
const maxDocumentBytes = 16 << 20

// Compress compresses a document with gzip.
func Compress(content []byte) ([]byte, error) {
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

// Decompress decompresses a document, up to maxDocumentBytes.
func Decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, maxDocumentBytes))
}
