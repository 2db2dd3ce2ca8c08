package main

import (
	"context"
	"fmt"
	"time"
)

func init() { scenarios["limit"] = playLimit }

// playLimit lets the searchers name a rate limit, long after the seeds were lost.
func playLimit(ctx context.Context, t *tier, trouble bool) ([]string, error) {
	const perSecond, window, named = 5.0, 4 * time.Second, 12 * time.Second
	running, err := startWithoutSeeds(ctx, t, trouble, func(int) float64 { return 0 })
	if err != nil {
		return nil, err
	}
	time.Sleep(settled - calm)
	limited := make(chan time.Time, 1)
	time.AfterFunc(calm, func() {
		for _, s := range t.searchers {
			s.setLimit(perSecond)
		}
		t.rec.printf("searchers begin to name a limit of %.1f requests a second", perSecond)
		limited <- time.Now()
	})
	if _, err := sendFor(t, running, calm+named); err != nil {
		return nil, err
	}
	// The daemons have passed on such answers long before the rule begins to hold.
	holdsFrom := (<-limited).Add(stableMs*time.Millisecond + time.Second)
	const allowed = 1.5*perSecond*4 + 5
	var broken []string
	for _, s := range t.searchers {
		worst := 0
		arrivals := s.copyArrivals()
		for _, first := range arrivals {
			count := 0
			for _, a := range arrivals {
				if !first.at.Before(holdsFrom) && !a.at.Before(first.at) && a.at.Before(first.at.Add(window)) {
					count++
				}
			}
			worst = max(worst, count)
		}
		t.rec.printf("searcher %s got at most %d requests in 4 s; allowed %.0f", s.instance, worst, allowed)
		if float64(worst) > allowed {
			broken = append(broken, fmt.Sprintf("LIMIT: searcher %s got %d requests in 4 s; allowed %.0f", s.instance, worst, allowed))
		}
	}
	return broken, nil
}
