package emulator

import (
	"fmt"
	"net"
	"net/http"

	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// Domain is one failure domain of a site.
type Domain struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Daemons int    `json:"daemons"`
}

// Workload is one search service and the shape of its searchers.
type Workload struct {
	Service              string  `json:"service"`
	Shards               int     `json:"shards"`
	Replicas             int     `json:"replicas"`
	Slots                int     `json:"slots"`
	ConnectionLimit      int     `json:"connectionLimit"`
	ConnectionCostMillis float64 `json:"connectionCostMillis"`
	ServiceMillis        float64 `json:"serviceMillis"`
}

// Site is a deployment: its failure domains and workloads.
type Site struct {
	Domains   []Domain   `json:"domains"`
	Workloads []Workload `json:"workloads"`
}

// RunningSearcher is one searcher of a site that listens.
type RunningSearcher struct {
	*Searcher
	VM    declarer.VM
	Shard string
}

// RunningSite is a site with its platform and searchers running in this process.
type RunningSite struct {
	Site      Site
	Platform  *Platform
	Searchers []RunningSearcher

	PlatformURL string
	server      *http.Server
}

// InitialSnapshot is the snapshot that a new site serves.
const InitialSnapshot = "v1"

// ShardName returns the name of a shard by its number.
func ShardName(n int) string { return fmt.Sprintf("s%03d", n) }

// StartSite starts the platform and the searchers of a site.
func StartSite(site Site) (*RunningSite, error) {
	s := &RunningSite{Site: site, Platform: NewPlatform()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.PlatformURL = "http://" + l.Addr().String()
	s.server = &http.Server{Handler: s.Platform.Handler()}
	go func() { _ = s.server.Serve(l) }()
	for _, w := range site.Workloads {
		if err := s.startWorkload(w); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

func (s *RunningSite) startWorkload(w Workload) error {
	for shard := range w.Shards {
		for replica := range w.Replicas {
			domain := s.Site.Domains[(shard+replica)%len(s.Site.Domains)]
			if err := s.startSearcher(w, domain, shard, replica); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *RunningSite) startSearcher(w Workload, domain Domain, shard, replica int) error {
	name := fmt.Sprintf("%s-%d-%d", w.Service, shard, replica)
	searcher := NewSearcher(SearcherConfig{
		Name:                 name,
		Slots:                w.Slots,
		QueueLimit:           4 * w.Slots,
		ConnectionLimit:      w.ConnectionLimit,
		ConnectionCostMillis: w.ConnectionCostMillis,
		ServiceMillis:        w.ServiceMillis,
		Holdings:             map[string][]string{InitialSnapshot: {ShardName(shard)}},
		Seed:                 uint64(len(s.Searchers)) + 1,
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = searcher.Serve(l) }()
	vm := declarer.VM{
		Name:          name,
		Address:       l.Addr().String(),
		FailureDomain: domain.Name,
		Region:        domain.Region,
		State:         declarer.VMLive,
		Labels:        map[string]string{"app": w.Service, "shard": ShardName(shard)},
	}
	s.Searchers = append(s.Searchers, RunningSearcher{Searcher: searcher, VM: vm, Shard: ShardName(shard)})
	s.Platform.SetVM(vm)
	return nil
}

// Indexes returns the first snapshot of every service.
func (s *RunningSite) Indexes() declarer.Indexes {
	out := declarer.Indexes{Services: map[string]declarer.Snapshot{}}
	for _, w := range s.Site.Workloads {
		out.Services[w.Service] = snapshotOf(InitialSnapshot, w.Shards)
	}
	return out
}

func snapshotOf(name string, shards int) declarer.Snapshot {
	snapshot := declarer.Snapshot{Name: name}
	for shard := range shards {
		snapshot.Shards = append(snapshot.Shards, declarer.ShardPlacement{
			Name:     ShardName(shard),
			Selector: "shard=" + ShardName(shard),
		})
	}
	return snapshot
}

// SearchersOf returns the searchers of a service.
func (s *RunningSite) SearchersOf(service string) []RunningSearcher {
	var out []RunningSearcher
	for _, r := range s.Searchers {
		if r.VM.Labels["app"] == service {
			out = append(out, r)
		}
	}
	return out
}

// Close stops everything.
func (s *RunningSite) Close() {
	_ = s.server.Close()
	for _, r := range s.Searchers {
		r.Close()
	}
}
