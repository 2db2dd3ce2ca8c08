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

// flushTime bounds writing the last log lines at the end.
const flushTime = 200 * time.Millisecond

type frontCommand struct {
	settings string
	metrics  int
	without  string
}

func (*frontCommand) Name() string     { return "front" }
func (*frontCommand) Synopsis() string { return "run the daemon on the users' platform" }
func (*frontCommand) Usage() string {
	return "front [-settings FILE] [-metrics PORT] [-without LIST]\n\nRuns the daemon until it is asked to stop, then stops gracefully. Logs go to\nstandard output.\n\n"
}

func (c *frontCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", os.Getenv(platform.SettingsVariable), "the platform's settings `file`")
	f.IntVar(&c.metrics, "metrics", 9464, "`port` of the metrics on the VM's address; 0 serves none")
	f.StringVar(&c.without, "without", "", fmt.Sprintf("`list` of policies to switch off, for comparisons: %v", responder.Policies()))
}

func (c *frontCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.settings == "" {
		return misuse("front: -settings is missing and " + platform.SettingsVariable + " is not set")
	}
	without, err := responder.ParsePolicies(c.without)
	if err != nil {
		return misuse("front: -without: " + err.Error())
	}
	log := logger.New(os.Stdout)
	defer log.Close(flushTime)
	klog.LogToStderr(false)
	klog.SetOutput(log)
	defer klog.Flush()
	s, err := supervisor.New(supervisor.Config{
		SettingsFile:     c.settings,
		MetricsPort:      c.metrics,
		DisabledPolicies: without,
		Network:          dialer.System(),
	})
	if err != nil {
		klog.ErrorS(err, "daemon not started")
		return fail(err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		for got := range signals {
			if got == syscall.SIGHUP {
				s.Reload()
				continue
			}
			s.Stop()
		}
	}()
	if err := s.Run(); err != nil {
		klog.ErrorS(err, "daemon ended")
		return fail(err)
	}
	return subcommands.ExitSuccess
}
