package follower

import (
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/packer"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// head returns the position, version, digest and age of the content, as sent to peers; nil
// if there is no content yet.
func (d *document[T]) head(now time.Time) *messenger.Head {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.position.Revision == 0 {
		return nil
	}
	return &messenger.Head{
		Document:   d.name,
		Era:        d.position.Era,
		Generation: d.position.Revision,
		Version:    d.version,
		Digest:     d.digest,
		AgeMillis:  uint32(max(0, ageMillis(now, d.refresh.ConfirmedAt()))),
	}
}

// peerHead is a head received from a peer.
type peerHead struct {
	from string
	head *messenger.Head
	// otherDomain is set if the head was sent from another failure domain and is to be
	// forwarded within this one.
	otherDomain bool
}

// positionOf returns the position of a head.
func positionOf(head *messenger.Head) platform.Position {
	return platform.Position{Era: head.GetEra(), Revision: head.GetGeneration()}
}

// isBehind reports whether a head is of newer content than the installed one. Daemons of
// an earlier release send no version. The caller holds mu.
func (d *document[T]) isBehind(head *messenger.Head) bool {
	version := head.GetVersion()
	if version == 0 {
		version = d.version
	}
	return version > d.version || version == d.version && d.position.Before(positionOf(head))
}

// isOlder reports whether head a is of older content than head b.
func isOlder(a, b *messenger.Head) bool {
	return a.GetVersion() < b.GetVersion() || a.GetVersion() == b.GetVersion() && positionOf(a).Before(positionOf(b))
}

// handlePeerHead compares a peer's head with the content. same means that both
// daemons have the same content, behind that the peer's is newer and that the caller
// has to fetch it. A head received during a fetch is kept for resolvePendingHead.
func (d *document[T]) handlePeerHead(now time.Time, received peerHead) (same, behind bool) {
	head := received.head
	confirmed := now.Add(-time.Duration(head.GetAgeMillis()) * time.Millisecond)
	d.mu.Lock()
	// The same content of a later era is fetched: the reply also tells what the peers know
	// of the changes that the store has lost.
	if head.GetDigest() == d.digest && head.GetEra() == d.position.Era {
		before := d.refresh.ConfirmedAt()
		d.refresh.RecordPeerConfirmation(confirmed)
		d.advance(positionOf(head))
		d.mu.Unlock()
		d.onConfirmed(now, before)
		return true, false
	}
	defer d.mu.Unlock()
	if !d.isBehind(head) {
		return false, false
	}
	if d.fetching {
		if d.pendingHead != nil {
			received.otherDomain = received.otherDomain || d.pendingHead.otherDomain
		}
		if d.pendingHead == nil || !isOlder(head, d.pendingHead.head) {
			d.pendingHead = &received
		} else {
			d.pendingHead.otherDomain = received.otherDomain
		}
		return false, false
	}
	d.fetching = true
	return false, true
}

// resolvePendingHead clears the head received during a fetch. It returns that head
// if it is newer than the content, and otherwise whether it was sent from another
// failure domain, so that the current head is to be forwarded within this one.
func (d *document[T]) resolvePendingHead() (next *peerHead, otherDomain bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pendingHead := d.pendingHead
	d.pendingHead = nil
	switch {
	case pendingHead == nil:
		return nil, false
	case d.isBehind(pendingHead.head):
		return pendingHead, false
	default:
		return nil, pendingHead.otherDomain
	}
}

// handleFetchReply installs the content of a peer's reply and reports whether there
// was any; a nil reply means that the fetch failed.
func (d *document[T]) handleFetchReply(now time.Time, reply *messenger.FetchReply, age time.Duration) bool {
	defer func() {
		d.mu.Lock()
		d.fetching = false
		d.mu.Unlock()
	}()
	if reply == nil || reply.GetGeneration() == 0 {
		return false
	}
	encoded, err := packer.Decompress(reply.GetContent())
	if err != nil {
		klog.ErrorS(err, "failed to decompress document from peer", "document", d.name)
		return false
	}
	next := map[string]T{}
	if err := json.Unmarshal(encoded, &next); err != nil {
		klog.ErrorS(err, "failed to decode document from peer", "document", d.name)
		return false
	}
	// The compressed bytes are kept and served to other peers unchanged: on a small VM
	// it takes seconds to compress a long list for each of a hundred daemons.
	d.install(now, contentVersion[T]{
		confirmedAt: now.Add(-age), entries: next, encoded: encoded, compressed: reply.GetContent(),
		position: platform.Position{Era: reply.GetEra(), Revision: reply.GetGeneration()},
	}, sourcePeer)
	return true
}

// reply returns the compressed content for a peer.
func (d *document[T]) reply() (*messenger.FetchReply, error) {
	d.mu.Lock()
	out := &messenger.FetchReply{Document: d.name, Era: d.position.Era, Generation: d.position.Revision, Digest: d.digest}
	if confirmed := d.refresh.ConfirmedAt(); !confirmed.IsZero() {
		out.AgeMillis = uint32(max(0, time.Since(confirmed).Milliseconds()))
	}
	encoded, compressed := d.encoded, d.compressed
	d.mu.Unlock()
	if compressed != nil {
		out.Content = compressed
		return out, nil
	}
	return out, d.compressInto(encoded, out)
}

// compressInto compresses the content into a reply and caches the result for later
// replies with the same digest.
func (d *document[T]) compressInto(encoded []byte, out *messenger.FetchReply) error {
	d.compressMu.Lock()
	defer d.compressMu.Unlock()
	d.mu.Lock()
	if d.digest == out.GetDigest() && d.compressed != nil {
		out.Content = d.compressed
	}
	d.mu.Unlock()
	if out.GetContent() != nil {
		return nil
	}
	compressed, err := packer.Compress(encoded)
	if err != nil {
		return err
	}
	out.Content = compressed
	d.compressCount++
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.digest == out.GetDigest() {
		d.compressed = compressed
	}
	return nil
}
