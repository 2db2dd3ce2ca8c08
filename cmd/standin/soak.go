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

func (*soakCommand) Name() string { return "soak" }
func (*soakCommand) Synopsis() string {
	return "inject random faults into daemons and check invariants"
}

func (*soakCommand) Usage() string {
	return "soak -program FILE [-seed N] [-seeds N] [-rounds N] [-daemons N] [-directory DIR]\n\n" +
		"Starts daemons as separate processes on loopback, kills, stops and freezes them,\nlimits their processor time, changes the configuration, injects connection faults, and\n" +
		"checks what callers and searchers observe and which requests daemons log as\nunanswered. Exits with status 1 if an invariant was violated. Settings and logs are kept in the directory.\n\n"
}

func (c *soakCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config.Program, "program", "target/fuchsiastile", "executable `file` of the daemon")
	f.Uint64Var(&c.config.Seed, "seed", 1, "random seed of the first run")
	f.IntVar(&c.seeds, "seeds", 1, "number of runs, with consecutive seeds")
	f.IntVar(&c.config.Rounds, "rounds", 2, "number of rounds, each a phase of faults followed by one without")
	f.IntVar(&c.config.DaemonsPerDomain, "daemons", 2, "number of daemons in each of three failure domains")
	f.StringVar(&c.config.Directory, "directory", "", "directory for settings and logs; empty creates a temporary one for each run")
}

func (c *soakCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	violations := 0
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
		fmt.Printf("seed %d: %d requests, %d answered, %d refused, %d failed, %d on kept connections of which %d were lost, %d lost on new ones, %d invariant violations, logs in %s\n",
			config.Seed, report.Requests, report.Answered, report.Refused, report.Failed, report.Kept, report.KeptLost, report.NewLost, len(report.Violations), config.Directory)
		for _, violation := range report.Violations {
			fmt.Println("  violated:", violation)
		}
		violations += len(report.Violations)
		c.config.Seed++
	}
	if violations > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
