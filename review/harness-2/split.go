package main

import (
	"fmt"
	"os"
	"time"
)

// The case split: the daemons of each failure domain are cut off from those of the others for
// more than a minute; all of them reach the store, the searchers and the clients. Then a burst of
// requests comes.
const (
	splitLasts    = 72 * time.Second
	splitBurstFor = 3 * time.Second
	splitAfter    = 9 * time.Second
	splitShards   = 2
)

func playSplit(w *world) (bool, error) {
	w.store.put("config", "main", gatherConfiguration(splitShards, 92))
	for shard := range splitShards {
		for n, zone := range zones {
			c := searcherConfig{service: shardName(shard), zone: zone, ip: subnet(100 + n), slots: 1, queue: 4, work: 38 * time.Millisecond}
			if _, err := startSearcher(c, "", w.store, w.arrivals, w.record); err != nil {
				return false, err
			}
		}
	}
	network := 100 + os.Getpid()%100
	r, err := newRelay(network, 7740, daemonCount, func(daemon int) int { return daemon % len(zones) })
	if err != nil {
		return false, err
	}
	defer r.close()
	for n := range daemonCount {
		d := newDaemon(w.directory, n, w.store.listener.Addr().String(), nil)
		d.ip = relayAddress(network, ownView, n)
		d.caller, d.ready = fmt.Sprintf("%s:%d", d.ip, d.frontPort), fmt.Sprintf("%s:%d", d.ip, d.frontPort+1)
		for seed := range len(zones) {
			if seed == n {
				d.seeds = append(d.seeds, d.ip)
			} else {
				d.seeds = append(d.seeds, relayAddress(network, 100+n, seed))
			}
		}
		if err := d.writeSettings(true); err != nil {
			return false, err
		}
		if err := d.start(w.program); err != nil {
			return false, err
		}
		w.daemons = append(w.daemons, d)
	}
	if err := awaitReady(w.daemons, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	if w.trouble {
		w.record.say("the failure domains are cut off from each other")
		r.cut()
	}
	time.Sleep(splitLasts - forgetRamp - 11*time.Second)
	c := newClients(w.record, "search.example")
	stop, rate := make(chan struct{}), make(chan float64, 4)
	go pace(c, w.daemons, rate, stop)
	rate <- 0.5
	time.Sleep(forgetRamp)
	rate <- 1
	time.Sleep(11 * time.Second)
	w.record.line("burst begins")
	rate <- forgetBurst
	time.Sleep(splitBurstFor)
	rate <- 1
	w.record.line("burst ends")
	time.Sleep(splitAfter)
	close(stop)
	c.wait.Wait()
	w.record.say("datagrams dropped by the cut: %d", r.dropped.Load())
	var requests []time.Time
	for _, one := range c.all() {
		requests = append(requests, one.at)
	}
	broken := false
	for shard := range splitShards {
		if judgeBudget(w, shardName(shard), requests) {
			broken = true
		}
	}
	return broken, nil
}
