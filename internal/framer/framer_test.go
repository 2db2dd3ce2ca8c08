package framer_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/framer"
)

func TestRequestSurvivesItsHeaders(t *testing.T) {
	is := is.New(t)
	r := framer.Request{RequestID: "r", Attempt: 7, Snapshot: "v1", Shard: "s0", Remaining: 1000, Once: true}
	h := http.Header{}
	r.SetHeaders(h)
	got, err := framer.ParseRequest(h)
	is.NoErr(err)
	is.Equal(got, r)
	is.True(r.Echoes(h))
	for _, header := range []string{framer.HeaderRequest, framer.HeaderAttempt, framer.HeaderSnapshot, framer.HeaderShard} {
		changed := h.Clone()
		changed.Set(header, "9")
		is.True(!r.Echoes(changed))
	}
}

func FuzzParse(f *testing.F) {
	f.Add("7", "1000", "5;1;0")
	f.Add("", "x", ";;")
	f.Fuzz(func(t *testing.T, attempt, remaining, load string) {
		h := http.Header{}
		h.Set(framer.HeaderAttempt, attempt)
		h.Set(framer.HeaderRemaining, remaining)
		_, _ = framer.ParseRequest(h)
		if l := framer.ParseLoad(load); l.Slots < 0 || l.InFlight < 0 || l.Queued < 0 {
			t.Fatalf("negative load from %q", load)
		}
	})
}
