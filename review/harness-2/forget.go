package main

import (
	"fmt"
	"sort"
	"time"
)

// The case forget: a burst of requests spends the retry budget of a shard, then all of the
// shard's searchers crash and come back within the budget's window.
const (
	forgetShards   = 4
	forgetRate     = 55.0
	forgetBurst    = 1.93
	forgetBurstFor = 3 * time.Second
	forgetDown     = 5 * time.Second
	forgetRamp     = 4 * time.Second
	forgetSteady   = 14 * time.Second
	forgetAfter    = 5 * time.Second
	forgetDeadline = 1200 * time.Millisecond
)

func shardName(n int) string { return fmt.Sprintf("shard-%d", n) }

func gatherConfiguration(shards int, maxConns int) map[string]any {
	var names []string
	var services []any
	for n := range shards {
		names = append(names, shardName(n))
		services = append(services, map[string]any{"name": shardName(n), "healthPath": "/health", "maxConns": maxConns, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-all", "host": "search.example", "pathPrefix": "/all/", "routeKind": "idempotent", "timeoutMs": 1200, "sloMs": 250,
			"priority": 1, "gather": names, "maxAttempts": 3, "topK": 20, "minCoverage": 0.75,
		}},
		"services": services,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

func playForget(w *world) (bool, error) {
	w.store.put("config", "main", gatherConfiguration(forgetShards, 92))
	var hurt []*searcher
	for shard := range forgetShards {
		for n, zone := range zones {
			c := searcherConfig{service: shardName(shard), zone: zone, ip: subnet(100 + n), slots: 1, queue: 4, work: 32 * time.Millisecond, coldFor: 3 * time.Second, coldFactor: 1.6}
			s, err := startSearcher(c, "", w.store, w.arrivals, w.record)
			if err != nil {
				return false, err
			}
			if shard == 0 {
				hurt = append(hurt, s)
			}
			time.Sleep(30 * time.Millisecond)
		}
	}
	if err := w.startTier(daemonCount); err != nil {
		return false, err
	}
	if err := awaitReady(w.daemons, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	c := newClients(w.record, "search.example")
	stop := make(chan struct{})
	burst := make(chan float64, 4)
	go pace(c, w.daemons, burst, stop)
	burst <- 0.5
	time.Sleep(forgetRamp)
	burst <- 1
	time.Sleep(forgetSteady)
	w.record.line("burst begins")
	burst <- forgetBurst
	time.Sleep(forgetBurstFor)
	burst <- 1
	w.record.line("burst ends")
	if w.trouble {
		for _, s := range hurt {
			s.crash()
		}
	}
	time.Sleep(forgetDown)
	if w.trouble {
		for _, s := range hurt {
			if _, err := startSearcher(s.config, s.address, w.store, w.arrivals, w.record); err != nil {
				return false, err
			}
		}
	}
	w.record.line("second burst begins")
	burst <- forgetBurst
	time.Sleep(forgetBurstFor)
	burst <- 1
	time.Sleep(forgetAfter - forgetBurstFor)
	close(stop)
	c.wait.Wait()
	var requests []time.Time
	for _, r := range c.all() {
		requests = append(requests, r.at)
	}
	broken := false
	for shard := range forgetShards {
		if judgeBudget(w, shardName(shard), requests) {
			broken = true
		}
	}
	return broken, nil
}

// pace sends requests to all daemons in turn at forgetRate times the factor.
func pace(c *clients, daemons []*daemon, factors <-chan float64, stop <-chan struct{}) {
	factor := <-factors
	for n, next := 0, time.Now(); ; n++ {
		select {
		case <-stop:
			return
		case factor = <-factors:
		default:
		}
		c.send(daemons[n%len(daemons)].caller, "GET", "/all/2f", "", forgetDeadline)
		next = next.Add(time.Duration(float64(time.Second) / (forgetRate * factor)))
		time.Sleep(time.Until(next))
	}
}

// judgeBudget checks the rule BUDGET for a service: in any window the arrivals beyond the
// first of each request against the ratio of the requests, counted in that window, the one
// before or the one half a window before, whichever has most, and the slack.
func judgeBudget(w *world, service string, requests []time.Time) (broken bool) {
	sort.Slice(requests, func(i, j int) bool { return requests[i].Before(requests[j]) })
	list := w.arrivals.all()
	sort.Slice(list, func(i, j int) bool { return list[i].at.Before(list[j].at) })
	seen := map[string]bool{}
	var extras []time.Time
	for _, a := range list {
		if a.service != service {
			continue
		}
		if seen[a.id] {
			extras = append(extras, a.at)
		}
		seen[a.id] = true
	}
	worst, worstExtra, worstAllowed := -1e9, 0, 0.0
	var worstAt time.Time
	for i, end := range extras {
		from := end.Add(-budgetWindow)
		first := sort.Search(i+1, func(k int) bool { return extras[k].After(from) })
		most := 0
		for _, shift := range []time.Duration{0, budgetWindow / 2, budgetWindow} {
			most = max(most, countBetween(requests, from.Add(-shift), end.Add(-shift)))
		}
		allowed := budgetRatio*float64(most) + budgetSlack
		if over := float64(i-first+1) - allowed; over > worst {
			worst, worstExtra, worstAllowed, worstAt = over, i-first+1, allowed, end
		}
	}
	if len(extras) == 0 {
		w.record.say("%s: %d requests, no extra arrivals", service, len(requests))
		return false
	}
	w.record.say("%s: %d requests, %d extra arrivals; fullest window ends at %.1f s: %d extra, allowed %.0f", service, len(requests), len(extras), worstAt.Sub(w.record.started).Seconds(), worstExtra, worstAllowed)
	return worst > 0
}

func countBetween(times []time.Time, from, to time.Time) int {
	low := sort.Search(len(times), func(k int) bool { return times[k].After(from) })
	high := sort.Search(len(times), func(k int) bool { return times[k].After(to) })
	return high - low
}
