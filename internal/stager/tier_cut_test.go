package stager_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// replyLengths returns the length of a searcher's reply as it is sent, and that of its head.
func replyLengths(t *testing.T, b *emulator.Backend) (reply, head int) {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", b.Server.Address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+stager.TierHost+"/x", nil)
	is.NoErr(err)
	platform.WriteCallerHeaders(request.Header, nextID(), time.Second)
	is.NoErr(request.Write(conn))
	data, err := io.ReadAll(conn)
	is.NoErr(err)
	end := bytes.Index(data, []byte("\r\n\r\n"))
	is.True(end > 0)
	return len(data), end + len("\r\n\r\n")
}

// checkReply checks that a caller got a whole reply of the searchers or an error of the
// daemon's own. It reports whether it is a success.
func checkReply(t *testing.T, tier *stager.Tier, path, id string, reply stager.Reply) bool {
	t.Helper()
	stamp := platform.ServerStamp(reply.Header)
	switch {
	case reply.Status != http.StatusOK:
		if stamp != "" || len(reply.Body) == 0 || reply.Status < http.StatusInternalServerError {
			t.Errorf("%s: status %d with stamp %q and %d bytes", path, reply.Status, stamp, len(reply.Body))
		}
		return false
	case path == stager.ScatterGatherPath:
		checkScatterGather(t, tier, id, reply, platform.ParseCoverage(reply.Header).Missing)
	default:
		by := slices.IndexFunc(tier.Backends, func(b *emulator.Backend) bool { return b.Stamp(id) == stamp })
		if by < 0 || !bytes.Equal(reply.Body, tier.Backends[by].Body(id)) {
			t.Errorf("%s: a success with stamp %q and %d bytes", path, stamp, len(reply.Body))
		}
	}
	return true
}

// sendOnAllPaths sends a request of each kind at the same time, each to another daemon, and
// returns how many were answered with success.
func sendOnAllPaths(t *testing.T, tier *stager.Tier, first int) int {
	t.Helper()
	var wait sync.WaitGroup
	paths := []string{stager.SinglePath, stager.AtMostOncePath, stager.ScatterGatherPath}
	successes := make([]bool, len(paths))
	for n, path := range paths {
		wait.Go(func() {
			id, method := nextID(), http.MethodGet
			if path == stager.AtMostOncePath {
				method = http.MethodPost
			}
			reply, err := tier.Send(t.Context(), tier.Daemons[(first+n)%len(tier.Daemons)], method, path+"x", id, 2*time.Second, nil)
			if err != nil {
				t.Errorf("%s: %v", path, err)
				return
			}
			successes[n] = checkReply(t, tier, path, id, reply)
		})
	}
	wait.Wait()
	return len(slices.DeleteFunc(successes, func(ok bool) bool { return !ok }))
}

// TestTierForwardsNoCutReplies guards against a reply of a searcher that ends at any byte, in
// its head above all, and reaches the caller as a whole one: of all replicas, and of one
// whose requests are hedged and retried. Whole replies between the cut ones keep
// connections open.
func TestTierForwardsNoCutReplies(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]emulator.BackendFaults{
		"with a length": {}, "in chunks": {Chunked: true}, "until the end": {Unframed: true},
		"with a length, reset": {Reset: true}, "until the end, reset": {Unframed: true, Reset: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			tier := newTier(t, nil)
			longest := 0
			last := make([]int, len(tier.Backends))
			for n, b := range tier.Backends {
				b.SetFaults(emulator.BackendFaults{Chunked: faults.Chunked, Unframed: faults.Unframed, ForgetIdle: true})
				reply, head := replyLengths(t, b)
				last[n] = reply - 1
				if faults.Unframed && !faults.Reset {
					// Such a reply is whole for HTTP wherever its body ends.
					last[n] = head - 1
				}
				longest = max(longest, last[n])
			}
			for cut := 1; cut <= longest; cut++ {
				for n, b := range tier.Backends {
					f := faults
					f.CutAfter = min(cut, last[n])
					b.SetFaults(f)
				}
				is.Equal(sendOnAllPaths(t, tier, cut), 0)
				for n, b := range tier.Backends {
					if n%len(tier.Config.Domains) != cut%len(tier.Config.Domains) {
						b.SetFaults(emulator.BackendFaults{})
					}
				}
				sendOnAllPaths(t, tier, cut)
				for _, b := range tier.Backends {
					b.SetFaults(emulator.BackendFaults{})
				}
				sendOnAllPaths(t, tier, cut)
			}
		})
	}
}
