package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Server is one backend server as registered with the platform.
type Server struct {
	// Instance identifies one process. An address may be reused by another process.
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	// FailureDomain is the failure domain that the server runs in.
	FailureDomain string `json:"failureDomain"`
	// Slots is the number of requests that the server processes concurrently.
	Slots int `json:"slots"`
	// Draining is true if the server accepts no new requests.
	Draining bool `json:"draining"`
	// Born is the server's start time in Unix milliseconds by its own clock. It
	// changes when the server restarts under the same Instance.
	Born int64 `json:"born"`
	// WarmUp is the remaining warm-up time at registration, during which the
	// server is slow.
	WarmUp time.Duration `json:"warmUp"`
}

// Key identifies the server's process; it is the Key of its Searcher.
func (s Server) Key() string {
	return Searcher{Instance: s.Instance, Address: s.Address, Born: s.Born}.Key()
}

// Fleet is the immutable set of servers that accept requests, by service.
type Fleet struct {
	byService map[string][]Searcher
	keys      map[string]bool
	size      int
}

// NewFleet groups servers by service and leaves out draining ones. Regions maps
// each failure domain to its region.
func NewFleet(servers []Server, regions map[string]string) *Fleet {
	f := &Fleet{byService: map[string][]Searcher{}, keys: map[string]bool{}}
	for _, s := range servers {
		if s.Draining {
			continue
		}
		searcher := Searcher{
			Address:       s.Address,
			Instance:      s.Instance,
			Born:          s.Born,
			Slots:         s.Slots,
			WarmUp:        s.WarmUp,
			FailureDomain: s.FailureDomain,
			Region:        regions[s.FailureDomain],
		}
		f.byService[s.Service] = append(f.byService[s.Service], searcher)
		f.keys[searcher.Key()] = true
		f.size++
	}
	for _, list := range f.byService {
		slices.SortFunc(list, func(a, b Searcher) int { return cmp.Compare(a.Instance, b.Instance) })
	}
	return f
}

// Searchers returns the servers of a service that accept requests.
func (f *Fleet) Searchers(service string) []Searcher { return f.byService[service] }

// Services returns the names of the services that have servers, sorted.
func (f *Fleet) Services() []string { return slices.Sorted(maps.Keys(f.byService)) }

// Keys returns the set of keys of the servers that accept requests.
func (f *Fleet) Keys() map[string]bool { return f.keys }

// Size returns the number of servers that accept requests.
func (f *Fleet) Size() int { return f.size }
