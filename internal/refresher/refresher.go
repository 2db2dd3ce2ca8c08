// Package refresher decides when a daemon reads the platform's store itself and
// when it relies on other daemons' reads. It performs no I/O.
//
// All daemons share one rank order. The first reads continuously and announces its
// reads to the others. Each further daemon reads only once its content has gone
// unconfirmed for longer than a threshold that grows with its rank. So one daemon's
// calls serve the whole tier, and a reader that is dead, frozen, partitioned or
// refused by the store is replaced without failure detection.
package refresher

import (
	"math/rand/v2"
	"time"
)

const (
	// firstThresholdShare and lastThresholdShare are the fractions of the bound
	// without confirmation after which the second and the last daemon in rank begin
	// to read; the rest of the bound is for the read itself.
	firstThresholdShare = 0.36
	lastThresholdShare  = 0.62
	// rankSteps is the number of steps between the two thresholds, one for each rank
	// after the second; all further ranks use the last threshold.
	rankSteps = 4
	// watchTimeoutShare is the fraction of the second daemon's threshold for which a
	// watch waits at the store for a change.
	watchTimeoutShare = 0.75
	// minReadInterval is the minimum pause after a successful read, so that frequent
	// changes are read in batches even when watches return at once.
	minReadInterval = 250 * time.Millisecond
	// minBackoff is the backoff after the first failed read; each further failure
	// doubles it.
	minBackoff = 250 * time.Millisecond
	// maxBackoff bounds the backoff of the first rank.
	maxBackoff = time.Second
	// backoffPerRank is added to that bound for each rank, up to maxRankBackoff, so
	// that a long outage does not make the whole tier call the store.
	backoffPerRank = 250 * time.Millisecond
	maxRankBackoff = 6 * time.Second
)

// Config holds the timing of a Refresher.
type Config struct {
	// Bound is the time within which a change must reach all daemons.
	Bound time.Duration
	// InitialDelay is how long after its start a daemon waits before its first
	// read, to get the content from peers instead.
	InitialDelay time.Duration
	Rand         *rand.Rand
}

// Refresher schedules the reads of one document. It is not safe for concurrent use.
type Refresher struct {
	config Config
	// rank is this daemon's position in the order of all live daemons.
	rank int
	// peerConfirmedAt is the time of the newest confirmation received from a peer.
	// Initially it is set so that the second rank may read once InitialDelay is over.
	peerConfirmedAt time.Time
	// confirmedAt is when the store last confirmed the content, to any daemon.
	confirmedAt time.Time
	failures    int
	// nextReadAt is the earliest start of the next read.
	nextReadAt time.Time
}

// New returns a refresher for a daemon that starts now without content.
func New(config Config, now time.Time) *Refresher {
	firstRead := now.Add(config.InitialDelay)
	return &Refresher{config: config, peerConfirmedAt: firstRead.Add(-config.fractionOfBound(firstThresholdShare)), nextReadAt: firstRead}
}

func (c Config) fractionOfBound(share float64) time.Duration {
	return time.Duration(share * float64(c.Bound))
}

// SetRank sets the daemon's position in the rank order; 0 is the first.
func (r *Refresher) SetRank(rank int) { r.rank = rank }

// readThreshold returns the age of the last peer confirmation from which this daemon
// reads.
func (r *Refresher) readThreshold() time.Duration {
	step := (r.config.fractionOfBound(lastThresholdShare) - r.config.fractionOfBound(firstThresholdShare)) / rankSteps
	return r.config.fractionOfBound(firstThresholdShare) + step*time.Duration(min(max(0, r.rank-1), rankSteps))
}

// Due reports whether this daemon should read now.
func (r *Refresher) Due(now time.Time) bool {
	return !now.Before(r.NextRead())
}

// NextRead returns when this daemon should read next unless a peer's confirmation
// arrives before.
func (r *Refresher) NextRead() time.Time {
	if r.rank == 0 {
		return r.nextReadAt
	}
	if at := r.peerConfirmedAt.Add(r.readThreshold()); at.After(r.nextReadAt) {
		return at
	}
	return r.nextReadAt
}

// WatchTimeout returns how long a watch waits at the store for a change.
func (r *Refresher) WatchTimeout() time.Duration {
	return time.Duration(watchTimeoutShare * float64(r.config.fractionOfBound(firstThresholdShare)))
}

// RecordRead records that a read of the store succeeded.
func (r *Refresher) RecordRead(now time.Time) {
	r.confirmedAt = now
	r.failures = 0
	r.nextReadAt = now.Add(minReadInterval)
}

// RecordFailure records that a read failed and schedules a retry with random backoff.
func (r *Refresher) RecordFailure(now time.Time) {
	limit := min(maxRankBackoff, maxBackoff+backoffPerRank*time.Duration(r.rank))
	backoff := min(limit, minBackoff<<min(r.failures, 8))
	r.failures++
	r.nextReadAt = now.Add(backoff/2 + time.Duration(r.config.Rand.Int64N(int64(backoff))))
}

// RecordPeerConfirmation records when the store confirmed to a peer the content
// that this daemon now has too.
func (r *Refresher) RecordPeerConfirmation(confirmed time.Time) {
	if confirmed.After(r.peerConfirmedAt) {
		r.peerConfirmedAt = confirmed
	}
	if confirmed.After(r.confirmedAt) {
		r.confirmedAt = confirmed
	}
}

// ConfirmedAt returns when the store last confirmed the content; zero if never.
func (r *Refresher) ConfirmedAt() time.Time { return r.confirmedAt }
