package planner

import (
	"slices"
	"strings"
	"time"
)

// Configuration is one version of an operator's route declarations. It is shared
// between readers and must not be modified.
type Configuration struct {
	// Version orders configurations. The higher version is the newer one.
	Version uint64 `json:"version"`
	// Routes are unordered. Compile sorts them for matching.
	Routes []Route `json:"routes"`
	// Services maps the name of each backend service to its settings.
	Services map[string]Service `json:"services"`
	Limits   Limits             `json:"limits"`
}

// Service holds the settings for the servers of one backend service.
type Service struct {
	HealthPath string `json:"healthPath"`
	// MaxConnections is how many connections one server accepts from all callers together.
	MaxConnections int `json:"maxConnections"`
}

// Limits bounds the size and the duration of callers' requests.
type Limits struct {
	HeaderBytes   int           `json:"headerBytes"`
	BodyBytes     int64         `json:"bodyBytes"`
	HeaderTimeout time.Duration `json:"headerTimeout"`
	IdleTimeout   time.Duration `json:"idleTimeout"`
}

// Route defines how requests for one host and path prefix are served.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash.
	PathPrefix string `json:"pathPrefix"`
	// Idempotent requests may run more than once.
	Idempotent bool `json:"idempotent"`
	// Timeout is the maximum time a request may take.
	Timeout time.Duration `json:"timeout"`
	// Objective is the latency objective: an answer within it has its full value.
	Objective time.Duration `json:"objective"`
	// Rank is the priority of the requests; 0 is the highest.
	Rank int `json:"rank"`
	// MaxSearchers is the maximum number of searchers per shard that a request
	// may be sent to.
	MaxSearchers int `json:"maxSearchers"`
	// Backends receive the requests in proportion to their weights. A route has
	// either Backends or Shards.
	Backends []Backend `json:"backends,omitempty"`
	// Shards names the services that each hold one shard of the index.
	Shards []string `json:"shards,omitempty"`
	// TopK is the maximum number of records in an answer.
	TopK int `json:"topK,omitempty"`
	// MinCoverage is the fraction of the shards that an answer requires, from 0 to 1.
	MinCoverage float64 `json:"minCoverage,omitempty"`
}

// Backend is one service of a route and its weight.
type Backend struct {
	Service string `json:"service"`
	// Weight is the service's share relative to the other weights of the route.
	// A service with a weight of 0 or less receives no requests.
	Weight float64 `json:"weight"`
}

// IsScatterGather reports whether a request is sent to a searcher of every shard.
func (r Route) IsScatterGather() bool { return len(r.Shards) > 0 }

// RequiredShards returns the number of shards that an answer must contain.
func (r Route) RequiredShards() int {
	n := len(r.Shards)
	for needed := 1; needed < n; needed++ {
		if float64(needed) >= r.MinCoverage*float64(n)-coverageTolerance {
			return needed
		}
	}
	return n
}

// coverageTolerance absorbs floating-point rounding in the product of
// MinCoverage and the number of shards.
const coverageTolerance = 1e-9

// Backend returns the service at a point, from 0 to 1, of the cumulative weights.
func (r Route) Backend(point float64) string {
	total := 0.0
	for _, b := range r.Backends {
		total += max(0, b.Weight)
	}
	remaining := point * total
	last := ""
	for _, b := range r.Backends {
		if b.Weight <= 0 {
			continue
		}
		last = b.Service
		if remaining -= b.Weight; remaining < 0 {
			break
		}
	}
	return last
}

// Table is an immutable routing table.
type Table struct {
	configuration Configuration
	// routesByHost maps each host to its routes, longest path prefix first.
	routesByHost map[string][]*Route
}

// Compile builds the routing table of a configuration.
func Compile(c Configuration) *Table {
	t := &Table{configuration: c, routesByHost: map[string][]*Route{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return t
}

// Configuration returns the configuration that the table was compiled from.
func (t *Table) Configuration() Configuration { return t.configuration }

// Match returns the route with the longest prefix of the path. A port in the
// host is ignored.
func (t *Table) Match(host, path string) (*Route, bool) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}
