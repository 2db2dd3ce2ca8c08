// Package relayer keeps the documents that a daemon works by: declarations,
// indexes and the VM list. Some daemons of each failure domain watch the platform
// for them; the others fetch them from the peer that has a newer one.
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
	// headDigest is how much of a digest a packet carries.
	headDigest = 16
	// syncPeers is how many peers a new daemon compares generations with.
	syncPeers = 2
	// syncTime bounds the wait for them, since all may be out of reach.
	syncTime = 5 * time.Second
)

// documents names everything that daemons spread and need before they are ready.
var documents = []string{declarer.DocumentDeclarations, declarer.DocumentIndexes, declarer.DocumentVMs}

func isKnown(name string) bool { return slices.Contains(documents, name) }

// Config is what a relayer needs from its surroundings.
type Config struct {
	Platform *watcher.Client
	// Peer returns a client of another daemon.
	Peer func(ctx context.Context, address string) messenger.DRPCPeerClient
	// IsRelay reports whether this daemon watches the platform now.
	IsRelay func() bool
	// OnChanged is told which document changed, and of the daemons on the VM list,
	// after the view was replaced.
	OnChanged func(document string, listed []*messenger.Member)
	// Announce tells a few peers at once that there is something new.
	Announce func()
	// OnPlatformCall and OnFailure count calls to the platform, OnFetched the bytes of
	// documents from peers, and OnConflict peers that know another content of a
	// generation.
	OnPlatformCall    func()
	OnPlatformFailure func()
	OnFetched         func(bytes int)
	OnConflict        func()
}

// Relayer holds the documents in force. It is safe for concurrent use.
type Relayer struct {
	config   Config
	started  time.Time
	register *configurator.Registry
	// view is what plans are made from. It is replaced whole.
	view atomic.Pointer[planner.View]

	mu sync.Mutex
	// heardPeers holds the first peers heard of since the start, and highest the
	// highest generation of each document that any peer named.
	heardPeers map[string]bool
	highest    map[string]uint64
	// applied holds the generation of each document that the view was made from.
	applied map[string]uint64
	// fetching holds documents that are being fetched.
	fetching map[string]bool
}

// New returns a relayer that knows no document.
func New(config Config) *Relayer {
	r := &Relayer{
		config:     config,
		started:    time.Now(),
		register:   configurator.New(checkDocument),
		heardPeers: map[string]bool{},
		highest:    map[string]uint64{},
		applied:    map[string]uint64{},
		fetching:   map[string]bool{},
	}
	r.view.Store(planner.New())
	return r
}

// View returns what plans are made from.
func (r *Relayer) View() *planner.View { return r.view.Load() }

// CurrentDocuments returns every document in force, and InForce one of them.
func (r *Relayer) CurrentDocuments() []configurator.Document { return r.register.All() }

// CurrentDocument returns the document in force under a name.
func (r *Relayer) CurrentDocument(name string) configurator.Document { return r.register.InForce(name) }

// Heads names the documents in force for peers.
func (r *Relayer) Heads() []*messenger.Head {
	var out []*messenger.Head
	for _, document := range r.register.All() {
		out = append(out, &messenger.Head{
			Document:   document.Name,
			Generation: document.Generation,
			Digest:     document.Digest[:headDigest],
		})
	}
	return out
}

// HandlePacket compares what a peer knows with what this daemon does, and fetches what
// is newer.
func (r *Relayer) HandlePacket(packet *messenger.Packet) {
	for _, head := range packet.GetHeads() {
		r.hear(packet.GetFrom(), head)
	}
	r.notePeer(packet)
}

// notePeer counts peers that this daemon has compared heads with since it started.
func (r *Relayer) notePeer(packet *messenger.Packet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.heardPeers) < syncPeers {
		r.heardPeers[packet.GetFrom()] = true
	}
	for _, head := range packet.GetHeads() {
		if isKnown(head.GetDocument()) {
			r.highest[head.GetDocument()] = max(r.highest[head.GetDocument()], head.GetGeneration())
		}
	}
}

// hear fetches a document from the peer that has a newer one.
func (r *Relayer) hear(from string, head *messenger.Head) {
	name := head.GetDocument()
	inForce := r.register.InForce(name)
	digest := inForce.Digest
	if len(digest) > headDigest {
		digest = digest[:headDigest]
	}
	if head.GetGeneration() == inForce.Generation && head.GetDigest() != digest {
		r.config.OnConflict()
	}
	newer := head.GetGeneration() > inForce.Generation ||
		head.GetGeneration() == inForce.Generation && head.GetDigest() > digest
	if !newer || !isKnown(name) {
		return
	}
	if r.beginFetch(name) {
		go r.fetch(from, name)
	}
}

// beginFetch reports whether a document is not being fetched already, and marks it.
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

// NotReadyReasons returns every reason why callers should not be sent to a daemon that
// knows so many others.
func (r *Relayer) NotReadyReasons(others int) []string {
	var why []string
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isBehind(others) {
		why = append(why, "generations have not been compared with enough peers yet")
	}
	for _, name := range documents {
		if r.applied[name] == 0 {
			why = append(why, "no "+name+" yet, neither from the platform nor from a peer")
		}
	}
	return why
}

// isBehind reports whether this daemon may still be behind its peers: it has not
// heard of enough of them, or one has a newer document that is being fetched. A
// platform that was restored to an older state must not decide what a new
// daemon serves while peers know better.
func (r *Relayer) isBehind(others int) bool {
	if len(r.heardPeers) < min(syncPeers, others) && time.Since(r.started) < syncTime {
		return true
	}
	for name, generation := range r.highest {
		if r.register.InForce(name).Generation < generation && name != declarer.DocumentVMs {
			return true
		}
	}
	return false
}

// take puts a document in force if it is newer, and tells others of it.
func (r *Relayer) take(document configurator.Document) configurator.Verdict {
	document.Since = time.Now()
	verdict := r.register.Offer(document)
	switch verdict {
	case configurator.Accepted:
		klog.InfoS("document in force", "document", document.Name, "generation", document.Generation, "digest", document.Digest[:headDigest])
		r.apply(document.Name)
		r.config.Announce()
	case configurator.Conflict:
		r.config.OnConflict()
	case configurator.Newer, configurator.Older, configurator.Same, configurator.Corrupt:
	}
	return verdict
}
