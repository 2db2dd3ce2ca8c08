package relayer

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/configurator"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
)

// TestReadyOnlyOnceChangesWereFollowed: a daemon says that it is ready only once
// it has routes for what its documents name. One that said so before answered its
// first callers that nothing could be sent.
func TestReadyOnlyOnceChangesWereFollowed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	during := 0
	var r *Relayer
	r = New(Config{
		OnChanged:  func(string, []*messenger.Member) { during = len(r.NotReadyReasons(0)) },
		Announce:   func() {},
		OnConflict: func() {},
	})
	before := len(r.NotReadyReasons(0))
	content := []byte(`{"version":1,"vms":[]}`)
	verdict := r.take(configurator.Document{Name: "vms", Generation: 1, Digest: configurator.Digest(content), Content: content})
	is.Equal(verdict, configurator.Accepted)
	is.Equal(during, before)
	is.Equal(len(r.NotReadyReasons(0)), before-1)
}
