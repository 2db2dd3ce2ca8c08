package follower

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/configurator"
	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/refresher"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// digestPrefixLength is the number of digest characters that a Head carries.
const digestPrefixLength = 16

// relistInterval is how often the reading daemon lists the whole collection even
// while its watch works: a store that truncates its history may have omitted
// changes from the watch.
const relistInterval = 10 * time.Second

// contentSource is the way in which a version of the content was obtained.
type contentSource int

const (
	sourceList contentSource = iota + 1
	sourceWatch
	// sourceEmptyWatch is a watch that returned without a change.
	sourceEmptyWatch
	// sourcePeer is a fetch from a peer.
	sourcePeer
)

// document is this daemon's copy of one collection of the store.
type document[T any] struct {
	name string
	// list and watch read the store; watch returns after the wait if nothing changes.
	list  func(ctx context.Context) ([]platform.Entry[T], platform.Position, error)
	watch func(ctx context.Context, after uint64, wait time.Duration) ([]platform.Entry[T], platform.Position, error)
	// onChange is called with each new content and the entries that it removed.
	onChange func(now time.Time, entries, removed map[string]T)
	// onConfirmed is called after each confirmation by the store, before onChange,
	// with the time of the previous one, so that the end of an outage is detected.
	onConfirmed func(now time.Time, previous time.Time)

	// compressMu is held while the content is compressed, so that concurrent fetches
	// share one compression; compressCount is the number of compressions.
	compressMu    sync.Mutex
	compressCount int

	mu      sync.Mutex
	refresh *refresher.Refresher
	// entries is replaced on every change and never modified in place.
	entries map[string]T
	// generation is the store revision at which entries were last listed or changed,
	// and from which watches continue; zero while there is no content. A watch without
	// a change does not advance it: a store that truncates its history may have
	// omitted changes from that watch, so that two different contents would share a
	// generation and the next watch would not detect the missing history.
	generation uint64
	// digest identifies the content; daemons with the same digest have the same
	// entries.
	digest string
	// encoded is the JSON of entries, and compressed is encoded after compression;
	// compressed is nil until the first peer fetches this content.
	encoded, compressed []byte
	// fetching is set while the content is fetched from a peer.
	fetching bool
	// pendingHead is the newest head received during the fetch; nil if there is none.
	pendingHead *peerHead
	// needsList forces the next read to be a list. It is set when the store no longer
	// has the history after generation, when a read failed, and when the content was
	// fetched from a peer: a watch could then miss changes that the store has dropped.
	needsList bool
	// lastListAt is when this daemon last listed the whole collection.
	lastListAt time.Time
	// storeUnreachable is set while reads of the store fail.
	storeUnreachable bool
	// era is the store's era at the last read, and storeBehind whether that read returned
	// an older revision than generation.
	era         uint64
	storeBehind bool
}

func newDocument[T any](name string, config refresher.Config, collection platform.Collection[T]) *document[T] {
	return &document[T]{
		name:    name,
		list:    collection.List,
		watch:   collection.Watch,
		refresh: refresher.New(config, time.Now()),
		entries: map[string]T{},
	}
}

// nextReadAt returns when this daemon should next read the store, given its rank
// among the live daemons.
func (d *document[T]) nextReadAt(rank int) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh.SetRank(rank)
	return d.refresh.NextRead()
}

// read lists or watches the store once and reports whether that succeeded.
func (d *document[T]) read(ctx context.Context) bool {
	d.mu.Lock()
	isList := d.generation == 0 || d.needsList || time.Since(d.lastListAt) >= relistInterval
	after, wait := d.generation, d.refresh.WatchTimeout()
	d.mu.Unlock()
	var entries []platform.Entry[T]
	var position platform.Position
	var err error
	if isList {
		entries, position, err = d.list(ctx)
	} else {
		entries, position, err = d.watch(ctx, after, wait)
	}
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		d.handleReadError(err)
		return false
	}
	d.updateReachability(nil)
	d.reportPosition(position)
	d.applyRead(entries, position.Revision, isList)
	return true
}

func (d *document[T]) handleReadError(err error) {
	d.updateReachability(err)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.needsList = true
	if !failer.Is(err, platform.KindHistoryGone) {
		d.refresh.RecordFailure(time.Now())
	}
}

// updateReachability records the result of a read and logs when the store becomes
// unreachable or reachable again.
func (d *document[T]) updateReachability(err error) {
	d.mu.Lock()
	before := d.storeUnreachable
	d.storeUnreachable = err != nil && !failer.Is(err, platform.KindHistoryGone)
	confirmed := d.refresh.ConfirmedAt()
	changed := before != d.storeUnreachable
	d.mu.Unlock()
	switch {
	case failer.Is(err, platform.KindHistoryGone):
		klog.InfoS("store no longer has the history after the watched revision; listing the collection again", "document", d.name)
	case changed && err != nil:
		klog.InfoS("store lost", "document", d.name, "ageMillis", ageMillis(time.Now(), confirmed), "cause", err.Error())
	case changed:
		klog.InfoS("store regained", "document", d.name, "ageMillis", ageMillis(time.Now(), confirmed))
	}
}

// reportPosition logs that the store was restored from an older copy, and reads that
// return an older revision than the content's.
func (d *document[T]) reportPosition(position platform.Position) {
	d.mu.Lock()
	era, generation, wasBehind := d.era, d.generation, d.storeBehind
	d.era, d.storeBehind = position.Era, position.Revision < generation
	isBehind := d.storeBehind
	d.mu.Unlock()
	if era != 0 && position.Era != era {
		klog.InfoS("store was restored from an older copy", "document", d.name, "era", position.Era, "revision", position.Revision, "known", generation)
	}
	if isBehind != wasBehind {
		klog.InfoS("store's revision compared with the content's", "document", d.name, "era", position.Era, "revision", position.Revision, "known", generation, "behind", isBehind)
	}
}

// ageMillis returns the milliseconds since a time, or -1 if that time is zero.
func ageMillis(now, since time.Time) int64 {
	if since.IsZero() {
		return -1
	}
	return now.Sub(since).Milliseconds()
}

// applyRead installs the result of a list, or applies the changes of a watch to the
// current content.
func (d *document[T]) applyRead(entries []platform.Entry[T], revision uint64, isList bool) {
	now := time.Now()
	next := map[string]T{}
	d.mu.Lock()
	if revision < d.generation {
		// Newer content arrived from a peer during the read.
		d.refresh.RecordRead(now)
		d.mu.Unlock()
		return
	}
	if !isList {
		for name, value := range d.entries {
			next[name] = value
		}
	}
	d.mu.Unlock()
	for _, e := range entries {
		switch {
		case e.Deleted:
			delete(next, e.Name)
		case e.Err != nil:
			klog.InfoS("ignoring invalid entry", "document", d.name, "entry", e.Name, "revision", e.Revision, "cause", e.Err.Error())
			delete(next, e.Name)
		default:
			next[e.Name] = e.Value
		}
	}
	source := sourceWatch
	switch {
	case isList:
		source = sourceList
	case len(entries) == 0:
		source = sourceEmptyWatch
	}
	var encoded []byte
	if source != sourceEmptyWatch {
		var err error
		if encoded, err = json.Marshal(next); err != nil {
			klog.ErrorS(err, "failed to encode document", "document", d.name)
			return
		}
	}
	d.install(now, contentVersion[T]{confirmedAt: now, entries: next, encoded: encoded, revision: revision}, source)
}

// contentVersion is the content of a document at one revision.
type contentVersion[T any] struct {
	// confirmedAt is when the store returned this content, and revision the revision
	// that it returned with it.
	confirmedAt time.Time
	revision    uint64
	entries     map[string]T
	// encoded is the JSON of entries as the daemon that read the store encoded it;
	// compressed is encoded after compression, nil if it is not compressed yet.
	encoded, compressed []byte
}

// install replaces the content unless a newer revision is already installed. After an
// empty watch it only records the confirmation.
func (d *document[T]) install(now time.Time, next contentVersion[T], source contentSource) {
	var digest string
	if source != sourceEmptyWatch {
		digest = configurator.Digest(next.encoded)[:digestPrefixLength]
	}
	d.mu.Lock()
	if next.revision < d.generation {
		d.mu.Unlock()
		return
	}
	before := d.refresh.ConfirmedAt()
	switch source {
	case sourceList:
		d.needsList = false
		d.lastListAt = now
		d.refresh.RecordRead(now)
	case sourceWatch, sourceEmptyWatch:
		d.refresh.RecordRead(now)
	case sourcePeer:
		// This daemon cannot watch from a revision that it did not read itself.
		d.needsList = true
	}
	d.refresh.RecordPeerConfirmation(next.confirmedAt)
	changed := source != sourceEmptyWatch && digest != d.digest
	removed := map[string]T{}
	if changed {
		for name, value := range d.entries {
			if _, ok := next.entries[name]; !ok {
				removed[name] = value
			}
		}
		d.entries, d.encoded, d.compressed, d.digest = next.entries, next.encoded, next.compressed, digest
	}
	if source != sourceEmptyWatch {
		d.generation = next.revision
	}
	d.mu.Unlock()
	d.onConfirmed(now, before)
	if changed {
		d.onChange(now, next.entries, removed)
	}
}
