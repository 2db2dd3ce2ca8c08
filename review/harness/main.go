// Command harness runs one case of the review: a small deployment whose daemons are
// processes of their own, with stand-ins for the platform, the searchers and the clients.
// It exits with 1 if the case's rule was broken, 0 if it held, and 2 if the case could
// not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scenario plays a case and returns how the rule was broken, or nil if it held.
type scenario func(ctx context.Context, t *tier, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{}

// maxRunTime is less than the 120 s that a case may take.
const maxRunTime = 110 * time.Second

func main() {
	name := flag.String("case", "", "name of the case")
	file := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *file))
}

func run(name, file string) int {
	play, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return 2
	}
	rec, err := newRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxRunTime)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	t, err := newTier(rec)
	if err != nil {
		rec.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer t.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, trouble %v", name, trouble)
	broken, err := play(ctx, t, trouble)
	for _, line := range broken {
		rec.printf("BROKEN: %s", line)
		fmt.Println("BROKEN:", line)
	}
	switch {
	case len(broken) > 0:
		return 1
	case err != nil || ctx.Err() != nil:
		rec.printf("could not run: %v %v", err, ctx.Err())
		fmt.Fprintln(os.Stderr, "could not run:", err, ctx.Err())
		return 2
	default:
		rec.printf("the rule held")
		fmt.Println("the rule held")
		return 0
	}
}
