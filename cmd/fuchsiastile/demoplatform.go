package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

const (
	// platformQueries is the number of queries that the demo of the users'
	// platform sends.
	platformQueries = 60
	// platformQueryTimeout is the timeout of each of these queries.
	platformQueryTimeout = 2 * time.Second
)

// queryPlatform runs real daemons on an emulation of the users' platform, sends
// queries and reports whether every answer had full coverage.
func queryPlatform(ctx context.Context) (bool, error) {
	directory, err := os.MkdirTemp("", "fuchsiastile-demo-")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	tier, err := stager.NewTier(ctx, stager.TierConfig{
		Domains: []string{"a", "b", "c"}, DaemonsPerDomain: 1, Shards: 10, SingleSearchersPerDomain: 2, ServiceTime: 4 * time.Millisecond, SettingsDirectory: directory,
	})
	if err != nil {
		return false, err
	}
	defer tier.Close()
	full, slowest := 0, time.Duration(0)
	for n := range platformQueries {
		reply, err := tier.Send(ctx, tier.Daemons[n%len(tier.Daemons)], http.MethodGet, stager.ScatterGatherPath+"demo", fmt.Sprintf("demo-%d", n), platformQueryTimeout, nil)
		if err != nil {
			return false, err
		}
		if reply.Status == http.StatusOK && platform.ParseCoverage(reply.Header).Missing == 0 {
			full++
		}
		slowest = max(slowest, reply.Latency)
	}
	fmt.Printf("%d queries over %d shards through %d daemons: %d with full coverage, slowest %v\n",
		platformQueries, tier.Config.Shards, len(tier.Daemons), full, slowest.Round(time.Millisecond))
	return full == platformQueries, nil
}
