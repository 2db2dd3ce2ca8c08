package follower

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/limiter"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/scheduler"
)

// TestSuspendedDaemonTellsNoOldLimits guards against a daemon that was suspended, reads
// packets that waited for it, takes the end of an earlier rate limit for the newest news
// and tells the other daemons so.
func TestSuspendedDaemonTellsNoOldLimits(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var learned []limiter.Observation
	f := &Follower{config: Config{
		Scheduler:    scheduler.New(),
		OnRateLimits: func(_ time.Time, news []limiter.Observation) { learned = append(learned, news...) },
	}}
	f.state.Store(&State{Daemons: 1})
	now := time.Now()
	packet := &messenger.Packet{From: "192.0.2.1:1", RateLimits: []*messenger.RateLimit{{Searcher: 1, Ended: true, AgeMillis: 100}}}
	f.handlePacket(now, packet)
	is.Equal(len(learned), 1)
	is.Equal(learned[0].RepliedAt, now.Add(-100*time.Millisecond))
	f.config.Scheduler.At(now.Add(-3*time.Second), func(time.Time) {}) // overdue, as after a suspension
	f.handlePacket(now, packet)
	is.Equal(len(learned), 1)
}
