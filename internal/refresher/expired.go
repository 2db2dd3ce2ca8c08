package refresher

import "time"

const (
	// outageShare is the fraction of the bound that must pass without a confirmation
	// for the gap to count as an outage of the store.
	outageShare = 0.8
	// reregistrationTime is how long after the end of an outage servers may register
	// again before their expired entries are dropped.
	reregistrationTime = 2300 * time.Millisecond
)

// ExpiredEntries retains servers whose registrations expired during an outage of
// the store until the live ones had time to register again. The zero value is ready
// to use.
type ExpiredEntries[T any] struct {
	// reachableAt is when the last outage ended.
	reachableAt time.Time
	retained    map[string]T
}

// RecordConfirmation records the times of two successive confirmations by the
// store. It reports whether the gap between them was an outage.
func (e *ExpiredEntries[T]) RecordConfirmation(bound time.Duration, previous, now time.Time) bool {
	if previous.IsZero() || now.Sub(previous) < time.Duration(outageShare*float64(bound)) {
		return false
	}
	e.reachableAt = now
	return true
}

// RecordRestore records that the store was restored from an older copy, which may lack
// registrations as after an outage.
func (e *ExpiredEntries[T]) RecordRestore(now time.Time) { e.reachableAt = now }

// RecordRemoval retains an entry that is gone from the store if it may have expired
// because of an outage, and reports whether it does.
func (e *ExpiredEntries[T]) RecordRemoval(now time.Time, name string, entry T) (retained bool) {
	if e.reachableAt.IsZero() || now.Sub(e.reachableAt) >= reregistrationTime {
		return false
	}
	if e.retained == nil {
		e.retained = map[string]T{}
	}
	e.retained[name] = entry
	return true
}

// RecordReregistration stops retaining an entry that is in the store again, in
// whatever state.
func (e *ExpiredEntries[T]) RecordReregistration(name string) { delete(e.retained, name) }

// Retained returns the retained entries, which stay in use.
func (e *ExpiredEntries[T]) Retained(now time.Time) map[string]T {
	if now.Sub(e.reachableAt) >= reregistrationTime {
		e.retained = nil
	}
	return e.retained
}

// RetainedUntil returns when the retained entries are dropped; zero if there are
// none.
func (e *ExpiredEntries[T]) RetainedUntil() time.Time {
	if len(e.retained) == 0 {
		return time.Time{}
	}
	return e.reachableAt.Add(reregistrationTime)
}
