package planner

import (
	"slices"
	"strings"
	"time"
)

// Configuration is one version of everything that an operator declares about
// routes. It is a value: readers share it and nobody changes it.
type Configuration struct {
	// Version orders configurations; the greater one is the later.
	Version uint64 `json:"version"`
	// Routes are in no order; Compile sorts them for matching.
	Routes []Route `json:"routes"`
	// Services maps each backend service to how its servers are reached.
	Services map[string]Service `json:"services"`
	Limits   Limits             `json:"limits"`
}

// Service is how the servers of one backend service are reached.
type Service struct {
	HealthPath string `json:"healthPath"`
	// MaxConnections is how many connections one server takes from all callers together.
	MaxConnections int `json:"maxConnections"`
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int           `json:"headerBytes"`
	BodyBytes     int64         `json:"bodyBytes"`
	HeaderTimeout time.Duration `json:"headerTimeout"`
	IdleTimeout   time.Duration `json:"idleTimeout"`
}

// Route tells what becomes of the requests on one host below one path prefix.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash.
	PathPrefix string `json:"pathPrefix"`
	// Idempotent requests may run more than once.
	Idempotent bool `json:"idempotent"`
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration `json:"timeout"`
	// Objective is the time within which an answer has its full worth.
	Objective time.Duration `json:"objective"`
	// Rank is 0 for the most urgent requests.
	Rank int `json:"rank"`
	// MaxSearchers is how many searchers one request may be sent to, for each shard.
	MaxSearchers int `json:"maxSearchers"`
	// Backends share the requests by weight; a route has either these or Shards.
	Backends []Backend `json:"backends,omitempty"`
	// Shards are the services that each hold a part of the index.
	Shards []string `json:"shards,omitempty"`
	// TopK is how many records an answer holds.
	TopK int `json:"topK,omitempty"`
	// MinCoverage is the share of the shards that an answer needs, from 0 to 1.
	MinCoverage float64 `json:"minCoverage,omitempty"`
}

// Backend is one service of a route and its share of the requests.
type Backend struct {
	Service string `json:"service"`
	// Weight is above 0 where the service takes requests.
	Weight float64 `json:"weight"`
}

// IsScatterGather reports whether a request goes to a searcher of each shard.
func (r Route) IsScatterGather() bool { return len(r.Shards) > 0 }

// NeededShards is how many shards an answer must have.
func (r Route) NeededShards() int {
	n := len(r.Shards)
	for needed := 1; needed < n; needed++ {
		if float64(needed) >= r.MinCoverage*float64(n)-coverageSlack {
			return needed
		}
	}
	return n
}

// coverageSlack absorbs the rounding of a share of a whole number.
const coverageSlack = 1e-9

// Backend returns the service at a point between 0 and 1 of the weights.
func (r Route) Backend(point float64) string {
	total := 0.0
	for _, b := range r.Backends {
		total += max(0, b.Weight)
	}
	at := point * total
	last := ""
	for _, b := range r.Backends {
		if b.Weight <= 0 {
			continue
		}
		last = b.Service
		if at -= b.Weight; at < 0 {
			break
		}
	}
	return last
}

// Table finds the route of a request. It is immutable.
type Table struct {
	configuration Configuration
	// byHost holds each host's routes, the longest prefix first.
	byHost map[string][]*Route
}

// Compile makes the table of a configuration.
func Compile(c Configuration) *Table {
	t := &Table{configuration: c, byHost: map[string][]*Route{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return t
}

// Configuration returns what the table was made from.
func (t *Table) Configuration() Configuration { return t.configuration }

// Match returns the route with the longest prefix of the path; a port in the
// host is not part of its name.
func (t *Table) Match(host, path string) (*Route, bool) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}
