package stager_test

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/stager"
)

// keepingCaller sends requests to one daemon and uses each connection for as long as the
// daemon announces to keep it. It does not look at an idle connection: a request that finds
// it closed would cross the close on a longer network.
type keepingCaller struct {
	daemon *stager.TierDaemon
	rng    *rand.Rand
	// unannounced returns how long a connection may be idle if nothing is announced.
	unannounced func() time.Duration
	// first and kept hold the first requests of connections and the others.
	first, kept []partedRequest
}

// shortIdleTime limits the pauses between connections and half of those on a connection.
const shortIdleTime = 200 * time.Millisecond

// run sends requests until the given time.
func (c *keepingCaller) run(end time.Time) {
	for time.Now().Before(end) {
		conn, err := dialCaller(c.daemon)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c.use(conn, end)
		_ = conn.Close()
		time.Sleep(c.pause(shortIdleTime))
	}
}

// use sends requests on a connection until its time is over.
func (c *keepingCaller) use(conn net.Conn, end time.Time) {
	r := c.send(conn)
	c.first = append(c.first, r)
	for r.err == nil && !r.reply.Closes && time.Now().Before(end) {
		received := time.Now()
		lifetime, ok := r.reply.KeptFor()
		if !ok {
			lifetime = c.unannounced()
		}
		until := received.Add(lifetime)
		pause := c.pause(shortIdleTime)
		if c.rng.IntN(2) == 0 {
			pause = c.pause(lifetime)
		}
		time.Sleep(min(pause, lifetime, time.Until(end)))
		if !time.Now().Before(until) {
			return
		}
		r = c.send(conn)
		r.late = r.firstBy.After(until)
		c.kept = append(c.kept, r)
	}
}

// pause returns a random time up to a limit.
func (c *keepingCaller) pause(limit time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(limit) + 1))
}

// send sends a request, half of the time in two parts.
func (c *keepingCaller) send(conn net.Conn) partedRequest {
	now, first, rest := time.Now(), 0, time.Duration(0)
	if c.rng.IntN(2) == 0 {
		first, rest = 1+c.rng.IntN(100), time.Duration(c.rng.IntN(100))*time.Millisecond
	}
	return sendInParts(conn, c.rng.IntN(3), first, now, now.Add(rest))
}

// checkKeptConnections runs callers at every daemon for a while, beside meanwhile, and
// requires that each of their requests on a kept connection gets a whole answer.
func checkKeptConnections(t *testing.T, tier *stager.Tier, duration time.Duration, unannounced func() time.Duration, meanwhile func()) {
	t.Helper()
	const callersPerDaemon = 30
	is := is.New(t)
	var callers []*keepingCaller
	for _, d := range tier.Daemons {
		for range callersPerDaemon {
			rng := rand.New(rand.NewPCG(47, uint64(len(callers))))
			callers = append(callers, &keepingCaller{daemon: d, rng: rng, unannounced: unannounced})
		}
	}
	begin := time.Now()
	end := begin.Add(duration)
	var wait sync.WaitGroup
	for _, c := range callers {
		wait.Go(func() { c.run(end) })
	}
	meanwhile()
	wait.Wait()
	first, firstLost, late, judged, lost := 0, 0, 0, 0, 0
	for _, c := range callers {
		first += len(c.first)
		for _, r := range c.first {
			if r.err != nil {
				firstLost++
				t.Logf("%s: the first request of a connection, at %v: %v", r.path, r.firstBy.Sub(begin).Round(time.Millisecond), r.err)
			}
		}
		for _, r := range c.kept {
			switch {
			case r.late:
				late++
				continue
			case r.err != nil:
				lost++
				t.Logf("%s, at %v: %v", r.path, r.firstBy.Sub(begin).Round(time.Millisecond), r.err)
			default:
				checkParted(t, tier, r)
			}
			judged++
		}
	}
	t.Logf("%d requests on kept connections, %d lost, %d more late; %d first requests, %d lost", judged, lost, late, first, firstLost)
	is.True(judged >= 2*len(callers))
	is.Equal(lost, 0)
}

// TestTierStopsLoseNoRequestsOnKeptConnections guards against requests that get no answer
// because a stopping daemon closes idle connections whose end it has not announced.
func TestTierStopsLoseNoRequestsOnKeptConnections(t *testing.T) {
	t.Parallel()
	tier := newTier(t, nil)
	begin := time.Now()
	stops := func(n int) {
		rng := rand.New(rand.NewPCG(48, uint64(n)))
		for range 2 {
			time.Sleep(200*time.Millisecond + time.Duration(rng.IntN(1500))*time.Millisecond)
			d, stopAt := tier.Daemons[n], time.Now()
			d.Stop()
			t.Logf("daemon %d stops at %v", n, stopAt.Sub(begin).Round(time.Millisecond))
			if err := <-d.RunErr; err != nil {
				t.Error(err)
			}
			took := time.Since(stopAt)
			t.Logf("daemon %d has stopped at %v", n, time.Since(begin).Round(time.Millisecond))
			if took > 6*time.Second {
				t.Errorf("daemon %d took %v to stop", n, took)
			}
			if _, err := tier.StartDaemon(n, false); err != nil {
				t.Error(err)
				return
			}
		}
	}
	checkKeptConnections(t, tier, 9*time.Second, func() time.Duration { return 12 * time.Second }, func() {
		var wait sync.WaitGroup
		for n := range tier.Daemons {
			wait.Go(func() { stops(n) })
		}
		wait.Wait()
	})
}

// TestTierLoweredIdleLimitLosesNoRequestsOnKeptConnections guards against requests that get
// no answer because a lower idle limit ends connections that were to be kept for longer.
func TestTierLoweredIdleLimitLosesNoRequestsOnKeptConnections(t *testing.T) {
	t.Parallel()
	tier := newTier(t, nil)
	const high, low = 15 * time.Second, time.Second
	// limit is the lowest of the idle limits that may be in force.
	var limit atomic.Int64
	limit.Store(int64(high))
	checkKeptConnections(t, tier, 9*time.Second, func() time.Duration { return time.Duration(limit.Load()) * 4 / 5 }, func() {
		for range 2 {
			time.Sleep(time.Second)
			limit.Store(int64(low))
			applyLimits(t, tier, low)
			time.Sleep(2 * time.Second)
			applyLimits(t, tier, high)
			limit.Store(int64(high))
		}
	})
}

// TestTierIdleLimitLosesNoRequestsOnKeptConnections guards against requests that get no
// answer because connections are to be kept for longer than the idle limit allows.
func TestTierIdleLimitLosesNoRequestsOnKeptConnections(t *testing.T) {
	t.Parallel()
	tier := newTier(t, nil)
	const idle = 2 * time.Second
	applyLimits(t, tier, idle)
	checkKeptConnections(t, tier, 6*time.Second, func() time.Duration { return idle * 4 / 5 }, func() {})
}
