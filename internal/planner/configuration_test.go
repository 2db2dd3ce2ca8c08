package planner_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/planner"
)

func TestMatchPrefersLongestPathPrefix(t *testing.T) {
	is := is.New(t)
	table := planner.Compile(planner.Configuration{Routes: []planner.Route{
		{Name: "all", Host: "H.example", PathPrefix: "/"},
		{Name: "a", Host: "h.example", PathPrefix: "/a/"},
		{Name: "ab", Host: "h.example", PathPrefix: "/a/b/"},
		{Name: "other", Host: "g.example", PathPrefix: "/a/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"h.example", "/a/b/c", "ab"},
		{"h.example", "/a/b", "a"},
		{"h.example:80", "/a/", "a"},
		{"H.EXAMPLE", "/ab/", "all"},
		{"g.example", "/a/b/", "other"},
		{"g.example", "/", ""},
		{"nowhere", "/a/", ""},
	} {
		route, ok := table.Match(c.host, c.path)
		is.Equal(ok, c.want != "")
		if ok {
			is.Equal(route.Name, c.want)
		}
	}
}

func TestBackendFollowsWeights(t *testing.T) {
	is := is.New(t)
	r := planner.Route{Backends: []planner.Backend{{Service: "a", Weight: 3}, {Service: "none", Weight: 0}, {Service: "b", Weight: 1}}}
	counts := map[string]int{}
	for n := range 1000 {
		counts[r.Backend(float64(n)/1000)]++
	}
	is.Equal(counts, map[string]int{"a": 750, "b": 250})
	is.Equal(r.Backend(0.9999999999999999), "b")
	is.Equal(planner.Route{}.Backend(0.5), "")
}

func TestNeededShardsRoundsUp(t *testing.T) {
	is := is.New(t)
	shards := make([]string, 10)
	for minCoverage, want := range map[float64]int{0.89: 9, 0.75: 8, 1: 10, 0.7: 7, 0.9: 9, 0: 1} {
		is.Equal(planner.Route{Shards: shards, MinCoverage: minCoverage}.RequiredShards(), want)
	}
	is.Equal(planner.Route{Shards: shards[:1], MinCoverage: 0.1}.RequiredShards(), 1)
}

func TestFleetExcludesDrainingServers(t *testing.T) {
	is := is.New(t)
	f := planner.NewFleet([]planner.Server{
		{Instance: "b", Service: "s", Address: "2", FailureDomain: "a"},
		{Instance: "a", Service: "s", Address: "1", FailureDomain: "a"},
		{Instance: "c", Service: "s", Address: "3", Draining: true},
	}, map[string]string{"a": "r"})
	is.Equal(f.Size(), 2)
	list := f.Searchers("s")
	is.Equal(list[0].Instance, "a")
	is.Equal(list[0].Region, "r")
	is.True(f.Keys()[list[1].Key()])
}
