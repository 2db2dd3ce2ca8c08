// Command fuchsiastile runs the daemon of the query tier and provides its
// administration commands.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"k8s.io/klog/v2"
)

func main() {
	klog.InitFlags(nil)
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.CommandsCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&serveCommand{}, "daemon")
	subcommands.Register(&frontCommand{}, "daemon")
	subcommands.Register(&demoCommand{}, "daemon")
	subcommands.Register(&benchCommand{}, "daemon")
	subcommands.Register(&capacityCommand{}, "operators")
	subcommands.Register(&checkCommand{}, "operators")
	subcommands.Register(&applyCommand{}, "operators")
	subcommands.Register(&diffCommand{}, "operators")
	subcommands.Register(&getCommand{}, "operators")
	subcommands.Register(&labelCommand{}, "operators")
	subcommands.Register(&statusCommand{}, "operators")
	subcommands.Register(&explainCommand{}, "operators")
	subcommands.Register(&queryCommand{}, "callers")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// fail prints an error and returns the exit status for failures.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "fuchsiastile:", err)
	return subcommands.ExitFailure
}

// usageError prints a message and returns the exit status for invalid arguments.
func usageError(message string) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "fuchsiastile:", message)
	return subcommands.ExitUsageError
}
