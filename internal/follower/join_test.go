package follower

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/scheduler"
)

// TestDaemonJoinsOnceAnotherWasHeard guards against a daemon that takes itself for the only
// one because its seeds are gone.
func TestDaemonJoinsOnceAnotherWasHeard(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const self, peer = "192.0.2.1:1", "192.0.2.2:1"
	timers := scheduler.New()
	defer timers.Close()
	go func() { _ = timers.Run() }()
	published := make(chan *State, 10)
	f := &Follower{address: self, config: Config{Scheduler: timers, OnChange: func(s *State) { published <- s }}}
	f.state.Store(&State{Daemons: 1})
	now := time.Now()
	f.updateDaemonCount(now, 4)
	is.True(!(<-published).Joined) // the seeds count as alive until they have been probed
	f.handlePacket(now.Add(-joinPeriod), &messenger.Packet{From: self, Daemons: 9})
	is.Equal(f.State().Daemons, 4)
	f.handlePacket(now.Add(-joinPeriod), &messenger.Packet{From: peer, Daemons: 9})
	is.Equal((<-published).Daemons, 9)
	is.True((<-published).Joined)
	f.handlePacket(now, &messenger.Packet{From: peer, Daemons: 12})
	is.Equal(f.State().Daemons, 9) // the time in which a peer's number counts is over
}
