package relayer

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/configurator"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
)

// TestNotReadyUntilChangeHandled checks that a document counts as applied only
// after Config.OnChanged has returned, when the daemon has routes for it. A daemon
// that reported itself ready before that refused its first callers because it
// could send no request.
func TestNotReadyUntilChangeHandled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	missingDuring := 0
	var r *Relayer
	r = New(Config{
		OnChanged:  func(string, []*messenger.Member) { missingDuring = len(r.NotReadyReasons(0)) },
		Announce:   func() {},
		OnConflict: func() {},
	})
	missingBefore := len(r.NotReadyReasons(0))
	content := []byte(`{"version":1,"vms":[]}`)
	verdict := r.offer(configurator.Document{Name: "vms", Generation: 1, Digest: configurator.Digest(content), Content: content})
	is.Equal(verdict, configurator.Accepted)
	is.Equal(missingDuring, missingBefore)
	is.Equal(len(r.NotReadyReasons(0)), missingBefore-1)
}
