package follower

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
)

// maxHidden bounds the servers that a peer can make this daemon hide.
const maxHidden = 10_000

// addHidden adds the servers that this daemon hides to a reply with the servers.
func (f *Follower) addHidden(reply *messenger.FetchReply, err error) (*messenger.FetchReply, error) {
	if err != nil {
		return nil, err
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if reply.Hidden = f.departures.Hidden(now); len(reply.Hidden) > 0 {
		reply.HiddenMillis = uint32(f.departures.HiddenUntil().Sub(now).Milliseconds())
	}
	return reply, nil
}

// handleHidden hides the servers that a peer hides, which this daemon may not have known
// before they left.
func (f *Follower) handleHidden(now time.Time, reply *messenger.FetchReply) {
	hidden := reply.GetHidden()
	if len(hidden) == 0 {
		return
	}
	if len(hidden) > maxHidden {
		klog.InfoS("ignoring the servers that a peer hides, there are too many", "servers", len(hidden))
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.departures.Merge(now, hidden, time.Duration(reply.GetHiddenMillis())*time.Millisecond)
	f.config.Scheduler.At(f.departures.HiddenUntil(), f.rebuildFleet)
}
