// Package bencher runs scenarios of load and faults on a whole site in one
// process, once for each policy and baseline, and reports them side by side.
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
	// readyTimeout bounds the start of a site.
	readyTimeout = 30 * time.Second
	// warmUp is the load before the measurement, which opens connections and fills histograms.
	warmUp = 2 * time.Second
	// serviceMillis is the median time of a shard request in its slot.
	serviceMillis = 8
	// meanFactor is the mean of the service time over its median.
	meanFactor = 1.063
	// outlierShare of the requests take outlierFactor times as long.
	outlierShare  = 0.01
	outlierFactor = 10
	// stragglerFactor is how much slower a straggling server is.
	stragglerFactor = 10
)

// Config is what a bench runs.
type Config struct {
	// Deployment is olwyn or sfax.
	Deployment string
	// Daemons is how many daemons each failure domain has.
	Daemons int
	// Span is how long each scenario is measured.
	Span time.Duration
	// Seed decides arrival and service times.
	Seed uint64
	// Scenarios and Policies are the names to run; empty means all.
	Scenarios []string
	Policies  []string
}

// Row is the result of one class in one scenario under one policy.
type Row struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	generator.Report
	// Load is shard requests that reached servers over those that were needed.
	Load float64 `json:"load"`
	// PeakShare is the largest share of its connection limit that any server saw.
	PeakShare float64 `json:"peakConnectionShare"`
}

// deployment is what differs between the two deployments.
type deployment struct {
	site         func(daemons int) emulator.Site
	declarations []byte
	service      string
	class        string
	quick        string
	once         string
	onceService  string
}

var deployments = map[string]deployment{
	"olwyn": {emulator.OlwynSite, examples.Olwyn, "parts-finder", "counter", "van", "booking", "bookings"},
	"sfax":  {emulator.SfaxSite, examples.Sfax, "pad-finder", "counter", "feed", "order", "order-desk"},
}

// Run runs every scenario under every policy and gives each row to report.
//
// The first run of all is made twice and reported once, since a process that
// has just started is slower.
func Run(ctx context.Context, config Config, report func(Row)) error {
	if _, err := runOne(ctx, config, scenarios[0], policies[0]); err != nil {
		return err
	}
	for _, scenario := range scenarios {
		if !wanted(config.Scenarios, scenario.name) {
			continue
		}
		for _, policy := range policies {
			if !wanted(config.Policies, policy.name) || !scenario.compares(policy.name) {
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

func wanted(names []string, name string) bool {
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

// bench is one scenario under one policy.
type bench struct {
	config   Config
	scenario scenario
	policy   policy
	dep      deployment
	stage    *stager.Stage
	balancer *balancer
}

// balancer spreads callers over the daemons that are ready.
type balancer struct {
	mu      sync.Mutex
	clients []*caller.Client
	left    map[int]bool
}

// client returns the caller's client for its n-th request.
func (b *balancer) client(n int) *caller.Client {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.clients {
		if at := (n + i) % len(b.clients); !b.left[at] {
			return b.clients[at]
		}
	}
	return b.clients[0]
}

func (b *balancer) leave(i int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left[i] = true
}

func runOne(ctx context.Context, config Config, s scenario, p policy) ([]Row, error) {
	b := &bench{config: config, scenario: s, policy: p, dep: deployments[config.Deployment]}
	if err := b.start(ctx); err != nil {
		return nil, err
	}
	defer b.stage.Close()
	generator.Run(ctx, b.balancer.client, b.streams(min(s.load, 0.4)), warmUp, config.Seed)
	before := b.started()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if s.fault != nil {
			s.fault(b)
		}
	}()
	reports := generator.Run(ctx, b.balancer.client, b.streams(s.load), config.Span, config.Seed+1)
	<-ended
	rows := make([]Row, len(reports))
	needed := 0
	for _, r := range reports {
		needed += r.Needed
	}
	for i, r := range reports {
		rows[i] = Row{Scenario: s.name, Policy: p.name, Report: r, PeakShare: b.peakShare()}
		if needed > 0 {
			rows[i].Load = float64(b.started()-before) / float64(needed)
		}
	}
	return rows, nil
}

func (b *bench) start(ctx context.Context) error {
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
		Tune: func(s *loader.Settings) {
			s.Shutdown.ReadinessDelay = declarer.Duration(time.Second)
		},
		Staged: func(stage *emulator.Stage) {
			mu.Lock()
			defer mu.Unlock()
			for _, r := range stage.Searchers {
				domains[r.VM.Address] = r.VM.FailureDomain
				r.SetFaults(calmFaults())
			}
		},
		Listening: func(domain emulator.Domain, peers string) {
			mu.Lock()
			defer mu.Unlock()
			domains[peers] = domain.Name
		},
		// Each failure domain of both deployments is a region of its own.
		Network: func(domain emulator.Domain, _ int) dialer.Network {
			return emulator.Delayed(dialer.System(), func(address string) time.Duration {
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
	b.balancer = &balancer{left: map[int]bool{}}
	for _, d := range b.stage.Daemons {
		b.balancer.clients = append(b.balancer.clients, clientOf(d))
	}
	return nil
}

func clientOf(d *stager.Node) *caller.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 1024}
	return caller.New("http://"+d.Settings().CallerAddress, &http.Client{Transport: transport})
}

func calmFaults() emulator.SearcherFaults {
	return emulator.SearcherFaults{OutlierShare: outlierShare, OutlierFactor: outlierFactor}
}

// capacity is how many queries per second the search service can take.
func (b *bench) capacity() float64 {
	w := b.workload()
	mean := serviceMillis*meanFactor*(1-outlierShare) + outlierShare*outlierFactor*serviceMillis*meanFactor
	return float64(w.Replicas*w.Slots) / mean * 1000
}

func (b *bench) workload() emulator.Workload {
	for _, w := range b.stage.Site.Workloads {
		if w.Service == b.dep.service {
			return w
		}
	}
	return emulator.Workload{}
}

// streams is the load of a scenario as a share of capacity.
func (b *bench) streams(load float64) []generator.Stream {
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

// started counts shard requests that got a slot at the service's servers.
func (b *bench) started() int {
	n := 0
	for _, r := range b.stage.Of(b.dep.service) {
		n += r.Facts().Started
	}
	return n
}

func (b *bench) peakShare() float64 {
	share := 0.0
	limit := b.workload().ConnectionLimit
	for _, r := range b.stage.Of(b.dep.service) {
		share = max(share, float64(r.Facts().PeakConnections)/float64(limit))
	}
	return share
}

// Table writes rows as a table.
type Table struct{ w *tabwriter.Writer }

// NewTable starts a table.
func NewTable(out io.Writer) *Table {
	t := &Table{w: tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
	_, _ = fmt.Fprintln(t.w, "scenario\tpolicy\tclass\tasked\tp50 ms\tp99 ms\tp99.9 ms\tcoverage\tfull\tnot run\tunknown\textra\tload\tpeak conns")
	return t
}

// Add writes one row.
func (t *Table) Add(r Row) {
	_, _ = fmt.Fprintf(t.w, "%s\t%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.4f\t%.3f\t%.3f\t%.3f\t%.2f%%\t%.3f\t%.0f%%\n",
		r.Scenario, r.Policy, r.Class, r.Asked, r.P50, r.P99, r.P999, r.Coverage,
		share(r.Full, r.Asked), share(r.NotRun, r.Asked), share(r.Unknown+r.Dropped, r.Asked),
		100*r.ExtraLoad, r.Load, 100*r.PeakShare)
}

func share(n, of int) float64 { return float64(n) / float64(max(1, of)) }

// Flush ends the table.
func (t *Table) Flush() { _ = t.w.Flush() }
