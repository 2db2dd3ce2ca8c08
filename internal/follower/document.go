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
	// onRestored is called when the content is found to be of a later era than before, so
	// that the store has lost changes, before onConfirmed and onChange.
	onRestored func(now time.Time)
	// versionOf returns the version of a content that its writer raises with each change;
	// zero if the document has none. Content of a lower version is never installed: the
	// store has lost the higher one, and its writer writes it again.
	versionOf func(entries map[string]T) uint64

	// compressMu is held while the content is compressed, so that concurrent fetches
	// share one compression; compressCount is the number of compressions.
	compressMu    sync.Mutex
	compressCount int

	mu      sync.Mutex
	refresh *refresher.Refresher
	// entries is replaced on every change and never modified in place.
	entries map[string]T
	// position is where in the store's history entries were last listed or changed, and
	// from which watches continue; zero while there is no content. A watch without
	// a change does not advance it: a store that truncates its history may have
	// omitted changes from that watch, so that two different contents would share a
	// position and the next watch would not detect the missing history.
	position platform.Position
	// version is versionOf of entries.
	version uint64
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
}

func newDocument[T any](name string, config refresher.Config, collection platform.Collection[T]) *document[T] {
	return &document[T]{
		name:  name,
		list:  collection.List,
		watch: collection.Watch,

		onChange:    func(time.Time, map[string]T, map[string]T) {},
		onConfirmed: func(time.Time, time.Time) {},
		onRestored:  func(time.Time) {},
		versionOf:   func(map[string]T) uint64 { return 0 },

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
	isList := d.position.Revision == 0 || d.needsList || time.Since(d.lastListAt) >= relistInterval
	after, wait := d.position, d.refresh.WatchTimeout()
	d.mu.Unlock()
	var entries []platform.Entry[T]
	var position platform.Position
	var err error
	if isList {
		entries, position, err = d.list(ctx)
	} else {
		entries, position, err = d.watch(ctx, after.Revision, wait)
		if err == nil && position.Era != after.Era {
			err = failer.New("watch "+d.name, platform.KindHistoryGone, "the store was restored, its era is %d and was %d", position.Era, after.Era)
		}
	}
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		d.handleReadError(err)
		return false
	}
	d.updateReachability(nil)
	d.applyRead(entries, position, isList)
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

// ageMillis returns the milliseconds since a time, or -1 if that time is zero.
func ageMillis(now, since time.Time) int64 {
	if since.IsZero() {
		return -1
	}
	return now.Sub(since).Milliseconds()
}

// applyRead installs the result of a list, or applies the changes of a watch to the
// current content.
func (d *document[T]) applyRead(entries []platform.Entry[T], position platform.Position, isList bool) {
	now := time.Now()
	next := map[string]T{}
	d.mu.Lock()
	if position.Before(d.position) {
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
	d.install(now, contentVersion[T]{confirmedAt: now, entries: next, encoded: encoded, position: position}, source)
}

// contentVersion is the content of a document at one position of the store's history.
type contentVersion[T any] struct {
	// confirmedAt is when the store returned this content, and position the position
	// that it returned with it.
	confirmedAt time.Time
	position    platform.Position
	entries     map[string]T
	// encoded is the JSON of entries as the daemon that read the store encoded it;
	// compressed is encoded after compression, nil if it is not compressed yet.
	encoded, compressed []byte
}

// install replaces the content unless a newer one is already installed. After an empty
// watch it only records the confirmation.
func (d *document[T]) install(now time.Time, next contentVersion[T], source contentSource) {
	var digest string
	version := d.versionOf(next.entries)
	if source != sourceEmptyWatch {
		digest = configurator.Digest(next.encoded)[:digestPrefixLength]
	}
	d.mu.Lock()
	if source == sourcePeer && !d.isNewer(version, next.position) || source != sourcePeer && next.position.Before(d.position) {
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
		// This daemon cannot watch from a position that it did not read itself.
		d.needsList = true
	}
	d.refresh.RecordPeerConfirmation(next.confirmedAt)
	isLost := source != sourceEmptyWatch && version < d.version
	if isLost {
		klog.InfoS("keeping content that the store has lost", "document", d.name, "version", d.version, "stored", version)
	}
	changed := source != sourceEmptyWatch && !isLost && digest != d.digest
	removed := map[string]T{}
	if changed {
		for name, value := range d.entries {
			if _, ok := next.entries[name]; !ok {
				removed[name] = value
			}
		}
		d.entries, d.encoded, d.compressed, d.digest, d.version = next.entries, next.encoded, next.compressed, digest, version
	}
	restored := source != sourceEmptyWatch && d.advance(next.position)
	d.mu.Unlock()
	if restored {
		d.onRestored(now)
	}
	d.onConfirmed(now, before)
	if changed {
		d.onChange(now, next.entries, removed)
	}
}

// isNewer reports whether content of a version and position replaces the installed one
// when a peer has it. The version decides, since a store that was restored may have lost
// the highest. The caller holds mu.
func (d *document[T]) isNewer(version uint64, position platform.Position) bool {
	return version > d.version || version == d.version && !position.Before(d.position)
}

// advance moves the position forward and reports whether it reaches a later era. The
// caller holds mu.
func (d *document[T]) advance(to platform.Position) (restored bool) {
	from := d.position
	if !from.Before(to) {
		return false
	}
	d.position = to
	// Content that came from a daemon of an earlier release has no era.
	restored = from.Era != 0 && to.Era != from.Era
	if restored {
		klog.InfoS("store was restored from an older copy", "document", d.name, "era", to.Era, "revision", to.Revision, "known", from.Revision)
	}
	return restored
}
