package stager_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// leavingRecord records which daemons know that a searcher leaves and still use it.
type leavingRecord struct {
	searcher *emulator.Backend
	// toldAt holds by daemon when it first passed on a reply of the searcher.
	toldAt map[int]time.Time
	// late counts the requests that reached the searcher although they were sent later
	// than the notice after that.
	late int
}

// record records a request and its reply. isTold reports whether the reply to a request that
// reached the searcher certainly reached the daemon, too.
func (l *leavingRecord) record(daemon int, sentAt time.Time, id string, reply stager.Reply, notice time.Duration, isTold func(reached bool) bool) {
	reached := l.searcher.Stats().Arrivals[id] > 0
	told, ok := l.toldAt[daemon]
	stamps := append(platform.ParseCoverage(reply.Header).Stamps, platform.ServerStamp(reply.Header))
	switch {
	case ok && reached && sentAt.Sub(told) > notice:
		l.late++
	case !ok && (slices.Contains(stamps, l.searcher.Stamp(id)) || isTold(reached)):
		l.toldAt[daemon] = time.Now()
	}
}

// TestTierStopsUsingLeavingSearchers guards against a searcher that is used on although its
// replies say that it leaves: while the store is down, no registration tells that.
func TestTierStopsUsingLeavingSearchers(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		path, service string
		faults        emulator.BackendFaults
		// all makes all searchers of the service leave, so that no other takes the place
		// of one that fails.
		all bool
	}{
		"successes":     {path: stager.SinglePath, service: singles},
		"shard replies": {path: stager.ScatterGatherPath, service: stager.ShardServiceName(0)},
		"errors":        {path: stager.AtMostOncePath, service: singles, faults: emulator.BackendFaults{Fail: true}, all: true},
		"refusals":      {path: stager.AtMostOncePath, service: singles, faults: emulator.BackendFaults{Shed: true}, all: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			tier := newTier(t, nil)
			notice := tier.Daemons[0].Settings.Bounds.DrainNotice
			tier.Store.SetFaults(emulator.StoreFaults{Silent: true})
			for n := range 60 {
				sendRequest(t, tier, n%len(tier.Daemons), test.path+"x")
			}
			leaving := backendsOf(tier, test.service)
			if !test.all {
				mostUsed := slices.MaxFunc(leaving, func(a, b *emulator.Backend) int { return len(a.Stats().Runs) - len(b.Stats().Runs) })
				leaving = []*emulator.Backend{mostUsed}
			}
			// A daemon may find another searcher faster, however much it used this one before,
			// and then receives no reply of it for as long as the test lasts. The others are
			// made slow, so that the one that leaves replies first.
			for _, b := range backendsOf(tier, test.service) {
				if !slices.Contains(leaving, b) {
					b.SetFaults(emulator.BackendFaults{Pause: 50 * time.Millisecond})
				}
			}
			records := make([]leavingRecord, len(leaving))
			for n, b := range leaving {
				b.SetFaults(test.faults)
				b.Leave()
				records[n] = leavingRecord{searcher: b, toldAt: map[int]time.Time{}}
			}
			// Requests that may run once are not hedged, so that no reply is abandoned.
			isTold := func(reached bool) bool { return reached && test.path == stager.AtMostOncePath }
			for began := time.Now(); time.Since(began) < 2*notice; time.Sleep(10 * time.Millisecond) {
				for daemon := range tier.Daemons {
					sentAt := time.Now()
					id, reply := sendRequest(t, tier, daemon, test.path+"x")
					for n := range records {
						records[n].record(daemon, sentAt, id, reply, notice, isTold)
					}
				}
				if time.Since(began) > notice/2 {
					// Failures must not be what keeps requests away.
					for _, b := range backendsOf(tier, test.service) {
						b.SetFaults(emulator.BackendFaults{})
					}
				}
			}
			told, late := 0, 0
			for _, l := range records {
				told += len(l.toldAt)
				late += l.late
			}
			is.True(told > 0)
			is.Equal(late, 0)
		})
	}
}

// TestNoConnectionsAheadOfUseToLeavingSearchers guards against connections that are opened
// ahead of use to a searcher that gets no requests.
func TestNoConnectionsAheadOfUseToLeavingSearchers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tier := newTier(t, func(c *stager.TierConfig) { c.Domains = c.Domains[:1] })
	leaving := backendsOf(tier, stager.ShardServiceName(0))[0]
	leaving.Leave()
	sendRequest(t, tier, 0, stager.ScatterGatherPath+"x")
	before := leaving.Stats().Connections
	// Connections are opened every second.
	time.Sleep(3 * time.Second)
	is.Equal(leaving.Stats().Connections, before)
}
