package stager_test

import (
	"net"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// seedCount is the number of seeds in the settings of a tier: its first daemons.
const seedCount = 3

// newTierWithoutSeeds starts a tier and kills the seeds for good. It returns the tier and the
// numbers of the daemons that remain.
func newTierWithoutSeeds(t *testing.T, daemonsPerDomain int) (tier *stager.Tier, remaining []int) {
	t.Helper()
	is := is.New(t)
	tier = newTier(t, func(c *stager.TierConfig) { c.DaemonsPerDomain = daemonsPerDomain })
	all := make([]int, len(tier.Daemons))
	for n := range all {
		all[n] = n
	}
	awaitMembership(t, tier, all)
	for n := range tier.Daemons {
		if n >= seedCount {
			remaining = append(remaining, n)
			continue
		}
		tier.Daemons[n].Kill()
		is.NoErr(<-tier.Daemons[n].RunErr)
	}
	return tier, remaining
}

// withoutDiscovery keeps daemons from finding each other through the store.
func withoutDiscovery(tier *stager.Tier) { tier.Store.SetFaults(emulator.StoreFaults{ReadOnly: true}) }

// awaitMembership waits until each of the daemons knows that exactly these are alive.
func awaitMembership(t *testing.T, tier *stager.Tier, daemons []int) {
	t.Helper()
	var want []string
	for _, n := range daemons {
		s := tier.Daemons[n].Settings
		want = append(want, net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPorts[0])))
	}
	slices.Sort(want)
	eventually(t, "the daemons know each other", func() bool {
		for _, n := range daemons {
			if !slices.Equal(tier.Daemons[n].LiveDaemons(), want) {
				return false
			}
		}
		return true
	})
}

// TestTierFindsRestartedDaemonsWithoutSeeds guards against daemons that are restarted in
// turn while the seeds are gone, and each stay alone and take the whole of what all share.
func TestTierFindsRestartedDaemonsWithoutSeeds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tier, remaining := newTierWithoutSeeds(t, 2)
	withoutDiscovery(tier)
	for _, n := range remaining {
		tier.Daemons[n].Stop()
		is.NoErr(<-tier.Daemons[n].RunErr)
		_, err := tier.StartDaemon(n, false)
		is.NoErr(err)
		eventually(t, "the daemon is ready", tier.Daemons[n].IsReady)
		time.Sleep(time.Second)
	}
	awaitMembership(t, tier, remaining)
}

// restartAtOnce kills daemons at the same time and starts them again.
func restartAtOnce(t *testing.T, tier *stager.Tier, daemons []int) {
	t.Helper()
	is := is.New(t)
	for _, n := range daemons {
		tier.Daemons[n].Kill()
		is.NoErr(<-tier.Daemons[n].RunErr)
	}
	for _, n := range daemons {
		_, err := tier.StartDaemon(n, false)
		is.NoErr(err)
	}
	for _, n := range daemons {
		eventually(t, "the daemon is ready", tier.Daemons[n].IsReady)
	}
}

// TestTierFollowsChangedSeeds guards against daemons that go on asking the seeds of the
// settings with which they started: killed at once, none knows another that is alive.
func TestTierFollowsChangedSeeds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tier, remaining := newTierWithoutSeeds(t, 2)
	withoutDiscovery(tier)
	restartAtOnce(t, tier, remaining)
	for _, n := range remaining {
		next := tier.Daemons[n].Settings
		next.Seeds = []string{tier.Daemons[remaining[0]].Settings.IP}
		data, err := platform.EncodeSettings(next)
		is.NoErr(err)
		is.NoErr(os.WriteFile(tier.Daemons[n].SettingsFile, data, 0o600))
		tier.Daemons[n].Reload()
	}
	awaitMembership(t, tier, remaining)
}

// TestTierFindsDaemonsInTheStore guards against daemons that are killed at once while the
// seeds are gone, and each stay alone; a daemon that starts later must find them, too.
func TestTierFindsDaemonsInTheStore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tier, remaining := newTierWithoutSeeds(t, 3)
	last := remaining[len(remaining)-1]
	tier.Daemons[last].Kill()
	is.NoErr(<-tier.Daemons[last].RunErr)
	remaining = remaining[:len(remaining)-1]
	restartAtOnce(t, tier, remaining)
	awaitMembership(t, tier, remaining)
	_, err := tier.StartDaemon(last, false)
	is.NoErr(err)
	awaitMembership(t, tier, append(remaining, last))
}

// TestTierFindsNewDaemonsWithoutSeeds guards against a daemon on a new VM that stays alone
// because the seeds are gone: those that know each other have no reason to look for it.
func TestTierFindsNewDaemonsWithoutSeeds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tier, remaining := newTierWithoutSeeds(t, 2)
	awaitMembership(t, tier, remaining)
	added := len(tier.Daemons)
	_, err := tier.StartDaemon(added, false)
	is.NoErr(err)
	awaitMembership(t, tier, append(remaining, added))
}
