package follower

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/planner"
)

// peakTime is how long the greatest number of live daemons counts. What daemons
// share is split among that many, since one that is only held dead, or cut off
// with others from this one, still uses its part; cuts last up to half of this.
const peakTime = 45 * time.Second

// configurationChanged puts a newer configuration in force.
func (f *Follower) configurationChanged(now time.Time, entries, _ map[string]planner.Configuration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.state.Load()
	for _, c := range entries {
		if old.Table != nil && c.Version <= old.Table.Configuration().Version {
			klog.InfoS("configuration not taken", "version", c.Version, "inForce", old.Table.Configuration().Version)
			continue
		}
		klog.InfoS("configuration in force", "version", c.Version, "routes", len(c.Routes), "services", len(c.Services))
		next := *old
		next.Table = planner.Compile(c)
		f.publish(&next)
	}
}

// storeReturned takes note of an outage's end.
func (f *Follower) storeReturned(now, before time.Time) {
	confirmed := now
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lapses.RecordConfirmation(f.config.Settings.Bounds.DrainNotice, before, confirmed) {
		klog.InfoS("store confirmed again after an outage", "outageMillis", confirmed.Sub(before).Milliseconds())
	}
}

// serversChanged makes the fleet anew.
func (f *Follower) serversChanged(now time.Time, entries, dropped map[string]planner.Server) {
	f.mu.Lock()
	for name, s := range dropped {
		f.lapses.RecordRemoval(now, name, s)
	}
	for name := range entries {
		f.lapses.RecordReregistration(name)
	}
	until := f.lapses.RetainedUntil()
	again := !until.IsZero() && !until.Equal(f.heldUntil)
	f.heldUntil = until
	f.mu.Unlock()
	f.makeFleet(now)
	if again {
		f.config.Scheduler.At(until, f.makeFleet)
	}
}

func (f *Follower) makeFleet(now time.Time) {
	f.servers.mu.Lock()
	entries := f.servers.entries
	generation := f.servers.generation
	f.servers.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	held := f.lapses.Retained(now)
	list := make([]planner.Server, 0, len(entries)+len(held))
	draining := 0
	for _, s := range entries {
		list = append(list, s)
		if s.Draining {
			draining++
		}
	}
	for _, s := range held {
		list = append(list, s)
	}
	next := *f.state.Load()
	next.Fleet = planner.NewFleet(list, f.config.Settings.Regions)
	klog.InfoS("servers changed", "revision", generation, "ready", next.Fleet.Size(), "draining", draining, "heldAfterOutage", len(held))
	f.publish(&next)
}

// remake updates what depends on the number of live daemons.
func (f *Follower) remake(now time.Time, live int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if live >= f.peak || now.Sub(f.peakAt) > peakTime {
		f.peak, f.peakAt = live, now
	}
	next := *f.state.Load()
	if next.Daemons == f.peak {
		return
	}
	klog.InfoS("daemons alive", "live", live, "sharing", f.peak)
	next.Daemons = f.peak
	f.publish(&next)
}

// publish makes a state the current one; mu is held.
func (f *Follower) publish(next *State) {
	f.state.Store(next)
	if next.Ready() {
		f.readyOnce.Do(func() { close(f.ready) })
	}
	f.config.OnChange(next)
}
