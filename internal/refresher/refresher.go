// Package refresher decides when a daemon reads the platform's store itself and
// when it leaves that to others. It does no input or output.
//
// All daemons are ranked in one order. The first reads all the time and tells
// the others; each further one begins only once what it knows has not been
// confirmed for a little longer than the one before it would wait. So one
// daemon's calls serve the whole tier, and one that is dead, frozen, cut off or
// refused by the store is replaced without anybody having to notice it first.
package refresher

import (
	"math/rand/v2"
	"time"
)

const (
	// firstShare and lastShare are the parts of the bound after which the second
	// and the last daemon in rank begin to read; the rest is for the reading itself.
	firstShare = 0.36
	lastShare  = 0.62
	// steps is how many daemons begin one after the other.
	steps = 4
	// waitShare is the part of the second daemon's threshold that a read waits
	// at the store for a change.
	waitShare = 0.75
	// minGap spaces reads that return at once, so that changes come in batches.
	minGap = 250 * time.Millisecond
	// minBackoff is the first wait after a failed read; each further one doubles it.
	minBackoff = 250 * time.Millisecond
	// maxBackoff bounds it for the first ranks.
	maxBackoff = time.Second
	// rankBackoff is what each rank adds to that bound, up to maxRankBackoff, so
	// that an outage's length does not cost calls of the whole tier.
	rankBackoff    = 250 * time.Millisecond
	maxRankBackoff = 6 * time.Second
)

// Config bounds the age of what a daemon knows.
type Config struct {
	// Bound is the time within which a change must be known everywhere.
	Bound time.Duration
	// InitialDelay is how long after its start a daemon leaves the first read to others.
	InitialDelay time.Duration
	Rand         *rand.Rand
}

// Refresher decides for one document. It is not safe for concurrent use.
type Refresher struct {
	config Config
	// rank is this daemon's place in the order of all live daemons.
	rank int
	// heardAt is when another daemon's confirmation was current; the start at first.
	heardAt time.Time
	// confirmedAt is when the store last confirmed what is known, to anybody.
	confirmedAt time.Time
	failures    int
	// notBefore is when the next read may begin.
	notBefore time.Time
}

// New returns a refresher of a daemon that starts now and knows nothing.
func New(config Config, now time.Time) *Refresher {
	settled := now.Add(config.InitialDelay)
	return &Refresher{config: config, heardAt: settled.Add(-config.share(firstShare)), notBefore: settled}
}

func (c Config) share(s float64) time.Duration { return time.Duration(s * float64(c.Bound)) }

// SetRank sets the daemon's place in the order; 0 is the first.
func (r *Refresher) SetRank(rank int) { r.rank = rank }

// threshold is the age from which this daemon reads.
func (r *Refresher) threshold() time.Duration {
	step := (r.config.share(lastShare) - r.config.share(firstShare)) / steps
	return r.config.share(firstShare) + step*time.Duration(min(max(0, r.rank-1), steps))
}

// Due reports whether this daemon is to read now.
func (r *Refresher) Due(now time.Time) bool {
	return !now.Before(r.NextRead())
}

// NextRead is when this daemon is to read next, if it hears nothing until then.
func (r *Refresher) NextRead() time.Time {
	if r.rank == 0 {
		return r.notBefore
	}
	if at := r.heardAt.Add(r.threshold()); at.After(r.notBefore) {
		return at
	}
	return r.notBefore
}

// WatchTimeout is how long a read waits at the store for a change.
func (r *Refresher) WatchTimeout() time.Duration {
	return time.Duration(waitShare * float64(r.config.share(firstShare)))
}

// RecordRead notes that the store confirmed, at a moment, what is known.
func (r *Refresher) RecordRead(now time.Time) {
	r.confirmedAt = now
	r.failures = 0
	r.notBefore = now.Add(minGap)
}

// RecordFailure notes that a read brought nothing.
func (r *Refresher) RecordFailure(now time.Time) {
	limit := min(maxRankBackoff, maxBackoff+rankBackoff*time.Duration(r.rank))
	wait := min(limit, minBackoff<<min(r.failures, 8))
	r.failures++
	r.notBefore = now.Add(wait/2 + time.Duration(r.config.Rand.Int64N(int64(wait))))
}

// RecordPeerConfirmation notes that another daemon's knowledge, which is now this one's, was
// confirmed by the store at a moment.
func (r *Refresher) RecordPeerConfirmation(confirmed time.Time) {
	if confirmed.After(r.heardAt) {
		r.heardAt = confirmed
	}
	if confirmed.After(r.confirmedAt) {
		r.confirmedAt = confirmed
	}
}

// ConfirmedAt is when the store last confirmed what is known; zero if never.
func (r *Refresher) ConfirmedAt() time.Time { return r.confirmedAt }
