package stager

import (
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// Register stores the registration of a searcher.
func (t *Tier) Register(server planner.Server) {
	spec, err := platform.EncodeServer(server, 1)
	if err != nil {
		panic(err)
	}
	t.Store.Put(platform.ObjectKindServer, server.Instance, spec)
}

// Publish registers all searchers and stores InitialConfiguration.
func (t *Tier) Publish() {
	for _, b := range t.Backends {
		t.Register(b.Server)
	}
	t.Apply(t.InitialConfiguration())
}

// InitialConfiguration returns a configuration with one scatter-gather route, one
// non-idempotent and one idempotent route to single searchers.
func (t *Tier) InitialConfiguration() planner.Configuration {
	var shards []string
	services := map[string]planner.Service{singles: {HealthPath: "/health", MaxConnections: 250}}
	for n := range t.Config.Shards {
		shards = append(shards, ShardServiceName(n))
		services[ShardServiceName(n)] = planner.Service{HealthPath: "/health", MaxConnections: 92}
	}
	single := func(name, path string, idempotent bool) planner.Route {
		return planner.Route{
			Name: name, Host: TierHost, PathPrefix: path, Idempotent: idempotent, Timeout: tierRouteTimeout, Objective: time.Second,
			Rank: 2, MaxSearchers: 2, Backends: []planner.Backend{{Service: singles, Weight: 1}},
		}
	}
	return planner.Configuration{
		Version: 7,
		Routes: []planner.Route{
			{
				Name: "gather", Host: TierHost, PathPrefix: ScatterGatherPath, Idempotent: true, Timeout: tierRouteTimeout,
				Objective: 250 * time.Millisecond, Rank: 1, MaxSearchers: 2, Shards: shards, TopK: TopK, MinCoverage: 0.75,
			},
			single("once", AtMostOncePath, false),
			single("single", SinglePath, true),
		},
		Services: services,
		Limits:   planner.Limits{HeaderBytes: 16384, BodyBytes: 262144, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// Apply stores a configuration and records it in StoredConfiguration.
func (t *Tier) Apply(c planner.Configuration) {
	spec, err := platform.EncodeConfiguration(c)
	if err != nil {
		panic(err)
	}
	t.StoredConfiguration = c
	t.Store.Put(platform.ObjectKindConfiguration, platform.ConfigurationObjectName, spec)
}

// StoreAddress returns the address at which daemons reach the store.
func (t *Tier) StoreAddress() string { return t.storeAddress }

// SetStoreAddress sets the store address in the settings of daemons started later,
// for example to that of a proxy.
func (t *Tier) SetStoreAddress(address string) { t.storeAddress = address }
