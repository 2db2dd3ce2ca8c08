package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/fuchsiastile/fuchsiastile/internal/soaker"
)

type soakCommand struct {
	config soaker.Config
	seeds  int
}

func (*soakCommand) Name() string     { return "soak" }
func (*soakCommand) Synopsis() string { return "harm real daemons at random and check their promises" }

func (*soakCommand) Usage() string {
	return "soak -program FILE [-seed N] [-seeds N] [-rounds N] [-daemons N] [-directory DIR]\n\n" +
		"Starts daemons as processes of their own on loopback, kills, stops and freezes them,\nharms their connections, and checks what callers and searchers see. Exits with 1 if a\n" +
		"promise was broken. Settings and logs stay in the directory.\n\n"
}

func (c *soakCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config.Program, "program", "target/fuchsiastile", "the daemon's program `file`")
	f.Uint64Var(&c.config.Seed, "seed", 1, "the first seed")
	f.IntVar(&c.seeds, "seeds", 1, "how many seeds to play, one after the other")
	f.IntVar(&c.config.Rounds, "rounds", 2, "how often trouble is followed by calm")
	f.IntVar(&c.config.DaemonsPerDomain, "daemons", 2, "daemons in each of three failure domains")
	f.StringVar(&c.config.Directory, "directory", "", "where settings and logs are written; empty takes a new one")
}

func (c *soakCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	broken := 0
	for range c.seeds {
		config := c.config
		if config.Directory == "" {
			directory, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", config.Seed))
			if err != nil {
				return fail(err)
			}
			config.Directory = directory
		}
		if c.seeds == 1 {
			config.Log = os.Stdout
		}
		report, err := soaker.Run(ctx, config)
		if err != nil {
			return fail(fmt.Errorf("seed %d: %w", config.Seed, err))
		}
		fmt.Printf("seed %d: %d asked, %d answered, %d refused, %d failed, %d broken, logs in %s\n",
			config.Seed, report.Asked, report.Answered, report.Refused, report.Failed, len(report.Violations), config.Directory)
		for _, text := range report.Violations {
			fmt.Println("  broken:", text)
		}
		broken += len(report.Violations)
		c.config.Seed++
	}
	if broken > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
