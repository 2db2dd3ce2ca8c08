package follower

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/assigner"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/scheduler"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

const (
	// discoveryDelay is the time after the start in which the seeds and the daemons that
	// know this one are left to find it.
	discoveryDelay = 3 * time.Second
	// discoveryInterval is the time between two looks into the store by a daemon that knows
	// no other; it doubles up to maxDiscoveryInterval.
	discoveryInterval    = 2 * time.Second
	maxDiscoveryInterval = 16 * time.Second
	// registrationInterval is how often a registration is written again, since a store that
	// is restored from an older copy loses it.
	registrationInterval = time.Minute
	// maxDiscovered is the number of registered daemons, chosen at random, that one look
	// adds to the membership. The others are learned from these; registrations of VMs that
	// are gone stay in the store.
	maxDiscovered = 16
)

// discoverInStore finds other daemons through the store while no seed is alive. A daemon
// that knows no other registers there and asks those that did. Of daemons that know each
// other the first registers, so that one that starts finds them. What is registered is a
// hint: whether a daemon is alive is for the membership protocol to tell.
func (f *Follower) discoverInStore(ctx context.Context) {
	scheduler.Sleep(ctx, discoveryDelay)
	interval, registeredAt := discoveryInterval, time.Time{}
	for ctx.Err() == nil {
		isAlone, isFirst := f.discoveryRole()
		if (isAlone || isFirst) && time.Since(registeredAt) >= registrationInterval {
			if err := platform.RegisterDaemon(ctx, f.store, f.config.Settings.Name, f.address); err != nil {
				klog.InfoS("failed to register in the store", "cause", err.Error())
			} else {
				klog.InfoS("registered in the store, since no seed is alive", "alone", isAlone)
				registeredAt = time.Now()
			}
		}
		if !isAlone {
			interval = discoveryInterval
			scheduler.Sleep(ctx, discoveryInterval)
			continue
		}
		f.seedFromStore(ctx)
		scheduler.Sleep(ctx, interval/2+rand.N(interval))
		interval = min(2*interval, maxDiscoveryInterval)
	}
}

// discoveryRole reports whether this daemon knows no other that is alive, and whether it is
// the first of several that know of no seed that is alive.
func (f *Follower) discoveryRole() (isAlone, isFirst bool) {
	f.mu.Lock()
	heard := !f.heardAt.IsZero()
	f.mu.Unlock()
	live := addresses(f.gossip.Live(), nil)
	if f.leaving.Load() {
		return false, false
	}
	if !heard || len(live) == 1 {
		return true, false
	}
	for _, ip := range *f.seeds.Load() {
		if slices.Contains(live, f.peerAddress(ip)) {
			return false, false
		}
	}
	return false, assigner.TopRanked("discovery", live, 1)[0] == f.address
}

// seedFromStore adds the daemons that are registered in the store to the membership.
func (f *Follower) seedFromStore(ctx context.Context) {
	entries, _, err := platform.Daemons(f.store).List(ctx)
	if err != nil {
		klog.InfoS("failed to look for daemons in the store", "cause", err.Error())
		return
	}
	var found []*messenger.Member
	for _, e := range entries {
		if e.Err == nil && e.Value != f.address {
			found = append(found, &messenger.Member{Address: e.Value})
		}
	}
	klog.InfoS("looked for daemons in the store", "found", len(found))
	rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	f.gossip.Seed(found[:min(maxDiscovered, len(found))])
}
