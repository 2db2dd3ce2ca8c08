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
	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
	"github.com/fuchsiastile/fuchsiastile/internal/logger"
	"github.com/fuchsiastile/fuchsiastile/internal/responder"
	"github.com/fuchsiastile/fuchsiastile/internal/supervisor"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// logFlushTimeout limits the time spent writing buffered log lines at exit.
const logFlushTimeout = 100 * time.Millisecond

type frontCommand struct {
	settings string
	metrics  int
	without  string
}

func (*frontCommand) Name() string     { return "front" }
func (*frontCommand) Synopsis() string { return "run the daemon on the users' platform" }
func (*frontCommand) Usage() string {
	return "front [-settings FILE] [-metrics PORT] [-without LIST]\n\nRuns the daemon until SIGTERM or SIGINT, then shuts down gracefully. SIGHUP reloads\nthe settings. Logs go to standard output.\n\n"
}

func (c *frontCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", os.Getenv(platform.SettingsVariable), "the platform's settings `file`")
	f.IntVar(&c.metrics, "metrics", 9464, "`port` for metrics on the VM's address; 0 disables metrics")
	f.StringVar(&c.without, "without", "", fmt.Sprintf("comma-separated `list` of policies to disable, for comparisons: %v", responder.Policies()))
}

func (c *frontCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.settings == "" {
		return usageError("front: -settings is missing and " + platform.SettingsVariable + " is not set")
	}
	without, err := responder.ParsePolicies(c.without)
	if err != nil {
		return usageError("front: -without: " + err.Error())
	}
	// Each kind has a channel of its own, so that none is lost. They are received before
	// anything is opened, because the default action of SIGHUP ends the process.
	stops, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	log := logger.New(os.Stdout)
	defer log.Close(logFlushTimeout)
	if err := logger.Attach(log); err != nil {
		return fail(err)
	}
	defer klog.Flush()
	s, err := supervisor.New(supervisor.Config{
		SettingsFile:     c.settings,
		MetricsPort:      c.metrics,
		DisabledPolicies: without,
		Network:          dialer.System(),
	})
	if err != nil {
		klog.ErrorS(err, "failed to start daemon")
		return fail(err)
	}
	go func() {
		for {
			select {
			case <-reloads:
				s.Reload()
			case <-stops:
				s.Stop()
			}
		}
	}()
	if err := s.Run(); err != nil {
		klog.ErrorS(err, "daemon failed")
		return fail(err)
	}
	return subcommands.ExitSuccess
}
