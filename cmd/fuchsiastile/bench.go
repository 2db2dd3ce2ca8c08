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
	return "compare policies with baselines on a site in one process"
}

func (*benchCommand) Usage() string {
	return "bench [-deployment NAME] [-daemons N] [-for SPAN] [-scenarios NAMES] [-policies NAMES] [-json]\n\n" +
		"Absolute times of different runs are not to be compared; rows of one run are.\n\n"
}

func (c *benchCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config.Deployment, "deployment", "olwyn", "`name` of the deployment: olwyn or sfax")
	f.IntVar(&c.config.Daemons, "daemons", 2, "`daemons` in each of the three failure domains")
	f.DurationVar(&c.config.MeasureTime, "for", 6*time.Second, "`time` to measure each scenario")
	f.Uint64Var(&c.config.Seed, "seed", 1, "`seed` of arrival times")
	f.StringVar(&c.scenarios, "scenarios", "", "comma-separated `names`; all if empty")
	f.StringVar(&c.policies, "policies", "", "comma-separated `names`; all if empty")
	f.BoolVar(&c.json, "json", false, "print a line of JSON for each row")
}

func (c *benchCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.config.Deployment != "olwyn" && c.config.Deployment != "sfax" {
		return misuse("bench: -deployment is olwyn or sfax")
	}
	c.config.Scenarios = split(c.scenarios)
	c.config.Policies = split(c.policies)
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

func split(names string) []string {
	if names == "" {
		return nil
	}
	return strings.Split(names, ",")
}
