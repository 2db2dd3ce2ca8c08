package limiter

import (
	"math"
	"slices"
	"time"
)

const (
	// newsTTL is how long a reply is told to other daemons.
	newsTTL = 10 * time.Second
	// maxNews bounds the observations in a datagram to about 1.5 KB.
	maxNews = 64
	// maxServers bounds the servers of which other daemons may tell a limit, since
	// anybody can send a datagram.
	maxServers = 20_000
)

// Observation is what a server's reply to any daemon said of its rate limit.
type Observation struct {
	// Server is the reporter.Hash of the server's key.
	Server uint64
	// PerSecond is the limit in requests a second over all daemons.
	PerSecond float64
	// Ended is set if the reply named no limit.
	Ended bool
	// RepliedAt is when the reply arrived; if it named no limit, when its request was sent,
	// so that it ends only limits that were named before the server wrote the reply.
	RepliedAt time.Time
}

// valid reports whether an observation of another daemon can be used.
func (o Observation) valid(now time.Time) bool {
	return !math.IsNaN(o.PerSecond) && !math.IsInf(o.PerSecond, 0) && o.PerSecond >= 0 && now.Sub(o.RepliedAt) < newsTTL && !o.RepliedAt.After(now)
}

// News returns the latest observations, to be told to other daemons: the newest first,
// as far as a datagram holds them.
func (l *Limiter) News(now time.Time) []Observation {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Observation
	for server, b := range l.buckets {
		if now.Sub(b.repliedAt) < newsTTL {
			out = append(out, Observation{Server: server, PerSecond: b.perSecond, Ended: b.ended, RepliedAt: b.repliedAt})
		}
	}
	slices.SortFunc(out, func(a, b Observation) int { return b.RepliedAt.Compare(a.RepliedAt) })
	return out[:min(len(out), maxNews)]
}

// Merge applies what another daemon told, where it is newer than what is known, and
// returns the number of limits that changed.
func (l *Limiter) Merge(now time.Time, news []Observation) (changed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range news {
		known, ok := l.buckets[o.Server]
		if !o.valid(now) || ok && !o.RepliedAt.After(known.repliedAt) || !ok && len(l.buckets) >= maxServers {
			continue
		}
		if l.record(now, o) {
			changed++
		}
	}
	return changed
}
