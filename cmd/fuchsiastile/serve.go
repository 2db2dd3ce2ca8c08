package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/google/subcommands"

	"github.com/fuchsiastile/fuchsiastile/internal/daemon"
	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
	"github.com/fuchsiastile/fuchsiastile/internal/loader"
)

const (
	// gcPercent lets the heap grow to five times the live heap between
	// collections. The live heap is small, while requests allocate much garbage.
	gcPercent = 400
	// memoryLimit is the soft memory limit of the runtime, in bytes. Near it the
	// garbage collector runs more often than gcPercent alone would make it.
	memoryLimit = 192 << 20
)

type serveCommand struct {
	settings string
}

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run the daemon" }
func (*serveCommand) Usage() string {
	return "serve -settings FILE\n\nRuns the daemon until SIGINT or SIGTERM, then shuts down gracefully.\n\n"
}

func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings `file`, JSON with comments")
}

func (c *serveCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.settings == "" {
		return usageError("serve: -settings is missing")
	}
	settings, err := loader.Load(c.settings)
	if err != nil {
		return fail(err)
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	d, err := daemon.New(settings, dialer.System())
	if err != nil {
		return fail(err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		d.Stop()
	}()
	if err := d.Run(); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
