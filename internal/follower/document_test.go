package follower

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/packer"
	"github.com/fuchsiastile/fuchsiastile/internal/refresher"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// newReadAndEmptyDocuments returns a document that has read the given number of
// entries from its store, and one that has read nothing yet.
func newReadAndEmptyDocuments(t *testing.T, entries int) (read, empty *document[string]) {
	t.Helper()
	newEmpty := func() *document[string] {
		d := newDocument("servers", refresher.Config{Bound: time.Second, Rand: rand.New(rand.NewPCG(1, 1))}, platform.Collection[string]{})
		d.list = func(context.Context) ([]platform.Entry[string], platform.Position, error) {
			var out []platform.Entry[string]
			for n := range entries {
				out = append(out, platform.Entry[string]{Name: fmt.Sprint("server-", n), Value: fmt.Sprint("192.0.2.", n)})
			}
			return out, platform.Position{Revision: 7}, nil
		}
		d.onChange = func(time.Time, map[string]string, map[string]string) {}
		d.onConfirmed = func(time.Time, time.Time) {}
		return d
	}
	read, empty = newEmpty(), newEmpty()
	is.New(t).True(read.read(t.Context()))
	return read, empty
}

// TestContentIsCompressedOncePerChange guards against compressing a document once
// per fetch. In a tier of three hundred daemons, a hundred of one failure domain
// fetch a changed list from the first that received it, which fetched it from the
// store's reader. Compressing it for each of them took one to two seconds on a VM
// with a quarter of a CPU.
func TestContentIsCompressedOncePerChange(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	reader, forwarder := newReadAndEmptyDocuments(t, 1200)
	var wait sync.WaitGroup
	for range 100 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			reply, err := reader.reply()
			is.NoErr(err)
			_, err = packer.Decompress(reply.GetContent())
			is.NoErr(err)
		}()
	}
	wait.Wait()
	is.Equal(reader.compressCount, 1)

	reply, err := reader.reply()
	is.NoErr(err)
	is.True(forwarder.handleFetchReply(time.Now(), reply, 0))
	forwarded, err := forwarder.reply()
	is.NoErr(err)
	is.Equal(forwarded.GetContent(), reply.GetContent())
	is.Equal(forwarded.GetDigest(), reply.GetDigest())
	is.Equal(forwarder.compressCount, 0)
	is.Equal(len(forwarder.entries), 1200)

	// Changed content is compressed again.
	reader.applyRead([]platform.Entry[string]{{Name: "server-0", Deleted: true}}, platform.Position{Revision: 8}, false)
	changed, err := reader.reply()
	is.NoErr(err)
	is.True(changed.GetDigest() != reply.GetDigest())
	is.True(forwarder.handleFetchReply(time.Now(), changed, 0))
	is.Equal(len(forwarder.entries), 1199)
	is.Equal(reader.compressCount, 2)
}

// TestHeadReceivedDuringFetchIsKept guards against dropping a head that arrives
// during a fetch. In a tier of hundreds, changes follow each other closely, so a
// daemon that forwards to its failure domain may receive the head of the next
// change, or this one's from another domain, while it fetches. When such heads were
// dropped, the domain waited for the reader's next read, up to a second.
func TestHeadReceivedDuringFetchIsKept(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	reader, forwarder := newReadAndEmptyDocuments(t, 10)
	now := time.Now()
	local := peerHead{from: "local", head: reader.head(now)}
	same, behind := forwarder.handlePeerHead(now, local)
	is.True(!same && behind)

	// During the fetch, the same head arrives from another failure domain and is to be
	// forwarded.
	otherDomain := peerHead{from: "remote", head: reader.head(now), otherDomain: true}
	same, behind = forwarder.handlePeerHead(now, otherDomain)
	is.True(!same && !behind)
	reply, err := reader.reply()
	is.NoErr(err)
	is.True(forwarder.handleFetchReply(now, reply, 0))
	next, forward := forwarder.resolvePendingHead()
	is.True(next == nil)
	is.True(forward)

	// During the next fetch, a newer head arrives from another domain, then an older
	// local one.
	reader.applyRead([]platform.Entry[string]{{Name: "a", Value: "1"}}, platform.Position{Revision: 8}, false)
	older := reader.head(now)
	_, behind = forwarder.handlePeerHead(now, peerHead{from: "local", head: older})
	is.True(behind)
	oldReply, err := reader.reply()
	is.NoErr(err)
	reader.applyRead([]platform.Entry[string]{{Name: "b", Value: "2"}}, platform.Position{Revision: 9}, false)
	forwarder.handlePeerHead(now, peerHead{from: "remote", head: reader.head(now), otherDomain: true})
	forwarder.handlePeerHead(now, peerHead{from: "local", head: older})
	is.True(forwarder.handleFetchReply(now, oldReply, 0))
	next, forward = forwarder.resolvePendingHead()
	is.True(!forward) // not before the newer content is fetched
	is.Equal(next.from, "remote")
	is.True(next.otherDomain)
	_, behind = forwarder.handlePeerHead(now, *next)
	is.True(behind)
}

// TestVersionsAndErasOrderContent guards against content that is ignored because the
// revisions of a restored store are lower, against an older version that replaces the one
// that the store has lost, and against daemons that cannot agree on one content then.
func TestVersionsAndErasOrderContent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	newConfiguration := func() *document[uint64] {
		d := newDocument("configuration", refresher.Config{Bound: time.Second, Rand: rand.New(rand.NewPCG(1, 1))}, platform.Collection[uint64]{})
		d.versionOf = func(entries map[string]uint64) uint64 { return entries["main"] }
		return d
	}
	stored := func(version uint64) []platform.Entry[uint64] {
		return []platform.Entry[uint64]{{Name: "main", Value: version}}
	}
	at := func(era, revision uint64) platform.Position { return platform.Position{Era: era, Revision: revision} }
	fetch := func(from, to *document[uint64]) (same, behind bool) {
		now := time.Now()
		same, behind = to.handlePeerHead(now, peerHead{from: "peer", head: from.head(now)})
		if behind {
			reply, err := from.reply()
			is.NoErr(err)
			is.True(to.handleFetchReply(now, reply, 0))
		}
		return same, behind
	}
	cutOff, running, started := newConfiguration(), newConfiguration(), newConfiguration()
	cutOff.applyRead(stored(9), at(1, 100), true)
	running.applyRead(stored(9), at(1, 100), true)

	// The restored store has version 8 at a lower revision.
	running.applyRead(stored(8), at(2, 60), true)
	is.Equal(running.version, uint64(9))
	is.Equal(running.position, at(2, 60))
	started.applyRead(stored(8), at(2, 60), true)
	_, behind := fetch(started, running)
	is.True(!behind)
	_, behind = fetch(started, cutOff)
	is.True(!behind)
	_, behind = fetch(cutOff, started) // of an earlier era, but the higher version
	is.True(behind)
	is.Equal(started.version, uint64(9))
	is.Equal(started.position, at(2, 60))
	same, _ := fetch(running, started)
	is.True(same)

	// The next change has a revision that was given out before.
	running.applyRead(stored(10), at(2, 70), false)
	_, behind = fetch(running, cutOff)
	is.True(behind)
	is.Equal(cutOff.version, uint64(10))
	is.Equal(cutOff.position, at(2, 70))
}

// TestFirstEraIsNoRestore guards against a daemon that takes the store for a restored one
// because its first content came from a daemon of an earlier release, which names no era.
func TestFirstEraIsNoRestore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	_, d := newReadAndEmptyDocuments(t, 1)
	restored := 0
	d.onRestored = func(time.Time) { restored++ }
	entries := []platform.Entry[string]{{Name: "a", Value: "1"}}
	d.applyRead(entries, platform.Position{Revision: 7}, true)
	d.applyRead(entries, platform.Position{Era: 1, Revision: 8}, true)
	is.Equal(restored, 0)
	d.applyRead(entries, platform.Position{Era: 2, Revision: 3}, true)
	is.Equal(restored, 1)
}

// TestSameContentOfLaterEraIsFetched guards against a daemon that was cut off while servers
// left and the store was restored: its content is that of the restored store, and only a
// fetched document tells it which servers the peers hide.
func TestSameContentOfLaterEraIsFetched(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	peer, cutOff := newReadAndEmptyDocuments(t, 1)
	restored := 0
	cutOff.onRestored = func(time.Time) { restored++ }
	content := []platform.Entry[string]{{Name: "a", Value: "1"}}
	cutOff.applyRead(content, platform.Position{Era: 1, Revision: 50}, true)
	peer.applyRead(content, platform.Position{Era: 2, Revision: 50}, true)
	now := time.Now()
	received := peerHead{from: "peer", head: peer.head(now)}
	same, behind := cutOff.handlePeerHead(now, received)
	is.True(!same)
	is.True(behind)
	reply, err := peer.reply()
	is.NoErr(err)
	is.True(cutOff.handleFetchReply(now, reply, 0))
	is.Equal(restored, 1)
	same, behind = cutOff.handlePeerHead(now, received)
	is.True(same)
	is.True(!behind)
}
