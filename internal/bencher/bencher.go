// Package bencher benchmarks policies: it runs scenarios of load and faults on a
// complete simulated site in one process, once for each policy and baseline.
package bencher

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/fuchsiastile/fuchsiastile/examples"
	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/generator"
	"github.com/fuchsiastile/fuchsiastile/internal/loader"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/pkg/caller"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

const (
	// readyTimeout limits the time in which a site must become ready.
	readyTimeout = 30 * time.Second
	// warmUp is the duration of the load before the measurement, which opens
	// connections and fills latency histograms.
	warmUp = 2 * time.Second
	// serviceMillis is the median service time of a shard request.
	serviceMillis = 8
	// meanFactor is the ratio of the mean service time to its median.
	meanFactor = 1.063
	// outlierShare is the fraction of requests that take outlierFactor times as long.
	outlierShare  = 0.01
	outlierFactor = 10
	// stragglerFactor is the factor by which a straggling server is slower.
	stragglerFactor = 10
)

// Config configures a benchmark.
type Config struct {
	// Deployment is the name of the deployment, olwyn or sfax.
	Deployment string
	// Daemons is the number of daemons in each failure domain.
	Daemons int
	// MeasureTime is the duration of the measurement of each scenario.
	MeasureTime time.Duration
	// Seed is the random seed of arrival times.
	Seed uint64
	// Scenarios and Policies are the names of those to run; empty means all.
	Scenarios []string
	Policies  []string
}

// Row is the result for one request class in one scenario under one policy.
type Row struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	generator.Report
	// LoadFactor is the ratio of the shard requests that servers started to those
	// that were needed.
	LoadFactor float64 `json:"load"`
	// PeakConnectionShare is the largest fraction of its connection limit that any
	// server reached.
	PeakConnectionShare float64 `json:"peakConnectionShare"`
}

// deployment contains what differs between the deployments.
type deployment struct {
	site         func(daemons int) emulator.Site
	declarations []byte
	// service is the search service that is measured.
	service string
	class   string
	// quick is the class of the additional searches in mixed scenarios.
	quick string
	// once is the class of non-idempotent requests, which go to onceService.
	once        string
	onceService string
}

var deployments = map[string]deployment{
	"olwyn": {emulator.OlwynSite, examples.Olwyn, "parts-finder", "counter", "van", "booking", "bookings"},
	"sfax":  {emulator.SfaxSite, examples.Sfax, "pad-finder", "counter", "feed", "order", "order-desk"},
}

// Run runs the selected scenarios under the selected policies and passes each row
// to report.
//
// The first scenario under the first policy runs once more beforehand without being
// reported, since a process that has just started is slower.
func Run(ctx context.Context, config Config, report func(Row)) error {
	if _, err := runOne(ctx, config, scenarios[0], policies[0]); err != nil {
		return err
	}
	for _, scenario := range scenarios {
		if !selected(config.Scenarios, scenario.name) {
			continue
		}
		for _, policy := range policies {
			if !selected(config.Policies, policy.name) || !scenario.compares(policy.name) {
				continue
			}
			rows, err := runOne(ctx, config, scenario, policy)
			if err != nil {
				return fmt.Errorf("%s under %s: %w", scenario.name, policy.name, err)
			}
			for _, row := range rows {
				report(row)
			}
		}
	}
	return nil
}

// selected reports whether names contains name or is empty.
func selected(names []string, name string) bool {
	if len(names) == 0 {
		return true
	}
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// run is the state of one scenario under one policy.
type run struct {
	config   Config
	scenario scenario
	policy   policy
	dep      deployment
	stage    *stager.Cluster
	balancer *balancer
}

// balancer distributes requests over the daemons that have not been removed.
type balancer struct {
	mu      sync.Mutex
	clients []*caller.Client
	removed map[int]bool
}

// client returns the client for the n-th request. It distributes requests round
// robin.
func (b *balancer) client(n int) *caller.Client {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.clients {
		if at := (n + i) % len(b.clients); !b.removed[at] {
			return b.clients[at]
		}
	}
	return b.clients[0]
}

// remove removes the daemon with index i.
func (b *balancer) remove(i int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removed[i] = true
}

// runOne runs one scenario under one policy.
func runOne(ctx context.Context, config Config, s scenario, p policy) ([]Row, error) {
	b := &run{config: config, scenario: s, policy: p, dep: deployments[config.Deployment]}
	if err := b.start(ctx); err != nil {
		return nil, err
	}
	defer b.stage.Close()
	generator.Run(ctx, b.balancer.client, b.streams(min(s.load, 0.4)), warmUp, config.Seed)
	startedBefore := b.started()
	faultDone := make(chan struct{})
	go func() {
		defer close(faultDone)
		if s.fault != nil {
			s.fault(b)
		}
	}()
	reports := generator.Run(ctx, b.balancer.client, b.streams(s.load), config.MeasureTime, config.Seed+1)
	<-faultDone
	rows := make([]Row, len(reports))
	needed := 0
	for _, r := range reports {
		needed += r.Needed
	}
	for i, r := range reports {
		rows[i] = Row{Scenario: s.name, Policy: p.name, Report: r, PeakConnectionShare: b.peakShare()}
		if needed > 0 {
			rows[i].LoadFactor = float64(b.started()-startedBefore) / float64(needed)
		}
	}
	return rows, nil
}

// start starts the site and waits until it is ready.
func (b *run) start(ctx context.Context) error {
	declarations, err := declarer.ParseDeclarations(b.config.Deployment, b.dep.declarations)
	if err != nil {
		return err
	}
	site := b.dep.site(b.config.Daemons)
	for i := range site.Workloads {
		site.Workloads[i].ServiceMillis = serviceMillis
	}
	domains := map[string]string{}
	var mu sync.Mutex
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	b.stage, err = stager.New(ctx, stager.Config{
		Site:         site,
		Declarations: declarations,
		Policy:       b.policy.settings,
		ModifySettings: func(s *loader.Settings) {
			s.Shutdown.ReadinessDelay = declarer.Duration(time.Second)
		},
		BeforeDaemons: func(stage *emulator.RunningSite) {
			mu.Lock()
			defer mu.Unlock()
			for _, r := range stage.Searchers {
				domains[r.VM.Address] = r.VM.FailureDomain
				r.SetFaults(baseFaults())
			}
		},
		OnListen: func(domain emulator.Domain, peers string) {
			mu.Lock()
			defer mu.Unlock()
			domains[peers] = domain.Name
		},
		// In both deployments each failure domain is a region of its own, so
		// connections between failure domains have the latency between regions.
		Network: func(domain emulator.Domain, _ int) dialer.Network {
			return emulator.WithLatency(dialer.System(), func(address string) time.Duration {
				mu.Lock()
				defer mu.Unlock()
				if other, ok := domains[address]; ok && other != domain.Name {
					return emulator.RegionLatency
				}
				return 0
			})
		},
	})
	if err != nil {
		return err
	}
	b.balancer = &balancer{removed: map[int]bool{}}
	for _, d := range b.stage.Daemons {
		b.balancer.clients = append(b.balancer.clients, newClient(d))
	}
	return nil
}

func newClient(d *stager.Node) *caller.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 1024}
	return caller.New("http://"+d.Settings().CallerAddress, &http.Client{Transport: transport})
}

// baseFaults returns the faults that every server has in all scenarios: a small
// fraction of slow requests.
func baseFaults() emulator.SearcherFaults {
	return emulator.SearcherFaults{OutlierShare: outlierShare, OutlierFactor: outlierFactor}
}

// capacity returns the number of queries per second that the search service can
// handle.
func (b *run) capacity() float64 {
	w := b.workload()
	mean := serviceMillis*meanFactor*(1-outlierShare) + outlierShare*outlierFactor*serviceMillis*meanFactor
	return float64(w.Replicas*w.Slots) / mean * 1000
}

// workload returns the workload of the search service.
func (b *run) workload() emulator.Workload {
	for _, w := range b.stage.Site.Workloads {
		if w.Service == b.dep.service {
			return w
		}
	}
	return emulator.Workload{}
}

// streams returns the request streams that generate a load, given as a fraction of
// the capacity.
func (b *run) streams(load float64) []generator.Stream {
	rate := load * b.capacity()
	body := json.RawMessage(`{"q":"wheel"}`)
	main := generator.Stream{Rate: rate, Request: caller.Request{Service: b.dep.service, Class: b.dep.class, Tenant: b.config.Deployment, Body: body}}
	if !b.scenario.mixed {
		return []generator.Stream{main}
	}
	quick, once := main, main
	main.Rate, quick.Rate, once.Rate = 0.7*rate, 0.3*rate, 30
	quick.Request.Class = b.dep.quick
	once.Request.Class, once.Request.Service, once.Once = b.dep.once, b.dep.onceService, true
	return []generator.Stream{main, quick, once}
}

// started returns the number of shard requests that the servers of the service
// have started, that is, assigned a slot.
func (b *run) started() int {
	n := 0
	for _, r := range b.stage.SearchersOf(b.dep.service) {
		n += r.Stats().Started
	}
	return n
}

// peakShare returns the largest fraction of its connection limit that any server
// of the service reached.
func (b *run) peakShare() float64 {
	share := 0.0
	limit := b.workload().ConnectionLimit
	for _, r := range b.stage.SearchersOf(b.dep.service) {
		share = max(share, float64(r.Stats().PeakConnections)/float64(limit))
	}
	return share
}

// Table writes rows as an aligned text table.
type Table struct{ w *tabwriter.Writer }

// NewTable returns a table that is written to out, and writes its header.
func NewTable(out io.Writer) *Table {
	t := &Table{w: tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
	_, _ = fmt.Fprintln(t.w, "scenario\tpolicy\tclass\tasked\tp50 ms\tp99 ms\tp99.9 ms\tcoverage\tfull\tnot run\tunknown\textra\tload\tpeak conns")
	return t
}

// Add adds one row.
func (t *Table) Add(r Row) {
	_, _ = fmt.Fprintf(t.w, "%s\t%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.4f\t%.3f\t%.3f\t%.3f\t%.2f%%\t%.3f\t%.0f%%\n",
		r.Scenario, r.Policy, r.Class, r.Requests, r.P50, r.P99, r.P999, r.Coverage,
		fraction(r.Full, r.Requests), fraction(r.NotRun, r.Requests), fraction(r.Unknown+r.Dropped, r.Requests),
		100*r.ExtraLoad, r.LoadFactor, 100*r.PeakConnectionShare)
}

// fraction returns n / of, and 0 if both are 0.
func fraction(n, of int) float64 { return float64(n) / float64(max(1, of)) }

// Flush writes the table.
func (t *Table) Flush() { _ = t.w.Flush() }
