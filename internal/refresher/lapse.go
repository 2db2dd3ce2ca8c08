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

// Lapses retains servers whose registrations expired during an outage of the store
// until the live ones had time to register again. The zero value is ready to use.
type Lapses[T any] struct {
	// reachableAt is when the last outage ended.
	reachableAt time.Time
	retained    map[string]T
}

// Confirmed records the times of two successive confirmations by the store. It
// reports whether the gap between them was an outage.
func (l *Lapses[T]) Confirmed(bound time.Duration, previous, now time.Time) bool {
	if previous.IsZero() || now.Sub(previous) < time.Duration(outageShare*float64(bound)) {
		return false
	}
	l.reachableAt = now
	return true
}

// Removed retains an entry that is gone from the store if it may have expired
// because of an outage.
func (l *Lapses[T]) Removed(now time.Time, name string, entry T) {
	if l.reachableAt.IsZero() || now.Sub(l.reachableAt) >= reregistrationTime {
		return
	}
	if l.retained == nil {
		l.retained = map[string]T{}
	}
	l.retained[name] = entry
}

// Back stops retaining an entry that is in the store again, in whatever state.
func (l *Lapses[T]) Back(name string) { delete(l.retained, name) }

// Held returns the retained entries, which stay in use.
func (l *Lapses[T]) Held(now time.Time) map[string]T {
	if now.Sub(l.reachableAt) >= reregistrationTime {
		l.retained = nil
	}
	return l.retained
}

// Until returns when the retained entries are dropped; zero if there are none.
func (l *Lapses[T]) Until() time.Time {
	if len(l.retained) == 0 {
		return time.Time{}
	}
	return l.reachableAt.Add(reregistrationTime)
}
