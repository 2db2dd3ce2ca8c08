package refresher

import "time"

const (
	// outageShare is the part of the bound that must have passed without a
	// confirmation for the store to count as having been away.
	outageShare = 0.8
	// returnTime is how long after the store's return entries that lapsed
	// meanwhile may still come back.
	returnTime = 2300 * time.Millisecond
)

// ExpiredEntries keeps servers whose registration lapsed while the store was away until
// those that live have had the time to register again. The zero value is ready.
type ExpiredEntries[T any] struct {
	// returned is when the store came back.
	returned time.Time
	held     map[string]T
}

// RecordConfirmation takes the moments of two confirmations that follow each other. It
// reports whether the store was away in between.
func (l *ExpiredEntries[T]) RecordConfirmation(bound time.Duration, before, now time.Time) bool {
	if before.IsZero() || now.Sub(before) < time.Duration(outageShare*float64(bound)) {
		return false
	}
	l.returned = now
	return true
}

// RecordRemoval holds an entry that is gone from the store, if it may have lapsed in an outage.
func (l *ExpiredEntries[T]) RecordRemoval(now time.Time, name string, entry T) {
	if l.returned.IsZero() || now.Sub(l.returned) >= returnTime {
		return
	}
	if l.held == nil {
		l.held = map[string]T{}
	}
	l.held[name] = entry
}

// RecordReregistration drops an entry that the store has again, in whatever state.
func (l *ExpiredEntries[T]) RecordReregistration(name string) { delete(l.held, name) }

// Retained returns the entries to go on using.
func (l *ExpiredEntries[T]) Retained(now time.Time) map[string]T {
	if now.Sub(l.returned) >= returnTime {
		l.held = nil
	}
	return l.held
}

// RetainedUntil is when what is held is dropped; zero if nothing is.
func (l *ExpiredEntries[T]) RetainedUntil() time.Time {
	if len(l.held) == 0 {
		return time.Time{}
	}
	return l.returned.Add(returnTime)
}
