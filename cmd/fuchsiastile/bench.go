package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/fuchsiastile/fuchsiastile/internal/bencher"
)

type benchCommand struct {
	config    bencher.Config
	scenarios string
	policies  string
	json      bool
}

func (*benchCommand) Name() string { return "bench" }
func (*benchCommand) Synopsis() string {
	return "benchmark policies against baselines on an emulated deployment"
}

func (*benchCommand) Usage() string {
	return "bench [-deployment NAME] [-daemons N] [-for DURATION] [-scenarios NAMES] [-policies NAMES] [-json]\n\n" +
		"Only rows of the same run can be compared; absolute times differ between runs.\n\n"
}

func (c *benchCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config.Deployment, "deployment", "olwyn", "`name` of the deployment: olwyn or sfax")
	f.IntVar(&c.config.Daemons, "daemons", 2, "`number` of daemons in each of the three failure domains")
	f.DurationVar(&c.config.MeasureTime, "for", 6*time.Second, "`duration` of the measurement of each scenario")
	f.Uint64Var(&c.config.Seed, "seed", 1, "random `seed` of the arrival times")
	f.StringVar(&c.scenarios, "scenarios", "", "comma-separated `names` of scenarios; empty runs all")
	f.StringVar(&c.policies, "policies", "", "comma-separated `names` of policies; empty runs all")
	f.BoolVar(&c.json, "json", false, "print each row as a line of JSON")
}

func (c *benchCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.config.Deployment != "olwyn" && c.config.Deployment != "sfax" {
		return usageError("bench: -deployment must be olwyn or sfax")
	}
	c.config.Scenarios = splitNames(c.scenarios)
	c.config.Policies = splitNames(c.policies)
	table := bencher.NewTable(os.Stdout)
	err := bencher.Run(ctx, c.config, func(row bencher.Row) {
		if !c.json {
			table.Add(row)
			return
		}
		line, _ := json.Marshal(row)
		fmt.Println(string(line))
	})
	if !c.json {
		table.Flush()
	}
	if err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

// splitNames splits a comma-separated list; an empty list yields nil.
func splitNames(names string) []string {
	if names == "" {
		return nil
	}
	return strings.Split(names, ",")
}
