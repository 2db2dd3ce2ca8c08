// Package limiter tracks the rate limits that backend servers name in their replies
// and how many requests this daemon sends to the servers that name one. It performs
// no I/O.
package limiter

import (
	"sync"
	"time"
)

// Usage is what a daemon sent to the servers that name a rate limit.
type Usage struct {
	// Limited is the number of servers that name a limit, and PerSecond the sum of
	// their limits, in requests a second over all daemons.
	Limited   int
	PerSecond float64
	// Requests counts the requests sent to them, Extra the hedges and retries among
	// them.
	Requests, Extra int
}

// Limiter holds the rate limits by the keys of the servers. It is safe for concurrent
// use.
type Limiter struct {
	mu     sync.Mutex
	limits map[string]float64
	usage  Usage
}

// New returns a Limiter that knows no limit.
func New() *Limiter { return &Limiter{limits: map[string]float64{}} }

// Record records the limit in a server's reply, in requests a second over all
// daemons; limited is false if the reply names none. It reports whether that changed.
func (l *Limiter) Record(_ time.Time, key string, perSecond float64, limited bool) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous, wasLimited := l.limits[key]
	if limited {
		l.limits[key] = perSecond
	} else {
		delete(l.limits, key)
	}
	return limited != wasLimited || previous != perSecond
}

// RecordSent counts a request to a server if it names a limit.
func (l *Limiter) RecordSent(key string, extra bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, limited := l.limits[key]; !limited {
		return
	}
	l.usage.Requests++
	if extra {
		l.usage.Extra++
	}
}

// TakeUsage returns the usage since the last call.
func (l *Limiter) TakeUsage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.usage
	l.usage = Usage{}
	for _, perSecond := range l.limits {
		out.Limited++
		out.PerSecond += perSecond
	}
	return out
}

// Forget drops the limits of servers that are not in keep.
func (l *Limiter) Forget(keep map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.limits {
		if !keep[key] {
			delete(l.limits, key)
		}
	}
}
