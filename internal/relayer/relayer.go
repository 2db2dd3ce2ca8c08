// Package relayer keeps a daemon's configuration documents up to date:
// declarations, indexes and the VM list. A few relay daemons in each failure
// domain watch the platform for changes; the other daemons fetch a newer document
// from the peer that announces it.
package relayer

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/configurator"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/internal/watcher"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

const (
	// headDigestLength is the length to which digests are truncated in membership packets.
	headDigestLength = 16
	// syncPeers is the number of peers whose generations a new daemon compares
	// with its own before it becomes ready.
	syncPeers = 2
	// syncTimeout bounds the wait for those peers, since all of them may be unreachable.
	syncTimeout = 5 * time.Second
)

// documentNames lists the documents that daemons distribute to each other and
// must have before they are ready.
var documentNames = []string{declarer.DocumentDeclarations, declarer.DocumentIndexes, declarer.DocumentVMs}

func isKnownDocument(name string) bool { return slices.Contains(documentNames, name) }

// Config holds the settings and callbacks of a Relayer.
type Config struct {
	Platform *watcher.Client
	// Peer returns an RPC client for the daemon at an address.
	Peer func(ctx context.Context, address string) messenger.DRPCPeerClient
	// IsRelay reports whether this daemon is currently a relay, that is, watches the platform.
	IsRelay func() bool
	// OnChanged is called after the view was replaced, with the name of the changed
	// document and the live daemons of the VM list.
	OnChanged func(document string, listed []*messenger.Member)
	// Announce sends the current heads to a few peers without waiting for the next interval.
	Announce func()
	// OnPlatformCall and OnPlatformFailure are called for each platform call and each
	// failed one, OnFetched with the size of each document fetched from a peer, and
	// OnConflict when a peer has other content for the same generation.
	OnPlatformCall    func()
	OnPlatformFailure func()
	OnFetched         func(bytes int)
	OnConflict        func()
}

// Relayer holds the current documents. It is safe for concurrent use.
type Relayer struct {
	config   Config
	started  time.Time
	registry *configurator.Registry
	// decodeDocument decodes the content of a document with the given name.
	decodeDocument func(name string, content []byte, into any) error
	// view is the immutable input of query planning. It is replaced, never modified.
	view atomic.Pointer[planner.View]

	mu sync.Mutex
	// comparedPeers holds the first syncPeers peers whose heads arrived since the
	// start; highestGenerations holds the highest generation of each document that
	// any peer announced.
	comparedPeers      map[string]bool
	highestGenerations map[string]uint64
	// appliedGenerations holds the generation of each document for which the view
	// was built and Config.OnChanged has returned.
	appliedGenerations map[string]uint64
	// fetching marks documents with a fetch from a peer in progress.
	fetching map[string]bool
}

// New returns a relayer without documents.
func New(config Config) *Relayer {
	r := &Relayer{
		config:             config,
		started:            time.Now(),
		registry:           configurator.New(validateDocument),
		decodeDocument:     declarer.Decode,
		comparedPeers:      map[string]bool{},
		highestGenerations: map[string]uint64{},
		appliedGenerations: map[string]uint64{},
		fetching:           map[string]bool{},
	}
	r.view.Store(planner.New())
	return r
}

// View returns the current planner view.
func (r *Relayer) View() *planner.View { return r.view.Load() }

// CurrentDocuments returns every current document.
func (r *Relayer) CurrentDocuments() []configurator.Document { return r.registry.All() }

// CurrentDocument returns the current document with the given name.
func (r *Relayer) CurrentDocument(name string) configurator.Document { return r.registry.InForce(name) }

// Heads returns the name, generation and truncated digest of each current
// document, to be announced to peers.
func (r *Relayer) Heads() []*messenger.Head {
	var out []*messenger.Head
	for _, document := range r.registry.All() {
		out = append(out, &messenger.Head{
			Document:   document.Name,
			Generation: document.Generation,
			Digest:     document.Digest[:headDigestLength],
		})
	}
	return out
}

// HandlePacket compares the document heads in a peer's packet with the current
// documents and fetches those that are newer.
func (r *Relayer) HandlePacket(packet *messenger.Packet) {
	for _, head := range packet.GetHeads() {
		r.compareHead(packet.GetFrom(), head)
	}
	r.recordPeerHeads(packet)
}

// recordPeerHeads records the sender of a packet among the first syncPeers peers
// and the highest generations that it announces.
func (r *Relayer) recordPeerHeads(packet *messenger.Packet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.comparedPeers) < syncPeers {
		r.comparedPeers[packet.GetFrom()] = true
	}
	for _, head := range packet.GetHeads() {
		if isKnownDocument(head.GetDocument()) {
			r.highestGenerations[head.GetDocument()] = max(r.highestGenerations[head.GetDocument()], head.GetGeneration())
		}
	}
}

// compareHead starts a fetch from a peer if its head is newer than the current
// document. Within one generation the greater digest wins.
func (r *Relayer) compareHead(from string, head *messenger.Head) {
	name := head.GetDocument()
	current := r.registry.InForce(name)
	digest := current.Digest
	if len(digest) > headDigestLength {
		digest = digest[:headDigestLength]
	}
	if head.GetGeneration() == current.Generation && head.GetDigest() != digest {
		r.config.OnConflict()
	}
	newer := head.GetGeneration() > current.Generation ||
		head.GetGeneration() == current.Generation && head.GetDigest() > digest
	if !newer || !isKnownDocument(name) {
		return
	}
	if r.beginFetch(name) {
		go r.fetch(from, name)
	}
}

// beginFetch marks a document as being fetched; it returns false if a fetch is
// already in progress.
func (r *Relayer) beginFetch(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fetching[name] {
		return false
	}
	r.fetching[name] = true
	return true
}

func (r *Relayer) endFetch(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fetching[name] = false
}

// NotReadyReasons returns the reasons why this daemon should not receive traffic yet,
// none if it is ready. others is the number of other daemons in the membership.
func (r *Relayer) NotReadyReasons(others int) []string {
	var reasons []string
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isBehind(others) {
		reasons = append(reasons, "generations have not been compared with enough peers yet")
	}
	for _, name := range documentNames {
		if r.appliedGenerations[name] == 0 {
			reasons = append(reasons, "no "+name+" yet, neither from the platform nor from a peer")
		}
	}
	return reasons
}

// isBehind reports whether this daemon may still have older documents than its
// peers: too few of them have sent heads, or one announced a newer generation of
// a document other than the VM list. Without this check, a new daemon would serve
// the old documents of a platform that was restored to an older state while its
// peers already have newer ones.
func (r *Relayer) isBehind(others int) bool {
	if len(r.comparedPeers) < min(syncPeers, others) && time.Since(r.started) < syncTimeout {
		return true
	}
	for name, generation := range r.highestGenerations {
		if r.registry.InForce(name).Generation < generation && name != declarer.DocumentVMs {
			return true
		}
	}
	return false
}

// offer makes a document the current one if it is newer and valid, rebuilds the
// view and announces the document to peers.
func (r *Relayer) offer(document configurator.Document) configurator.Verdict {
	document.Since = time.Now()
	verdict := r.registry.Offer(document)
	switch verdict {
	case configurator.Accepted:
		klog.InfoS("document accepted", "document", document.Name, "generation", document.Generation, "digest", document.Digest[:headDigestLength])
		r.rebuildView(document.Name)
		r.config.Announce()
	case configurator.Conflict:
		r.config.OnConflict()
	case configurator.Newer, configurator.Older, configurator.Same, configurator.Corrupt:
	}
	return verdict
}
