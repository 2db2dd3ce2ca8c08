package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The case foreign: another writer keeps entries of kind servers in the store whose service is
// none that the configuration names. The platform ends a process that exceeds memoryMb and starts
// it again.
const (
	foreignEntries = 20
	// foreignBytes is below valueBytes, 1,048,576.
	foreignBytes = 1_000_000
	// foreignText is what the entries name as their service, over and over: a document in XML.
	foreignText = "<v>1</v>"

	foreignStable = 6 * time.Second
	foreignFor    = 40 * time.Second
	// foreignRate is the rate of order-lookup at the site, in requests a second.
	foreignRate = 45
	foreignWork = 220 * time.Millisecond
	foreignWait = 10 * time.Second

	memoryLimitMB  = 206
	memoryInterval = 5 * time.Millisecond
	restartDelay   = 300 * time.Millisecond
	// A day counts 0 if on faultMachines machines processes end by themselves faultEnds
	// times.
	faultMachines = 2
	faultEnds     = 3
)

// memoryGuard is the platform's limit on the memory of one daemon.
type memoryGuard struct {
	daemon *daemon
	// ends are the times at which the process was ended for its memory.
	ends []time.Time
}

// peakMB returns the peak resident memory of the process in MB.
func (d *daemon) peakMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.process.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kilobytes >> 10
		}
	}
	return 0
}

// watch ends the process whenever it exceeds the limit, and starts it again.
func (g *memoryGuard) watch(w *world, stop <-chan struct{}) error {
	for {
		select {
		case <-stop:
			return nil
		case <-time.After(memoryInterval):
		}
		peak := g.daemon.peakMB()
		if peak <= memoryLimitMB {
			continue
		}
		g.daemon.kill()
		g.ends = append(g.ends, time.Now())
		w.record.line("%s is ended, it had %d MB", g.daemon.name, peak)
		time.Sleep(restartDelay)
		if err := g.daemon.writeSettings(false); err != nil {
			return err
		}
		if err := g.daemon.start(w.program); err != nil {
			return err
		}
	}
}

// writeForeign writes the entries of the other writer every heartbeat, as searchers do.
func (w *world) writeForeign(stop <-chan struct{}) {
	service := strings.Repeat(foreignText, foreignBytes/len(foreignText))
	for seq := 1; ; seq++ {
		for n := range foreignEntries {
			w.store.put("servers", fmt.Sprintf("other-%02d", n), entry(service, fmt.Sprintf("%s:9", subnet(200)), zones[0], "ready", 3, seq, 1, 0))
		}
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func playForeign(w *world) (bool, error) {
	w.store.plainText = true
	w.store.put("config", "main", deskConfiguration("idempotent"))
	for n := range 2 * len(zones) {
		c := searcherConfig{service: "desk", zone: zones[n%len(zones)], ip: subnet(100 + n), slots: 3, queue: 12, work: foreignWork}
		if _, err := startSearcher(c, "", w.store, w.arrivals, w.record); err != nil {
			return false, err
		}
	}
	if err := w.startTier(daemonCount); err != nil {
		return false, err
	}
	if err := awaitReady(w.daemons, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(foreignStable)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	if w.trouble {
		w.record.say("another writer begins to write %d entries", foreignEntries)
		wait.Go(func() { w.writeForeign(stop) })
	}
	guards := make([]*memoryGuard, len(w.daemons))
	failures := make([]error, len(w.daemons))
	for n, d := range w.daemons {
		guards[n] = &memoryGuard{daemon: d}
		wait.Go(func() { failures[n] = guards[n].watch(w, stop) })
	}
	c := newClients(w.record, "search.example")
	for n, next := 0, time.Now(); n < int(foreignFor.Seconds()*foreignRate); n++ {
		c.send(w.daemons[n%len(w.daemons)].caller, "GET", "/desk/2f", "", foreignWait)
		next = next.Add(time.Second / foreignRate)
		time.Sleep(time.Until(next))
	}
	c.wait.Wait()
	close(stop)
	wait.Wait()
	for _, err := range failures {
		if err != nil {
			return false, err
		}
	}
	return w.judgeForeign(c, guards), nil
}

// judgeForeign reports whether processes ended too often.
func (w *world) judgeForeign(c *clients, guards []*memoryGuard) bool {
	ran := map[string]bool{}
	for _, a := range w.arrivals.all() {
		ran[a.id] = ran[a.id] || a.ran
	}
	byStatus, cut := map[int]int{}, 0
	for _, r := range c.all() {
		byStatus[r.status]++
		if r.err != nil && ran[r.id] {
			cut++
		}
	}
	ends, peaks, machines := []int{}, []int{}, 0
	for _, g := range guards {
		ends, peaks = append(ends, len(g.ends)), append(peaks, g.daemon.peakMB())
		if len(g.ends) >= faultEnds {
			machines++
		}
	}
	w.record.say("processes ended for their memory, by daemon: %v; peaks at the end %v MB", ends, peaks)
	w.record.say("answers by status %v (0: none); %d requests ran and ended without an answer", byStatus, cut)
	return machines >= faultMachines
}
