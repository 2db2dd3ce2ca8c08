package follower

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/configurator"
	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/packer"
	"github.com/fuchsiastile/fuchsiastile/internal/refresher"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// headDigest is how much of a digest daemons tell each other.
const headDigest = 16

// listInterval is how often the reader of a document reads all of it, since a
// store that drops its history may have kept changes from a watch.
const listInterval = 10 * time.Second

// source is where a content comes from.
type source int

const (
	listed source = iota + 1
	watched
	// watchedNothing is a watch that heard of no change.
	watchedNothing
	// fetched is from a peer.
	fetched
)

// document is one collection of the store as this daemon knows it.
type document[T any] struct {
	name string
	// list and watch read the store.
	list  func(ctx context.Context) ([]platform.Entry[T], uint64, error)
	watch func(ctx context.Context, after uint64, wait time.Duration) ([]platform.Entry[T], uint64, error)
	// changed is told of each new content, with what was dropped from the one before.
	changed func(now time.Time, entries, dropped map[string]T)
	// returned is told when the store is back after an outage, before changed is.
	returned func(now time.Time, before time.Time)

	// packing is held while content is compressed; packs counts how often it was.
	packing sync.Mutex
	packs   int

	mu      sync.Mutex
	refresh *refresher.Refresher
	// entries is replaced whole, never changed.
	entries map[string]T
	// generation is the store's revision at which entries were last listed or
	// changed, and from which watches go on; zero if nothing is known. A watch that
	// hears of no change doesn't advance it, since a store that drops its history
	// may keep changes from it: two contents would share a generation, and the next
	// watch would not find that history is gone.
	generation uint64
	// digest names the content of entries; two daemons with the same digest know the same.
	digest string
	// content is entries, encoded, and packed the same, compressed; packed is nil
	// until a peer asks for it.
	content, packed []byte
	// fetching is set while the content is fetched from a peer.
	fetching bool
	// missed is the newest head that was heard meanwhile; nil if there is none.
	missed *heardHead
	// stale is set when the history after asOf is gone from the store, or a watch
	// broke off: the store may have dropped changes that it never told of.
	stale bool
	// listedAt is when this daemon last read the whole collection.
	listedAt time.Time
	// away is set while reads of the store fail.
	away bool
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

// due returns when this daemon is to read the store next.
func (d *document[T]) due(rank int) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh.SetRank(rank)
	return d.refresh.NextRead()
}

// read reads the store once and reports whether it confirmed what is known now.
func (d *document[T]) read(ctx context.Context) bool {
	d.mu.Lock()
	whole := d.generation == 0 || d.stale || time.Since(d.listedAt) >= listInterval
	after, wait := d.generation, d.refresh.WatchTimeout()
	d.mu.Unlock()
	var entries []platform.Entry[T]
	var asOf uint64
	var err error
	if whole {
		entries, asOf, err = d.list(ctx)
	} else {
		entries, asOf, err = d.watch(ctx, after, wait)
	}
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		d.failed(err)
		return false
	}
	d.noteReach(nil)
	d.take(entries, asOf, whole)
	return true
}

func (d *document[T]) failed(err error) {
	d.noteReach(err)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stale = true
	if !failer.Is(err, platform.KindHistoryGone) {
		d.refresh.RecordFailure(time.Now())
	}
}

// noteReach logs when the store is lost or regained.
func (d *document[T]) noteReach(err error) {
	d.mu.Lock()
	was := d.away
	d.away = err != nil && !failer.Is(err, platform.KindHistoryGone)
	confirmed := d.refresh.ConfirmedAt()
	changed := was != d.away
	d.mu.Unlock()
	switch {
	case failer.Is(err, platform.KindHistoryGone):
		klog.InfoS("store dropped its history, listing anew", "document", d.name)
	case changed && err != nil:
		klog.InfoS("store lost", "document", d.name, "ageMillis", age(time.Now(), confirmed), "cause", err.Error())
	case changed:
		klog.InfoS("store regained", "document", d.name, "ageMillis", age(time.Now(), confirmed))
	}
}

// age is the time since a moment in milliseconds; -1 where there is none.
func age(now, since time.Time) int64 {
	if since.IsZero() {
		return -1
	}
	return now.Sub(since).Milliseconds()
}

// take makes what the store said the content.
func (d *document[T]) take(entries []platform.Entry[T], asOf uint64, whole bool) {
	now := time.Now()
	next := map[string]T{}
	d.mu.Lock()
	if asOf < d.generation {
		// A peer was quicker.
		d.refresh.RecordRead(now)
		d.mu.Unlock()
		return
	}
	if !whole {
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
			klog.InfoS("entry ignored", "document", d.name, "entry", e.Name, "revision", e.Revision, "cause", e.Err.Error())
			delete(next, e.Name)
		default:
			next[e.Name] = e.Value
		}
	}
	from := watched
	switch {
	case whole:
		from = listed
	case len(entries) == 0:
		from = watchedNothing
	}
	var content []byte
	if from != watchedNothing {
		var err error
		if content, err = json.Marshal(next); err != nil {
			klog.ErrorS(err, "document not encoded", "document", d.name)
			return
		}
	}
	d.adopt(now, version[T]{confirmed: now, entries: next, content: content, asOf: asOf}, from)
}

// version is one content of a document.
type version[T any] struct {
	// confirmed is when the store said so, and asOf the revision that it gave.
	confirmed time.Time
	asOf      uint64
	entries   map[string]T
	// content is entries, encoded, as the daemon that read the store did that, and
	// packed the same, compressed, where that is known.
	content, packed []byte
}

// adopt replaces the content by one that the store confirmed at a moment.
func (d *document[T]) adopt(now time.Time, next version[T], from source) {
	var digest string
	if from != watchedNothing {
		digest = configurator.Digest(next.content)[:headDigest]
	}
	d.mu.Lock()
	if next.asOf < d.generation {
		d.mu.Unlock()
		return
	}
	before := d.refresh.ConfirmedAt()
	switch from {
	case listed:
		d.stale = false
		d.listedAt = now
		d.refresh.RecordRead(now)
	case watched, watchedNothing:
		d.refresh.RecordRead(now)
	case fetched:
		// A watch of this daemon's own would have to start from a list.
		d.stale = true
	}
	d.refresh.RecordPeerConfirmation(next.confirmed)
	changed := from != watchedNothing && digest != d.digest
	dropped := map[string]T{}
	if changed {
		for name, value := range d.entries {
			if _, ok := next.entries[name]; !ok {
				dropped[name] = value
			}
		}
		d.entries, d.content, d.packed, d.digest = next.entries, next.content, next.packed, digest
	}
	if from != watchedNothing {
		d.generation = next.asOf
	}
	d.mu.Unlock()
	d.returned(now, before)
	if changed {
		d.changed(now, next.entries, dropped)
	}
}

// head names what this daemon knows; nil if it knows nothing.
func (d *document[T]) head(now time.Time) *messenger.Head {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.generation == 0 {
		return nil
	}
	return &messenger.Head{
		Document:   d.name,
		Generation: d.generation,
		Digest:     d.digest,
		AgeMillis:  uint32(max(0, age(now, d.refresh.ConfirmedAt()))),
	}
}

// heardHead is what a peer said that it knows.
type heardHead struct {
	from string
	head *messenger.Head
	// far is set where it came from another failure domain, to be passed on.
	far bool
}

// hear takes a peer's head. It reports whether this daemon now knows the same,
// and whether the peer knows more, to be fetched. What is heard while content is
// fetched is kept for then.
func (d *document[T]) hear(now time.Time, heard heardHead) (same, behind bool) {
	head := heard.head
	confirmed := now.Add(-time.Duration(head.GetAgeMillis()) * time.Millisecond)
	d.mu.Lock()
	if head.GetDigest() == d.digest {
		before := d.refresh.ConfirmedAt()
		d.refresh.RecordPeerConfirmation(confirmed)
		d.generation = max(d.generation, head.GetGeneration())
		d.mu.Unlock()
		d.returned(now, before)
		return true, false
	}
	defer d.mu.Unlock()
	if head.GetGeneration() <= d.generation {
		return false, false
	}
	if d.fetching {
		if d.missed != nil {
			heard.far = heard.far || d.missed.far
		}
		if d.missed == nil || head.GetGeneration() >= d.missed.head.GetGeneration() {
			d.missed = &heard
		} else {
			d.missed.far = heard.far
		}
		return false, false
	}
	d.fetching = true
	return false, true
}

// afterFetch returns the head that was missed during a fetch, if its content is
// still lacking, and whether what is known now is to be passed on because of it.
func (d *document[T]) afterFetch() (next *heardHead, far bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	missed := d.missed
	d.missed = nil
	switch {
	case missed == nil:
		return nil, false
	case missed.head.GetGeneration() > d.generation:
		return missed, false
	default:
		return nil, missed.far
	}
}

// fetched takes a peer's reply; nil means that there was none.
func (d *document[T]) fetched(now time.Time, reply *messenger.FetchReply, age time.Duration) bool {
	defer func() {
		d.mu.Lock()
		d.fetching = false
		d.mu.Unlock()
	}()
	if reply == nil || reply.GetGeneration() == 0 {
		return false
	}
	content, err := packer.Decompress(reply.GetContent())
	if err != nil {
		klog.ErrorS(err, "document from a peer is unreadable", "document", d.name)
		return false
	}
	next := map[string]T{}
	if err := json.Unmarshal(content, &next); err != nil {
		klog.ErrorS(err, "document from a peer is unreadable", "document", d.name)
		return false
	}
	// What came packed is passed on as it is: packing a long list for each of a
	// hundred daemons takes a small VM seconds.
	d.adopt(now, version[T]{
		confirmed: now.Add(-age), entries: next, content: content, packed: reply.GetContent(), asOf: reply.GetGeneration(),
	}, fetched)
	return true
}

// reply packs the content for a peer.
func (d *document[T]) reply() (*messenger.FetchReply, error) {
	d.mu.Lock()
	out := &messenger.FetchReply{Document: d.name, Generation: d.generation, Digest: d.digest}
	if confirmed := d.refresh.ConfirmedAt(); !confirmed.IsZero() {
		out.AgeMillis = uint32(max(0, time.Since(confirmed).Milliseconds()))
	}
	content, packed := d.content, d.packed
	d.mu.Unlock()
	if packed != nil {
		out.Content = packed
		return out, nil
	}
	return out, d.pack(content, out)
}

// pack compresses the content for a reply, once for all that ask for it.
func (d *document[T]) pack(content []byte, out *messenger.FetchReply) error {
	d.packing.Lock()
	defer d.packing.Unlock()
	d.mu.Lock()
	if d.digest == out.GetDigest() && d.packed != nil {
		out.Content = d.packed
	}
	d.mu.Unlock()
	if out.GetContent() != nil {
		return nil
	}
	packed, err := packer.Compress(content)
	if err != nil {
		return err
	}
	out.Content = packed
	d.packs++
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.digest == out.GetDigest() {
		d.packed = packed
	}
	return nil
}
