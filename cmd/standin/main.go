// Command standin runs an emulated platform or an emulated searcher as a separate
// process, for tests and experiments with fuchsiastile. It also provides a load
// generator and a soak test.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/generator"
	"github.com/fuchsiastile/fuchsiastile/pkg/caller"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&platformCommand{}, "")
	subcommands.Register(&searcherCommand{}, "")
	subcommands.Register(&loadCommand{}, "")
	subcommands.Register(&soakCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// fail prints an error and returns the exit status for failures.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "standin:", err)
	return subcommands.ExitFailure
}

type platformCommand struct{ listen string }

func (*platformCommand) Name() string { return "platform" }
func (*platformCommand) Synopsis() string {
	return "run an emulated platform, with Object API and VM list"
}

func (*platformCommand) Usage() string {
	return "platform [-listen ADDRESS]\n\nPUT /faults sets the injected faults, PUT /vms/NAME adds a VM to the list, GET /calls\nreturns call counts.\n\n"
}

func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:9000", "`address` to listen on")
}

func (c *platformCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	server := &http.Server{Addr: c.listen, Handler: emulator.NewPlatform().Handler(), ReadHeaderTimeout: time.Minute}
	return fail(server.ListenAndServe())
}

type searcherCommand struct {
	listen   string
	config   emulator.SearcherConfig
	snapshot string
	shards   string
}

func (*searcherCommand) Name() string     { return "searcher" }
func (*searcherCommand) Synopsis() string { return "run an emulated searcher" }
func (*searcherCommand) Usage() string {
	return "searcher [-listen ADDRESS] [-snapshot NAME] [-shards NAMES]\n\nPUT /faults sets the injected faults, PUT /drain starts draining, GET /facts returns\ncounts of the requests that it executed and rejected.\n\n"
}

func (c *searcherCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:9100", "`address` to listen on")
	f.StringVar(&c.snapshot, "snapshot", emulator.InitialSnapshot, "`name` of the snapshot that is served")
	f.StringVar(&c.shards, "shards", emulator.ShardName(0), "comma-separated `names` of the shards that are served")
	f.IntVar(&c.config.Slots, "slots", 5, "`number` of requests that run concurrently")
	f.IntVar(&c.config.QueueLimit, "queue", 20, "`number` of requests that can be queued; further ones are shed")
	f.IntVar(&c.config.ConnectionLimit, "connections", 90, "maximum `number` of connections")
	f.Float64Var(&c.config.ConnectionCostMillis, "connectionCost", 6, "cost of a new connection in `milliseconds`")
	f.Float64Var(&c.config.ServiceMillis, "service", 4, "median service time of a request in `milliseconds`")
	f.Uint64Var(&c.config.Seed, "seed", 1, "random `seed` of the service times")
}

func (c *searcherCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	c.config.Holdings = map[string][]string{c.snapshot: strings.Split(c.shards, ",")}
	l, err := net.Listen("tcp", c.listen)
	if err != nil {
		return fail(err)
	}
	return fail(emulator.NewSearcher(c.config).Serve(l))
}

type loadCommand struct {
	daemons  string
	stream   generator.Stream
	duration time.Duration
	seed     uint64
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "generate open-loop load and print a report as JSON" }

func (*loadCommand) Usage() string {
	return "load -daemons ADDRESSES -service NAME -class NAME [-rate N] [-for DURATION] [-once]\n\n"
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.daemons, "daemons", "127.0.0.1:7000", "comma-separated caller `addresses` of daemons")
	f.StringVar(&c.stream.Request.Service, "service", "", "`name` of the service")
	f.StringVar(&c.stream.Request.Class, "class", "", "`name` of the request class")
	f.StringVar(&c.stream.Request.Tenant, "tenant", "", "`name` of the tenant")
	f.Float64Var(&c.stream.Rate, "rate", 50, "`requests` per second")
	f.BoolVar(&c.stream.Once, "once", false, "send non-idempotent requests")
	f.DurationVar(&c.duration, "for", 10*time.Second, "`duration` of the load")
	f.Uint64Var(&c.seed, "seed", 1, "random `seed` of the arrival times")
}

func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.stream.Request.Service == "" || c.stream.Request.Class == "" || c.stream.Rate <= 0 {
		fmt.Fprintln(os.Stderr, "standin: -service, -class and a -rate above 0 are required")
		return subcommands.ExitUsageError
	}
	c.stream.Request.Body = json.RawMessage(`{"q":"load"}`)
	var clients []*caller.Client
	for _, address := range strings.Split(c.daemons, ",") {
		transport := &http.Transport{MaxIdleConnsPerHost: 256}
		clients = append(clients, caller.New("http://"+address, &http.Client{Transport: transport}))
	}
	reports := generator.Run(ctx, generator.RoundRobin(clients), []generator.Stream{c.stream}, c.duration, c.seed)
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(reports); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
