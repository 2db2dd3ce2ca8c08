// Command harness-2 plays the scripted cases of the second review against processes of
// the system on loopback addresses. Store, searchers and clients are stand-ins.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// The exit codes of a case.
const (
	ruleHeld    = 0
	ruleBroken  = 1
	cannotRun   = 2
	daemonCount = 6
)

// world holds the stand-ins and the processes of one run.
type world struct {
	program   string
	directory string
	trouble   bool
	record    *record
	store     *store
	arrivals  *arrivals
	daemons   []*daemon
}

func main() {
	name := flag.String("case", "", "the `case` to play")
	program := flag.String("program", "target/fuchsiastile", "the daemon's `program`")
	path := flag.String("record", "record.txt", "the `file` for the record")
	flag.Parse()
	cases := map[string]func(*world) (bool, error){"forget": playForget, "encoded": playEncoded, "split": playSplit, "moved": playMoved, "stop": playStop, "foreign": playForeign}
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		os.Exit(cannotRun)
	}
	os.Exit(run(play, *program, *path))
}

func run(play func(*world) (bool, error), program, path string) int {
	program, err := filepath.Abs(program)
	if err != nil {
		return cannotRun
	}
	if _, err := os.Stat(program); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer r.close()
	directory, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return cannotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(directory) }()
	} else {
		fmt.Println("logs in", directory)
	}
	w := &world{program: program, directory: directory, trouble: os.Getenv("TROUBLE") != "0", record: r, arrivals: &arrivals{}}
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		// The time limit of run.sh, or a person: no process is left behind.
		<-signals
		w.close()
		r.close()
		_ = os.RemoveAll(directory)
		os.Exit(cannotRun)
	}()
	port, err := freePort(subnet(5))
	if err == nil {
		w.store, err = newStore(fmt.Sprintf("%s:%d", subnet(5), port), r)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	broken, err := play(w)
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		return cannotRun
	case broken:
		r.say("the rule was broken")
		return ruleBroken
	default:
		r.say("the rule held")
		return ruleHeld
	}
}

func (w *world) close() {
	for _, d := range w.daemons {
		d.kill()
	}
	if w.store != nil {
		w.store.close()
	}
}

// startTier starts daemons for the first time; the first of each zone are the seeds.
func (w *world) startTier(count int) error {
	var seeds []string
	for n := range min(count, len(zones)) {
		seeds = append(seeds, subnet(10+n))
	}
	for n := range count {
		d := newDaemon(w.directory, n, w.store.listener.Addr().String(), seeds)
		if err := d.writeSettings(true); err != nil {
			return err
		}
		if err := d.start(w.program); err != nil {
			return err
		}
		w.daemons = append(w.daemons, d)
	}
	return nil
}
