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

// listedAndEmpty returns a document that has read so many entries, and one that has not.
func listedAndEmpty(t *testing.T, entries int) (read, empty *document[string]) {
	t.Helper()
	blank := func() *document[string] {
		d := newDocument("servers", refresher.Config{Bound: time.Second, Rand: rand.New(rand.NewPCG(1, 1))}, platform.Collection[string]{})
		d.list = func(context.Context) ([]platform.Entry[string], uint64, error) {
			var out []platform.Entry[string]
			for n := range entries {
				out = append(out, platform.Entry[string]{Name: fmt.Sprint("server-", n), Value: fmt.Sprint("192.0.2.", n)})
			}
			return out, 7, nil
		}
		d.changed = func(time.Time, map[string]string, map[string]string) {}
		d.returned = func(time.Time, time.Time) {}
		return d
	}
	read, empty = blank(), blank()
	is.New(t).True(read.read(t.Context()))
	return read, empty
}

// TestAChangeIsPackedOnce names the pattern: a change of a long list reaches
// three hundred daemons; a hundred of a failure domain fetch it from the one that
// heard of it first, and that one from the one that reads the store. Packing for
// each took a VM with a quarter of a processor one to two seconds.
func TestAChangeIsPackedOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	reader, forwarder := listedAndEmpty(t, 1200)
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
	is.Equal(reader.packs, 1)

	reply, err := reader.reply()
	is.NoErr(err)
	is.True(forwarder.fetched(time.Now(), reply, 0))
	passed, err := forwarder.reply()
	is.NoErr(err)
	is.Equal(passed.GetContent(), reply.GetContent())
	is.Equal(passed.GetDigest(), reply.GetDigest())
	is.Equal(forwarder.packs, 0)
	is.Equal(len(forwarder.entries), 1200)

	// A change is packed anew.
	reader.take([]platform.Entry[string]{{Name: "server-0", Deleted: true}}, 8, false)
	changed, err := reader.reply()
	is.NoErr(err)
	is.True(changed.GetDigest() != reply.GetDigest())
	is.True(forwarder.fetched(time.Now(), changed, 0))
	is.Equal(len(forwarder.entries), 1199)
	is.Equal(reader.packs, 2)
}

// TestHeadsHeardDuringAFetchAreNotLost names the pattern: changes follow each
// other closely in a tier of hundreds, so that a daemon which passes them on to
// its failure domain hears of the next one, or of this one from afar, while it
// fetches. Lost, the domain waited for the reader's next look, up to a second.
func TestHeadsHeardDuringAFetchAreNotLost(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	reader, forwarder := listedAndEmpty(t, 10)
	now := time.Now()
	near := heardHead{from: "near", head: reader.head(now)}
	same, behind := forwarder.hear(now, near)
	is.True(!same && behind)

	// The same from another failure domain, to be passed on, comes meanwhile.
	far := heardHead{from: "far", head: reader.head(now), far: true}
	same, behind = forwarder.hear(now, far)
	is.True(!same && !behind)
	reply, err := reader.reply()
	is.NoErr(err)
	is.True(forwarder.fetched(now, reply, 0))
	next, passOn := forwarder.afterFetch()
	is.True(next == nil)
	is.True(passOn)

	// A newer one comes from afar during a fetch, then an older one from near.
	reader.take([]platform.Entry[string]{{Name: "a", Value: "1"}}, 8, false)
	older := reader.head(now)
	_, behind = forwarder.hear(now, heardHead{from: "near", head: older})
	is.True(behind)
	oldReply, err := reader.reply()
	is.NoErr(err)
	reader.take([]platform.Entry[string]{{Name: "b", Value: "2"}}, 9, false)
	forwarder.hear(now, heardHead{from: "far", head: reader.head(now), far: true})
	forwarder.hear(now, heardHead{from: "near", head: older})
	is.True(forwarder.fetched(now, oldReply, 0))
	next, passOn = forwarder.afterFetch()
	is.True(!passOn) // not before the newer content is known
	is.Equal(next.from, "far")
	is.True(next.far)
	_, behind = forwarder.hear(now, *next)
	is.True(behind)
}
