package responder

import (
	"math/rand/v2"
	"testing"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/follower"
	"github.com/fuchsiastile/fuchsiastile/internal/picker"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/internal/reporter"
)

// largeTierState returns the state of a tier in which a daemon uses one of the three
// replicas of a shard.
func largeTierState() *follower.State {
	var servers []planner.Server
	for _, name := range []string{"a", "b", "c"} {
		servers = append(servers, planner.Server{Instance: name, Service: "shard", Address: "192.0.2.1:9100", FailureDomain: name})
	}
	configuration := planner.Configuration{Version: 1, Services: map[string]planner.Service{"shard": {MaxConnections: 100}}}
	return &follower.State{Table: planner.Compile(configuration), Fleet: planner.NewFleet(servers, nil), Daemons: 100}
}

// TestNewCollectorSendsNoOldReports covers a daemon that got reports while it was not a
// collector, as peers with another view of the membership send them. When it becomes
// one, its first summary must not hold them as if they were new.
func TestNewCollectorSendsNoOldReports(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	state, isCollector := largeTierState(), false
	var sent []reporter.Summary
	r := &Responder{
		reporter: reporter.New(),
		picker:   picker.New(picker.Config{Direct: true, Rand: rand.New(rand.NewPCG(1, 1))}),
		config: Config{
			State:       func() *follower.State { return state },
			SendReport:  func([]reporter.Observation) bool { return isCollector },
			SendSummary: func(s reporter.Summary) { sent = append(sent, s) },
			Metrics:     NewMetrics(vm.NewSet()),
		},
	}
	failed := []reporter.Observation{{Searcher: reporter.Hash(state.Fleet.Searchers("shard")[0].Key()), Failed: 1}}
	for _, sender := range []string{"x", "y"} {
		r.CollectReport(sender, failed)
	}
	now := time.Now()
	r.shareObservations(now)
	isCollector = true
	r.shareObservations(now.Add(reportInterval))
	is.Equal(len(sent), 1)
	is.Equal(len(sent[0].Searchers), 0)

	for _, sender := range []string{"x", "y"} {
		r.CollectReport(sender, failed)
	}
	r.shareObservations(now.Add(2 * reportInterval))
	is.Equal(len(sent[1].Searchers), 1)
}
