package merger_test

import (
	"bytes"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fuchsiastile/fuchsiastile/internal/merger"
)

// TestTopReturnsTheGreatestRecords compares Top with a full sort of all records.
func TestTopReturnsTheGreatestRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var parts [][]byte
		var all [][]byte
		for range rapid.IntRange(0, 4).Draw(t, "parts") {
			part := rapid.SliceOfN(rapid.ByteRange(0, 3), 0, 70).Draw(t, "part")
			parts = append(parts, part)
			for i := 0; i+merger.RecordSize <= len(part); i += merger.RecordSize {
				all = append(all, part[i:i+merger.RecordSize])
			}
		}
		limit := rapid.IntRange(0, 12).Draw(t, "limit")
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(limit, len(all))], nil)
		if got := merger.Top(parts, limit); !bytes.Equal(got, want) {
			t.Fatalf("Top() = %x, want %x", got, want)
		}
	})
}

func TestTopKeepsEqualRecords(t *testing.T) {
	is := is.New(t)
	record := bytes.Repeat([]byte{7}, merger.RecordSize)
	is.Equal(len(merger.Top([][]byte{record, append(record, 1, 2)}, 5)), 2*merger.RecordSize)
}
