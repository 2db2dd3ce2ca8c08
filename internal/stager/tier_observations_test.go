package stager_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
)

const (
	// observers is the number of daemons of failure domain a that meet the refusing
	// searcher; one more never does.
	observers = 4
	// minRefusals is how many refusals the observers must have met together, so that
	// their failure domain can be certain of them on a machine of any speed.
	minRefusals = 10
	// reportTime covers two intervals of reports and summaries.
	reportTime = time.Second
)

// TestTierSharesObservations covers a tier with too many daemons for each of them to
// keep a connection to every replica. The nearest searcher of a shard refuses all
// requests of some daemons; another daemon of their failure domain, which has never met
// that searcher, must send its first query elsewhere.
func TestTierSharesObservations(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tier := newTier(t, func(c *stager.TierConfig) { c.DaemonsPerDomain = observers + 1 })
	c := tier.InitialConfiguration()
	c.Version++
	for name, service := range c.Services {
		service.MaxConnections = 4
		c.Services[name] = service
	}
	tier.Apply(c)
	refusing := backendsOf(tier, stager.ShardServiceName(1))[0]
	is.Equal(refusing.Server.FailureDomain, "a")
	// Every third daemon is in failure domain a.
	stop := runWorkers(observers, func(worker, _ int) {
		sendRequest(t, tier, 3*worker, stager.ScatterGatherPath+"x")
		time.Sleep(50 * time.Millisecond)
	})
	time.Sleep(5 * time.Second)
	refusing.SetFaults(emulator.BackendFaults{Shed: true})
	before := len(refusing.Stats().Arrivals)
	eventually(t, "the observers have met enough refusals", func() bool { return len(refusing.Stats().Arrivals) >= before+minRefusals })
	time.Sleep(reportTime)
	stop()
	id, reply := sendRequest(t, tier, 3*observers, stager.ScatterGatherPath+"x")
	checkScatterGather(t, tier, id, reply, 0)
	is.Equal(refusing.Stats().Arrivals[id], 0)
}
