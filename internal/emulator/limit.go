package emulator

import (
	"net/http"
	"time"
)

// rateLimit is the rate limit that an emulated backend server names, and the requests
// that it received since.
type rateLimit struct {
	// perSecond is the limit over all daemons; zero names none.
	perSecond float64
	// since is when the server first named the limit.
	since time.Time
	// toldAt holds, by the IP address of a daemon, when it first received the limit.
	toldAt   map[string]time.Time
	arrivals []limitedArrival
}

// limitedArrival is one request to a server that names a limit.
type limitedArrival struct {
	at     time.Time
	daemon string
}

// SetRateLimit makes the server name a limit, in requests a second over all daemons,
// in all its replies; zero removes it.
func (b *Backend) SetRateLimit(perSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = rateLimit{perSecond: perSecond, since: time.Now(), toldAt: map[string]time.Time{}}
}

// recordLimited counts a request if the server names a limit, and returns the limit.
func (b *Backend) recordLimited(r *http.Request) (perSecond float64, limited bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit.perSecond == 0 {
		return 0, false
	}
	now, daemon := time.Now(), hostOf(r.RemoteAddr)
	if _, told := b.limit.toldAt[daemon]; !told {
		b.limit.toldAt[daemon] = now
	}
	b.limit.arrivals = append(b.limit.arrivals, limitedArrival{at: now, daemon: daemon})
	return b.limit.perSecond, true
}

// PeakLimited returns the largest number of requests in any window of the given length
// that starts at least settle after the server first named its limit. Requests of a
// daemon count from delay after it first received the limit.
func (b *Backend) PeakLimited(settle, window, delay time.Duration) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var counted []time.Time
	for _, a := range b.limit.arrivals {
		if a.at.Sub(b.limit.since) >= settle && a.at.Sub(b.limit.toldAt[a.daemon]) >= delay {
			counted = append(counted, a.at)
		}
	}
	peak, first := 0, 0
	for i, at := range counted {
		for at.Sub(counted[first]) >= window {
			first++
		}
		peak = max(peak, i-first+1)
	}
	return peak
}

// LimitedRequests returns the number of requests that the server received from a daemon
// with the given IP address, or from all if that is empty, since it named its limit.
func (b *Backend) LimitedRequests(daemon string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, a := range b.limit.arrivals {
		if daemon == "" || a.daemon == daemon {
			n++
		}
	}
	return n
}
