package stager_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/pkg/caller"
)

// maxCut is more than the length of an emulated searcher's reply, which has about 500 bytes.
const maxCut = 1000

// TestCutRepliesAreNoAnswers guards against a reply of a searcher that ends at any byte, in
// its head above all, and counts as an answer.
func TestCutRepliesAreNoAnswers(t *testing.T) {
	t.Parallel()
	for name, unframed := range map[string]bool{"with a length": false, "until the end": true} {
		t.Run("search, "+name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			cluster := startCluster(t, 1, nil)
			for cut, whole := 1, false; !whole; cut++ {
				is.True(cut < maxCut)
				for _, searcher := range cluster.SearchersOf("parts-finder") {
					if searcher.Shard == emulator.ShardName(3) {
						searcher.SetFaults(emulator.SearcherFaults{CutAfter: cut, Unframed: unframed})
					}
				}
				answer, err := cluster.Client(cut%3).Search(t.Context(), searchRequest("parts-finder"))
				is.NoErr(err)
				checkAnswer(t, answer, map[string]int{emulator.InitialSnapshot: 10})
				whole = answer.Coverage.Fraction == 1
			}
		})
		t.Run("booking, "+name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			cluster := startCluster(t, 1, nil)
			for cut, whole := 1, false; !whole; cut++ {
				is.True(cut < maxCut)
				for _, searcher := range cluster.SearchersOf("bookings") {
					searcher.SetFaults(emulator.SearcherFaults{CutAfter: cut, Unframed: unframed})
				}
				answer, err := cluster.Client(cut%3).Submit(t.Context(), caller.Request{Service: "bookings", Class: "booking", Key: fmt.Sprint(cut), Body: []byte(`{}`)})
				whole = err == nil
				if !whole {
					is.Equal(answer.Outcome, caller.OutcomeUnknown)
					continue
				}
				is.Equal(answer.Outcome, caller.OutcomeAnswered)
				is.Equal(len(answer.Hits), 3)
			}
		})
	}
}
