package relayer

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/examples"
	"github.com/fuchsiastile/fuchsiastile/internal/configurator"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
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

// TestDocumentReceivedDuringRebuildIsNotApplied puts a VM list in force while a view
// is built, after the VM list was read for it. The list may not count as applied
// with that view: a daemon without VMs reported itself ready and refused its first
// callers.
func TestDocumentReceivedDuringRebuildIsNotApplied(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := New(Config{OnChanged: func(string, []*messenger.Member) {}, Announce: func() {}, OnConflict: func() {}})
	vms := []byte(`{"version":1,"vms":[{"name":"vm-1","address":"192.0.2.1:9100","state":"live"}]}`)
	r.decodeDocument = func(name string, content []byte, into any) error {
		if name == declarer.DocumentDeclarations {
			verdict := r.registry.Offer(configurator.Document{Name: declarer.DocumentVMs, Generation: 1, Digest: configurator.Digest(vms), Content: vms})
			is.Equal(verdict, configurator.Accepted)
		}
		return declarer.Decode(name, content, into)
	}
	declarations := examples.Olwyn
	r.offer(configurator.Document{Name: declarer.DocumentDeclarations, Generation: 1, Digest: configurator.Digest(declarations), Content: declarations})
	is.Equal(r.appliedGenerations[declarer.DocumentDeclarations], uint64(1))
	is.Equal(r.appliedGenerations[declarer.DocumentVMs], uint64(0)) // the view has no VM yet
}
