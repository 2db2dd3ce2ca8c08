package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/fuchsiastile/fuchsiastile/examples"
	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/generator"
	"github.com/fuchsiastile/fuchsiastile/internal/loader"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/pkg/caller"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

const (
	// demoStartTimeout is how long the demo waits for its daemons to become ready.
	demoStartTimeout = 30 * time.Second
	// demoDuration and demoRate, in queries per second, define the load that the
	// demo generates.
	demoDuration = 3 * time.Second
	demoRate     = 30
)

type demoCommand struct {
	once     bool
	json     bool
	platform bool
}

func (*demoCommand) Name() string { return "demo" }
func (*demoCommand) Synopsis() string {
	return "run a complete site with simulated servers in one process"
}

func (*demoCommand) Usage() string {
	return "demo [-once] [-json] [-platform]\n\nStarts a simulated platform, the searchers of the Olwyn deployment in three failure\n" +
		"domains and three daemons, sends queries and prints answers, coverage and latency.\nThen it runs until interrupted, unless -once is given.\n\n"
}

func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.once, "once", false, "exit after the queries, with status 1 unless every answer had full coverage")
	f.BoolVar(&c.platform, "platform", false, "run on a simulation of the users' platform, and exit after the queries")
	f.BoolVar(&c.json, "json", false, "print the summary as JSON")
}

func (c *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.platform {
		return c.runPlatformDemo(ctx)
	}
	declarations, err := declarer.ParseDeclarations("examples/olwyn.jsonc", examples.Olwyn)
	if err != nil {
		return fail(err)
	}
	startCtx, cancel := context.WithTimeout(ctx, demoStartTimeout)
	defer cancel()
	stage, err := stager.New(startCtx, stager.Config{
		Site:         emulator.OlwynSite(1),
		Declarations: declarations,
		Policy:       loader.Default().Policy,
	})
	if err != nil {
		return fail(err)
	}
	defer stage.Close()
	full, err := c.runRequests(ctx, stage)
	if err != nil {
		return fail(err)
	}
	if !c.once {
		c.waitForInterrupt(stage)
		return subcommands.ExitSuccess
	}
	if !full {
		return fail(fmt.Errorf("not every answer had full coverage"))
	}
	return subcommands.ExitSuccess
}

func (c *demoCommand) runPlatformDemo(ctx context.Context) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, demoStartTimeout)
	defer cancel()
	full, err := queryPlatform(ctx)
	if err != nil {
		return fail(err)
	}
	if !full {
		return fail(fmt.Errorf("not every answer had full coverage"))
	}
	return subcommands.ExitSuccess
}

// runRequests sends a search, one booking through each daemon and then load, and
// prints the answers. It reports whether every answer under load had full coverage.
func (c *demoCommand) runRequests(ctx context.Context, stage *stager.Cluster) (bool, error) {
	search := caller.Request{Service: "parts-finder", Class: "counter", Tenant: "olwyn", Body: []byte(`{"q":"pram wheel"}`)}
	booking := caller.Request{Service: "bookings", Class: "booking", Tenant: "olwyn", Key: "order-1", Body: []byte(`{"order":1}`)}
	client := stage.Client(0)
	answer, err := client.Search(ctx, search)
	if err != nil {
		return false, err
	}
	if !c.json {
		fmt.Println("search of parts-finder:")
		printAnswer(answer)
	}
	if booking.Ticket, err = client.Ticket(ctx); err != nil {
		return false, err
	}
	for n := range stage.Daemons {
		answer, err := stage.Client(n).Submit(ctx, booking)
		if err != nil {
			return false, err
		}
		if !c.json {
			fmt.Printf("booking through daemon %d, replayed %v:\n", n, answer.Replayed)
			printAnswer(answer)
		}
	}
	return c.runLoad(ctx, stage, search)
}

// runLoad generates load and prints a report. It reports whether every answer had
// full coverage.
func (c *demoCommand) runLoad(ctx context.Context, stage *stager.Cluster, search caller.Request) (bool, error) {
	clients := make([]*caller.Client, len(stage.Daemons))
	for n := range stage.Daemons {
		clients[n] = stage.Client(n)
	}
	reports := generator.Run(ctx, generator.RoundRobin(clients), []generator.Stream{{Request: search, Rate: demoRate}}, demoDuration, 1)
	if c.json {
		printJSON(reports)
	}
	full := true
	for _, r := range reports {
		full = full && r.Full == r.Requests
		if !c.json {
			fmt.Printf("%d searches at %d/s: p50 %.1f ms, p99 %.1f ms, mean coverage %.4f, %d full, extra load %.2f%%\n",
				r.Requests, demoRate, r.P50, r.P99, r.Coverage, r.Full, 100*r.ExtraLoad)
		}
	}
	return full, nil
}

// waitForInterrupt prints the addresses of the platform and the daemons and waits
// for a signal.
func (c *demoCommand) waitForInterrupt(stage *stager.Cluster) {
	fmt.Println("platform:", stage.PlatformURL)
	for _, d := range stage.Daemons {
		s := d.Settings()
		fmt.Printf("%s: callers %s, operators %s\n", s.Name, s.CallerAddress, s.OperatorAddress)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
}
