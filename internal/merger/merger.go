// Package merger merges the result records of shards. It performs no I/O.
package merger

import (
	"bytes"
	"slices"
)

// RecordSize is the length of a record in bytes. A shorter remainder at the end
// of a part is ignored.
const RecordSize = 16

// Top returns up to limit records from all parts in descending byte order.
// Equal records are not deduplicated.
func Top(parts [][]byte, limit int) []byte {
	var records [][]byte
	for _, part := range parts {
		for len(part) >= RecordSize {
			records = append(records, part[:RecordSize])
			part = part[RecordSize:]
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(records[:min(limit, len(records))], nil)
}
