package refresher_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/refresher"
)

// TestDepartedServersAreHiddenAfterRestore guards against servers that are used again
// because a restored store lists them as ready, and against servers that stay hidden
// although they live.
func TestDepartedServersAreHiddenAfterRestore(t *testing.T) {
	is := is.New(t)
	const expiry = 3600 * time.Millisecond
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	var d refresher.Departures
	d.RecordDeparture(start, "left")
	d.RecordDeparture(start, "back")
	is.True(!d.IsHidden(start, "left")) // the store's list decides
	d.RecordPresence(at(time.Second), "back")

	d.RecordRestore(at(2*time.Second), expiry)
	now := at(3 * time.Second)
	is.True(d.IsHidden(now, "left"))
	is.True(!d.IsHidden(now, "back"))
	is.True(!d.IsHidden(now, "new"))
	d.RecordPresence(now, "left") // its old entry
	is.True(d.IsHidden(now, "left"))

	// A daemon that has just started learns of it from a peer.
	var started refresher.Departures
	started.Merge(now, d.Hidden(now), d.HiddenUntil().Sub(now))
	is.True(started.IsHidden(now, "left"))

	later := d.HiddenUntil()
	is.True(later.Sub(at(2*time.Second)) > expiry)
	is.True(!d.IsHidden(later, "left")) // what is listed now has been written again
	is.True(!started.IsHidden(later, "left"))
	is.Equal(len(d.Hidden(later)), 0)
	d.RecordPresence(later, "left")
	d.RecordRestore(later, expiry)
	is.True(!d.IsHidden(later, "left"))
}
