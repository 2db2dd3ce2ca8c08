package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

func init() { scenarios["foreign"] = playForeign }

// registrationExpiry is three heartbeat intervals: the store then removes an entry that is
// not written again.
const registrationExpiry = 3600 * time.Millisecond

// playForeign lets a searcher leave that never reports draining. Another writer then writes
// an entry for it in which the field version is missing.
func playForeign(ctx context.Context, t *tier, trouble bool) ([]string, error) {
	if err := startLookups(ctx, t, 100*time.Millisecond); err != nil {
		return nil, err
	}
	l := startLoad(t)
	time.Sleep(2 * time.Second)
	leaving := t.searchers[0]
	t.store.remove("servers", leaving.instance)
	acknowledged := time.Now()
	t.rec.printf("store acknowledged that the entry of searcher %s is removed; the searcher serves on", leaving.instance)
	time.Sleep(2 * time.Second)
	if trouble {
		spec := map[string]any{}
		_ = json.Unmarshal(leaving.spec("ready", 9), &spec)
		delete(spec, "version")
		text, _ := json.Marshal(spec)
		t.store.put("servers", leaving.instance, text)
		t.rec.printf("another writer put servers/%s: %s", leaving.instance, text)
	}
	time.Sleep(registrationExpiry)
	t.store.remove("servers", leaving.instance)
	time.Sleep(time.Second)
	broken := lateArrivals(leaving, acknowledged)
	l.end()
	if l.served.Load() == 0 {
		return broken, fmt.Errorf("no request was served")
	}
	t.rec.printf("%d requests were served", l.served.Load())
	return broken, nil
}
