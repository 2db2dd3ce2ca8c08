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
			_, err = packer.Unpack(reply.GetContent())
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
	reader.take([]platform.Entry[string]{{Name: "server-0", Gone: true}}, 8, false)
	changed, err := reader.reply()
	is.NoErr(err)
	is.True(changed.GetDigest() != reply.GetDigest())
	is.True(forwarder.fetched(time.Now(), changed, 0))
	is.Equal(len(forwarder.entries), 1199)
	is.Equal(reader.packs, 2)
}
