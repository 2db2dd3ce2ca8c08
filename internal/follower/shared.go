package follower

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/limiter"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
)

const (
	// joinPeriod is the time after it first heard from another daemon in which a daemon
	// takes the number of daemons from its peers, since its own membership list is not
	// complete yet. Later on, a number that only others believe in would never decrease.
	joinPeriod = 10 * time.Second
	// maxDaemons bounds the number of daemons that a peer can make this one believe in.
	maxDaemons = 10_000
)

// sharedState is what a daemon tells its peers with each message, beside the heads of
// its documents: both messenger.Packet and messenger.FetchReply carry it.
type sharedState interface {
	GetRateLimits() []*messenger.RateLimit
	GetDaemons() uint32
}

// handleSharedState applies the rate limits and the number of daemons that a peer told.
// sentAt is when the peer sent them, or earlier.
func (f *Follower) handleSharedState(now, sentAt time.Time, told sharedState) {
	if limits := told.GetRateLimits(); len(limits) > 0 {
		f.config.OnRateLimits(now, decodeRateLimits(sentAt, limits))
	}
	if daemons := int(min(told.GetDaemons(), maxDaemons)); daemons > f.State().Daemons {
		f.learnDaemonCount(now, daemons)
	}
}

// addSharedState adds this daemon's rate limits and number of daemons to a reply.
func (f *Follower) addSharedState(reply *messenger.FetchReply, err error) (*messenger.FetchReply, error) {
	if err != nil {
		return nil, err
	}
	now := time.Now()
	reply.RateLimits = encodeRateLimits(now, f.config.RateLimits(now))
	reply.Daemons = uint32(f.State().Daemons)
	return reply, nil
}

// learnDaemonCount raises the maximum of live daemons to a number that a peer told, within
// joinPeriod.
func (f *Follower) learnDaemonCount(now time.Time, daemons int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if daemons <= f.peakDaemons || now.Sub(f.heardAt) >= joinPeriod {
		return
	}
	f.peakDaemons, f.peakAt = daemons, now
	klog.InfoS("daemons alive according to a peer", "sharing", daemons)
	next := *f.state.Load()
	next.Daemons = daemons
	f.publish(&next)
}

func encodeRateLimits(now time.Time, news []limiter.Observation) []*messenger.RateLimit {
	out := make([]*messenger.RateLimit, len(news))
	for i, o := range news {
		out[i] = &messenger.RateLimit{
			Searcher: o.Server, PerSecond: o.PerSecond, Ended: o.Ended, AgeMillis: uint32(max(0, now.Sub(o.RepliedAt).Milliseconds())),
		}
	}
	return out
}

func decodeRateLimits(sentAt time.Time, list []*messenger.RateLimit) []limiter.Observation {
	out := make([]limiter.Observation, len(list))
	for i, l := range list {
		out[i] = limiter.Observation{
			Server: l.GetSearcher(), PerSecond: l.GetPerSecond(), Ended: l.GetEnded(),
			RepliedAt: sentAt.Add(-time.Duration(l.GetAgeMillis()) * time.Millisecond),
		}
	}
	return out
}
