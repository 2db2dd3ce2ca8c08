package refresher

import (
	"maps"
	"time"
)

// departureTTL is how long a departure is remembered. It is longer than what a restored
// store has lost.
const departureTTL = time.Minute

// Departures remembers servers that drain or have left, so that they are not used again
// when the store is restored from a copy in which they had not. Once living servers
// have written their registrations again and the others' have expired, the store's list
// holds again. The zero value is ready to use.
type Departures struct {
	// departedAt holds by server when it was first seen to drain or to be gone.
	departedAt map[string]time.Time
	// hiddenUntil is when the store's list holds again after the last restore.
	hiddenUntil time.Time
}

// RecordDeparture records that a server drains or has left.
func (d *Departures) RecordDeparture(now time.Time, server string) {
	if d.departedAt == nil {
		d.departedAt = map[string]time.Time{}
	}
	maps.DeleteFunc(d.departedAt, func(_ string, at time.Time) bool { return now.Sub(at) > departureTTL })
	if _, ok := d.departedAt[server]; !ok {
		d.departedAt[server] = now
	}
}

// RecordPresence records that the store lists a server as ready. That ends its departure,
// unless the store was restored a short time ago.
func (d *Departures) RecordPresence(now time.Time, server string) {
	if !now.Before(d.hiddenUntil) {
		delete(d.departedAt, server)
	}
}

// RecordRestore records that the store was restored from an older copy. expiry is the
// time after which a registration expires that is not written again.
func (d *Departures) RecordRestore(now time.Time, expiry time.Duration) {
	d.hiddenUntil = now.Add(expiry + reregistrationTime)
}

// IsHidden reports whether a server that the store lists as ready is not to be used,
// because it had left before the store was restored.
func (d *Departures) IsHidden(now time.Time, server string) bool {
	if !now.Before(d.hiddenUntil) {
		return false
	}
	_, ok := d.departedAt[server]
	return ok
}

// HiddenUntil returns when the store's list holds again; a time in the past if it does.
func (d *Departures) HiddenUntil() time.Time { return d.hiddenUntil }

// Merge adds the servers that another daemon hides for some time more.
func (d *Departures) Merge(now time.Time, servers []string, remaining time.Duration) {
	for _, server := range servers {
		d.RecordDeparture(now, server)
	}
	if until := now.Add(min(remaining, departureTTL)); len(servers) > 0 && until.After(d.hiddenUntil) {
		d.hiddenUntil = until
	}
}

// Hidden returns the servers that are hidden, which other daemons are told; nil if the
// store's list holds.
func (d *Departures) Hidden(now time.Time) []string {
	if !now.Before(d.hiddenUntil) {
		return nil
	}
	out := make([]string, 0, len(d.departedAt))
	for server := range d.departedAt {
		out = append(out, server)
	}
	return out
}
