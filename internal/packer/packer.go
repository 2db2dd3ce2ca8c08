// Package packer compresses documents that daemons send each other.
package packer

import (
	"bytes"
	"compress/gzip"
	"io"
)

// maxBytes bounds a document, unpacked.
const maxBytes = 16 << 20

// Compress compresses a document.
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

// Decompress is the reverse of Pack.
func Decompress(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, maxBytes))
}
