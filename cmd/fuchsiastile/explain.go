package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/fuchsiastile/fuchsiastile/internal/explainer"
)

type explainCommand struct{}

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "explain the outcome of one request from logs" }
func (*explainCommand) Usage() string {
	return "explain ID < LOG\n\nReads the logs of one or more daemons from standard input and prints the outcome of\nthe request with the given ID, its cause, and the state that its daemon had last\nlogged before it.\n\n"
}

func (*explainCommand) SetFlags(*flag.FlagSet) {}

func (*explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usageError("explain: exactly one request ID is required")
	}
	if err := explainer.Explain(os.Stdin, f.Arg(0), os.Stdout); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
