package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/fuchsiastile/fuchsiastile/internal/estimator"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

type capacityCommand struct{ file string }

func (*capacityCommand) Name() string { return "capacity" }
func (*capacityCommand) Synopsis() string {
	return "estimate the cost of each role of a daemon from measured costs per unit"
}

func (*capacityCommand) Usage() string {
	return "capacity [-slopes FILE]\n\nPrints the tables of docs/CAPACITY.md.\n\n"
}

func (c *capacityCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "slopes", "docs/slopes.jsonc", "`file` with the measured costs per unit and the size of the system, JSON with comments")
}

func (c *capacityCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	data, err := os.ReadFile(c.file)
	if err != nil {
		return fail(err)
	}
	var input struct {
		Slopes estimator.Slopes `json:"slopes"`
		Size   estimator.Size   `json:"size"`
	}
	if err := declarer.Decode(c.file, data, &input); err != nil {
		return fail(err)
	}
	if err := estimator.Write(os.Stdout, estimator.Estimate{Slopes: input.Slopes, Size: input.Size}); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
