package follower

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/planner"
)

// peakWindow is how long the maximum of live daemons stays in effect. Shared limits
// are divided by that maximum, since a daemon that is wrongly considered dead, or is
// in another network partition, still uses its share. Partitions last up to half of
// this time.
const peakWindow = 45 * time.Second

// configurationVersion returns the highest version of a document's configurations.
func configurationVersion(entries map[string]planner.Configuration) uint64 {
	highest := uint64(0)
	for _, c := range entries {
		highest = max(highest, c.Version)
	}
	return highest
}

// configurationChanged compiles and publishes a configuration that is newer than the
// one in force.
func (f *Follower) configurationChanged(now time.Time, entries, _ map[string]planner.Configuration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.state.Load()
	for _, c := range entries {
		if old.Table != nil && c.Version <= old.Table.Configuration().Version {
			klog.InfoS("ignoring configuration that is not newer than the one in force", "version", c.Version, "inForce", old.Table.Configuration().Version)
			continue
		}
		klog.InfoS("configuration in force", "version", c.Version, "routes", len(c.Routes), "services", len(c.Services))
		next := *old
		next.Table = planner.Compile(c)
		f.publish(&next)
	}
}

// storeConfirmed records a confirmation by the store, and logs it if it ends an
// outage.
func (f *Follower) storeConfirmed(now, previous time.Time) {
	confirmed := now
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.expired.RecordConfirmation(f.config.Settings.Bounds.DrainNotice, previous, confirmed) {
		klog.InfoS("store confirmed again after an outage", "outageMillis", confirmed.Sub(previous).Milliseconds())
	}
}

// registrationHeartbeats is the number of heartbeats after which the store removes a
// registration that is not renewed.
const registrationHeartbeats = 3

// storeRestored prepares for the first list of a store that was restored from an older
// copy: registrations that it has lost are retained until they are written again, and
// servers that had left are hidden until their old entries have expired.
func (f *Follower) storeRestored(now time.Time) {
	f.mu.Lock()
	f.expired.RecordRestore(now)
	f.departures.RecordRestore(now, registrationHeartbeats*f.config.Settings.Bounds.HeartbeatInterval)
	until := f.departures.HiddenUntil()
	f.mu.Unlock()
	f.config.Scheduler.At(until, f.rebuildFleet)
}

// serversChanged rebuilds the fleet. Servers that may have expired during an outage
// of the store are retained until they have had time to register again.
func (f *Follower) serversChanged(now time.Time, entries, removed map[string]planner.Server) {
	f.mu.Lock()
	for name, s := range removed {
		if retained := f.expired.RecordRemoval(now, name, s); !retained {
			f.departures.RecordDeparture(now, s.Key())
		}
	}
	for name := range entries {
		f.expired.RecordReregistration(name)
	}
	until := f.expired.RetainedUntil()
	rebuildLater := !until.IsZero() && !until.Equal(f.retainUntil)
	f.retainUntil = until
	f.mu.Unlock()
	f.rebuildFleet(now)
	if rebuildLater {
		f.config.Scheduler.At(until, f.rebuildFleet)
	}
}

// rebuildFleet publishes the fleet of the current list of servers.
func (f *Follower) rebuildFleet(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	// The list is read under mu: with one read earlier, a rebuild that was overtaken by
	// another would publish an older fleet.
	f.servers.mu.Lock()
	entries := f.servers.entries
	position := f.servers.position
	f.servers.mu.Unlock()
	retained := f.expired.Retained(now)
	list := make([]planner.Server, 0, len(entries)+len(retained))
	draining, hidden := 0, 0
	for _, s := range entries {
		switch {
		case s.Draining:
			draining++
			f.departures.RecordDeparture(now, s.Key())
		case f.departures.IsHidden(now, s.Key()):
			hidden++
			continue
		default:
			f.departures.RecordPresence(now, s.Key())
		}
		list = append(list, s)
	}
	for _, s := range retained {
		if !f.departures.IsHidden(now, s.Key()) {
			list = append(list, s)
		}
	}
	next := *f.state.Load()
	next.Fleet = planner.NewFleet(list, f.config.Settings.Regions)
	klog.InfoS("servers changed", "era", position.Era, "revision", position.Revision, "ready", next.Fleet.Size(), "draining", draining, "heldAfterOutage", len(retained), "hiddenAfterRestore", hidden)
	f.publish(&next)
}

// updateDaemonCount updates the maximum of live daemons and publishes it if changed.
func (f *Follower) updateDaemonCount(now time.Time, live int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if live >= f.peakDaemons || now.Sub(f.peakAt) > peakWindow {
		f.peakDaemons, f.peakAt = live, now
	}
	next := *f.state.Load()
	if next.Daemons == f.peakDaemons {
		return
	}
	klog.InfoS("daemons alive", "live", live, "sharing", f.peakDaemons)
	next.Daemons = f.peakDaemons
	f.publish(&next)
}

// recordPeer records that the daemon with the given address has been heard from.
func (f *Follower) recordPeer(now time.Time, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from == f.address || !f.heardAt.IsZero() {
		return
	}
	klog.InfoS("heard from another daemon for the first time", "peer", from)
	f.heardAt = now
	f.config.Scheduler.At(now.Add(joinPeriod), f.completeJoin)
}

// completeJoin publishes that this daemon has joined the others.
func (f *Follower) completeJoin(time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.state.Load()
	next.Joined = true
	f.publish(&next)
}

// publish makes a state the current one. The caller holds mu.
func (f *Follower) publish(next *State) {
	f.state.Store(next)
	if next.Ready() {
		f.readyOnce.Do(func() { close(f.ready) })
	}
	f.config.OnChange(next)
}
