package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { scenarios["junk"] = playJunk }

// nesting is the depth of the foreign entry's bytes, which are 24 KB of valid JSON.
const nesting = 12_000

// playJunk writes an entry of kind servers whose bytes no searcher writes. Later a searcher
// reports that it is draining. At the end all daemons are killed and started again; that
// part is recorded and does not decide.
func playJunk(ctx context.Context, t *tier, trouble bool) ([]string, error) {
	if err := startLookups(ctx, t, 100*time.Millisecond); err != nil {
		return nil, err
	}
	l := startLoad(t)
	time.Sleep(2 * time.Second)
	if trouble {
		t.store.put("servers", "i-0000", json.RawMessage(strings.Repeat("[", nesting)+strings.Repeat("]", nesting)))
		t.rec.printf("another writer put servers/i-0000: bytes that cannot be read")
	}
	time.Sleep(stableMs * time.Millisecond)
	leaving := t.searchers[0]
	t.store.put("servers", leaving.instance, leaving.spec("draining", 2))
	acknowledged := time.Now()
	t.rec.printf("store acknowledged that searcher %s is draining", leaving.instance)
	time.Sleep(drainNotice + 3*time.Second)
	broken := lateArrivals(leaving, acknowledged)
	l.end()
	if l.served.Load() == 0 {
		return broken, fmt.Errorf("no request was served")
	}
	t.rec.printf("%d requests were served", l.served.Load())
	return broken, restartAll(t)
}

// restartAll kills all daemons, starts them again and records whether they become ready
// within recoverS.
func restartAll(t *tier) error {
	const recoverTime = 12 * time.Second
	for _, d := range t.daemons {
		d.signal(syscall.SIGKILL)
		<-d.exited
	}
	for n := range 3 {
		if _, err := t.startDaemon(n + 1); err != nil {
			return err
		}
	}
	started := time.Now()
	for _, d := range t.daemons[3:] {
		ready := d.isReady()
		for !ready && time.Since(started) < recoverTime {
			time.Sleep(50 * time.Millisecond)
			ready = d.isReady()
		}
		t.rec.printf("daemon %s, started again with all others, is ready after %.1f s: %v", d.ip, time.Since(started).Seconds(), ready)
	}
	return nil
}
