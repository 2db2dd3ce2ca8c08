package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// drainTime is the bound drainMs of the settings.
const drainTime = 3 * time.Second

// foreignEntry returns an entry of another writer that names no searcher: all fields of a
// registration are missing, since the writer spells its fields in another way; or, by hand,
// only the field born is missing ("bornMissing") or of another type ("bornText").
func foreignEntry(address, variant string) map[string]any {
	entry := map[string]any{
		"service": serviceOrders, "addr": address, "zone": "a", "version": "v1", "maxConcurrency": 5,
		"state": "ready", "warmupLeftMs": 0, "seq": 1,
	}
	switch variant {
	case "bornMissing":
	case "bornText":
		entry["born"] = "1796665000000"
	default:
		return map[string]any{
			"Service": serviceOrders, "Addr": address, "Zone": "a", "Version": "v1", "MaxConcurrency": 5,
			"State": "ready", "WarmupLeftMs": 0, "Seq": 1,
		}
	}
	return entry
}

// runForeign checks ROUTE while the store holds an entry of another writer.
func runForeign(h *harness) (bool, error) {
	searchers, err := h.addSearchers(serviceOrders, 3, 220*time.Millisecond)
	if err != nil {
		return false, err
	}
	// mirror is a sound server of the other writer. No configuration names its service.
	mirror := &searcher{id: "mirror-1", service: "order-mirror", zone: "a", work: 220 * time.Millisecond}
	if err := mirror.start(h.ips[3]); err != nil {
		return false, err
	}
	h.searchers = append(h.searchers, mirror)
	if err := h.awaitReady(); err != nil {
		return false, err
	}
	if h.trouble {
		spec, err := json.Marshal(foreignEntry(mirror.address, os.Getenv("ENTRY")))
		if err != nil {
			return false, err
		}
		h.store.put("servers", mirror.id, spec)
		h.record.log(time.Now(), "another writer wrote the entry %s: %s", mirror.id, spec)
	}
	replies := h.traffic(http.MethodPost, "orders", 40, 8*time.Second, 4*time.Second)
	h.recordTraffic(replies)
	h.recordArrivals(append(searchers, mirror))
	foreign := 0
	for _, r := range replies {
		if r.err == nil && strings.HasPrefix(r.header.Get("Fuchsiastile-Server-Stamp"), mirror.service) {
			foreign++
		}
	}
	ran := 0
	for _, a := range mirror.log() {
		if a.ran {
			ran++
		}
	}
	h.record.log(time.Now(), "of %d requests %d were run by %s, allowed 0; %d clients got its answer as a success", len(replies), ran, mirror.id, foreign)
	return ran > 0, nil
}

const (
	// foreignEntries is the number of entries of the other writer, and foreignEntryBytes
	// the size of each; the store takes up to valueBytes = 1,048,576.
	foreignEntries    = 110
	foreignEntryBytes = 600_000
)

// runCrowded checks DRAIN while the store holds many long entries of another writer.
func runCrowded(h *harness) (bool, error) {
	searchers, err := h.addSearchers(serviceOrders, 8, 220*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := h.awaitReady(); err != nil {
		return false, err
	}
	if h.trouble {
		spec, err := json.Marshal(strings.Repeat("x", foreignEntryBytes))
		if err != nil {
			return false, err
		}
		for n := range foreignEntries {
			h.store.put("servers", fmt.Sprintf("report-%03d", n), spec)
			time.Sleep(50 * time.Millisecond)
		}
		h.record.log(time.Now(), "another writer wrote %d entries of %d bytes", foreignEntries, foreignEntryBytes)
	}
	time.Sleep(15 * time.Second)
	leaver := searchers[0]
	acknowledged := time.Now()
	if !leaver.register(h.store, "draining") {
		return false, fmt.Errorf("the store did not take the registration")
	}
	leaver.leave()
	h.record.log(acknowledged, "the store acknowledged that %s is draining", leaver.id)
	exit := time.AfterFunc(drainTime+3*time.Second, func() {
		h.record.log(time.Now(), "%s exits", leaver.id)
		leaver.exit()
		h.store.remove("servers", leaver.id)
	})
	defer exit.Stop()
	replies := h.traffic(http.MethodPost, "orders", 60, 10*time.Second, 4*time.Second)
	h.recordTraffic(replies)
	h.recordArrivals(searchers)
	late := 0
	for _, a := range leaver.log() {
		if a.at.After(acknowledged.Add(drainTime)) {
			late++
		}
	}
	lost := 0
	for _, r := range replies {
		if r.err != nil || r.status == http.StatusBadGateway {
			lost++
		}
	}
	h.record.log(time.Now(), "%d requests reached %s later than drainMs after the acknowledgement, allowed 0; %d of %d requests were lost", late, leaver.id, lost, len(replies))
	return late > 0, nil
}

// storeOutage is the longest outage of the whole store in the site file sap-pads.
const storeOutage = 4500 * time.Millisecond

// runLeaving checks DRAIN for a searcher that says in all its answers that it leaves, while
// the store is down.
func runLeaving(h *harness) (bool, error) {
	searchers, err := h.addSearchers(serviceOrders, 8, 220*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := h.awaitReady(); err != nil {
		return false, err
	}
	leaver := searchers[0]
	if h.trouble {
		h.store.setDown(true)
		h.record.log(time.Now(), "the store is down for %s", storeOutage)
		back := time.AfterFunc(storeOutage, func() {
			h.store.setDown(false)
			h.record.log(time.Now(), "the store is back")
		})
		defer back.Stop()
	}
	leaving := time.AfterFunc(200*time.Millisecond, func() {
		leaver.leave()
		h.record.log(time.Now(), "%s leaves and says so in all its answers", leaver.id)
		for !leaver.register(h.store, "draining") {
			time.Sleep(100 * time.Millisecond)
		}
		h.record.log(time.Now(), "the store acknowledged that %s is draining", leaver.id)
	})
	defer leaving.Stop()
	replies := h.traffic(http.MethodPost, "orders", 80, 8*time.Second, 4*time.Second)
	h.recordTraffic(replies)
	h.recordArrivals(searchers)
	late := h.countAfterLeaving(replies, leaver)
	h.record.log(time.Now(), "%d requests that were sent later than drainMs after their daemon had passed on an answer with Server-Leaving reached %s, allowed 0", late, leaver.id)
	return late > 0, nil
}

// countAfterLeaving returns how many requests, sent by clients later than drainMs after a
// daemon had passed on an answer with Server-Leaving, reached the searcher from that daemon.
func (h *harness) countAfterLeaving(replies []reply, leaver *searcher) int {
	byID := map[string]reply{}
	toldAt := map[int]time.Time{}
	for _, r := range replies {
		byID[r.id] = r
		fromLeaver := r.err == nil && strings.HasPrefix(r.header.Get("Fuchsiastile-Server-Stamp"), leaver.service+"."+leaver.id+".")
		if !fromLeaver || r.header.Get("Server-Leaving") == "" {
			continue
		}
		// The answer was passed on before the client had it; the time at which the client
		// sent the request would be too early, so that of the searcher's answer is taken.
		for _, a := range leaver.log() {
			if at, ok := toldAt[r.daemon]; a.id == r.id && (!ok || a.answeredAt.Before(at)) {
				toldAt[r.daemon] = a.answeredAt
			}
		}
	}
	for index, at := range toldAt {
		h.record.log(at, "%s was told that %s leaves", h.daemons[index].name, leaver.id)
	}
	late := 0
	for _, a := range leaver.log() {
		r := byID[a.id]
		// 100 ms cover the way of the answer through the daemon.
		if at, ok := toldAt[r.daemon]; ok && r.sentAt.After(at.Add(drainTime+100*time.Millisecond)) {
			late++
		}
	}
	return late
}

const (
	// garbleTime, one answer in garbleStep (0.03) and garblers of the twelve searchers (0.6)
	// are within the doses of garble "extra late" in the site file sap-pads.
	garbleTime = 5 * time.Second
	garbleStep = 34
	garblers   = 7
)

// runMerged checks MIXED while searchers send, after complete answers, the beginning of a
// second one.
func runMerged(h *harness) (bool, error) {
	var searchers []*searcher
	var garbling time.Time
	for shard := range shardCount {
		list, err := h.addSearchers(shardName(shard), 3, 10*time.Millisecond)
		if err != nil {
			return false, err
		}
		searchers = append(searchers, list...)
	}
	if err := h.awaitReady(); err != nil {
		return false, err
	}
	garbling = time.Now()
	if h.trouble {
		for n, s := range searchers {
			if n < garblers {
				s.mu.Lock()
				s.cutExtra = func(n int) bool { return n%garbleStep == 0 && time.Since(garbling) < garbleTime }
				s.mu.Unlock()
			}
		}
		h.record.log(garbling, "searchers send the beginning of a second answer after every %d-th one, for %s", garbleStep, garbleTime)
	}
	replies := h.traffic(http.MethodGet, "search", 100, 6*time.Second, 2500*time.Millisecond)
	h.recordTraffic(replies)
	wrong := 0
	for _, r := range replies {
		if r.err != nil || r.status != http.StatusOK {
			continue
		}
		for _, stamp := range strings.Split(r.header.Get("Fuchsiastile-Part-Stamps"), ",") {
			if !slices.ContainsFunc(searchers, func(s *searcher) bool { return s.stamp(r.id) == strings.TrimSpace(stamp) }) {
				wrong++
				h.record.log(r.sentAt, "the success for request %s names the signature %q, which is of another request", r.id, strings.TrimSpace(stamp))
			}
		}
	}
	h.record.log(time.Now(), "%d signatures in successes are no good answer to their request, allowed 0", wrong)
	return wrong > 0, nil
}

const (
	// refusalTime, three of five requests (0.6) and two of three searchers (up to 0.8) are
	// within the doses of srv_grey "shed across" in the site file sap-pads.
	refusalTime  = 9 * time.Second
	retryAfter   = 3 * time.Second
	settlingTime = 500 * time.Millisecond
	allowedEarly = 2
)

// runRetryAfter checks BUDGET for searchers that turn requests away with 503 and
// Retry-After.
func runRetryAfter(h *harness) (bool, error) {
	searchers, err := h.addSearchers(serviceFeed, 3, 220*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := h.awaitReady(); err != nil {
		return false, err
	}
	if h.trouble {
		begin := time.Now()
		for _, s := range searchers[:2] {
			s.mu.Lock()
			s.refuse = func(n int) (time.Duration, bool) { return retryAfter, n%5 < 3 && time.Since(begin) < refusalTime }
			s.mu.Unlock()
		}
		h.record.log(begin, "two of three searchers turn away 0.6 of their requests for %s with 503 and Retry-After: 3", refusalTime)
	}
	replies := h.traffic(http.MethodGet, "feed", 45, 10*time.Second, 4*time.Second)
	h.recordTraffic(replies)
	h.recordArrivals(searchers)
	daemonOf := map[string]int{}
	for _, r := range replies {
		daemonOf[r.id] = r.daemon
	}
	worst := 0
	for _, s := range searchers {
		worst = max(worst, h.worstRetryAfter(s, daemonOf))
	}
	h.record.log(time.Now(), "at most %d requests reached a searcher from one daemon between 0.5 s after a refusal and the end of its Retry-After, allowed %d", worst, allowedEarly)
	return worst > allowedEarly, nil
}

// worstRetryAfter returns the greatest number of requests that reached a searcher from one
// daemon while one of its refusals asked that daemon for none.
func (h *harness) worstRetryAfter(s *searcher, daemonOf map[string]int) int {
	arrivals, worst := s.log(), 0
	for _, refusal := range arrivals {
		if refusal.status != http.StatusServiceUnavailable {
			continue
		}
		count := 0
		for _, a := range arrivals {
			if daemonOf[a.id] == daemonOf[refusal.id] && a.at.After(refusal.answeredAt.Add(settlingTime)) && a.at.Before(refusal.answeredAt.Add(refusal.retryAfter)) {
				count++
			}
		}
		if count > worst {
			worst = count
			h.record.log(refusal.answeredAt, "%s answered %s 503 with Retry-After; %d requests reached it from there meanwhile", s.id, h.daemons[daemonOf[refusal.id]].name, count)
		}
	}
	return worst
}

const (
	// inventoryEntries is the number of entries of the other writer. Each has about 1,100
	// bytes, of which inventoryText in each of four texts are XML.
	inventoryEntries = 18_000
	inventoryText    = 240
	// memoryLimit is memoryMb of the settings. A process that exceeds it is killed and
	// started again after restartDelay.
	memoryLimit   = 206 << 20
	restartDelay  = 300 * time.Millisecond
	memorySamples = 10 * time.Millisecond
	// A fault are ends of processes, three times on a tenth of the machines, two at least.
	faultEnds, faultMachines = 3, 2
)

// runInventory checks Fault while another writer registers many servers of services that no
// configuration names.
func runInventory(h *harness) (bool, error) {
	searchers, err := h.addSearchers(serviceOrders, 6, 220*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := h.awaitReady(); err != nil {
		return false, err
	}
	if h.trouble {
		go h.writeInventory()
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	peaks, ends := make([]int64, len(h.daemons)), make([]int, len(h.daemons))
	for n, d := range h.daemons {
		wait.Go(func() { peaks[n], ends[n] = h.limitMemory(d, stop) })
	}
	replies := h.traffic(http.MethodPost, "orders", 40, 40*time.Second, 4*time.Second)
	close(stop)
	wait.Wait()
	h.recordTraffic(replies)
	h.recordArrivals(searchers)
	machines := 0
	for n, d := range h.daemons {
		h.record.log(time.Now(), "%s was killed %d times for its memory; it took at most %d MB, allowed 206", d.name, ends[n], peaks[n]>>20)
		if ends[n] >= faultEnds {
			machines++
		}
	}
	lost := 0
	for _, r := range replies {
		if r.err != nil || r.status == http.StatusBadGateway {
			lost++
		}
	}
	h.record.log(time.Now(), "%d of %d processes ended three times or more, allowed 1; %d of %d requests got no answer or 502", machines, len(h.daemons), lost, len(replies))
	return machines >= faultMachines, nil
}

// writeInventory writes the entries of the other writer, about 2,000 a second.
func (h *harness) writeInventory() {
	pad := strings.Repeat("<a/>", inventoryText/4)
	for n := range inventoryEntries {
		spec, err := encode(map[string]any{
			"service": fmt.Sprintf("stock-%d-%s", n, pad), "addr": fmt.Sprintf("127.250.%d.%d:80", n/250, 1+n%250), "zone": "zone-" + pad, "version": "v-" + pad,
			"maxConcurrency": 5, "state": "ready", "warmupLeftMs": 0, "seq": 1, "born": 1_796_665_000_000,
		})
		if err == nil {
			h.store.put("servers", fmt.Sprintf("stock-%05d-%s", n, pad), spec)
		}
		if n%20 == 0 {
			time.Sleep(10 * time.Millisecond)
		}
	}
	h.record.log(time.Now(), "another writer wrote %d entries of services that no configuration names", inventoryEntries)
}

// limitMemory kills a daemon that exceeds its memory and starts it again, as the platform
// does, until stop is closed. It returns the most memory that it saw and how often it killed
// the daemon.
func (h *harness) limitMemory(d *daemon, stop <-chan struct{}) (peak int64, ends int) {
	ticker := time.NewTicker(memorySamples)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return peak, ends
		case <-ticker.C:
		}
		memory := d.memory()
		peak = max(peak, memory)
		if memory <= memoryLimit {
			continue
		}
		ends++
		h.record.log(time.Now(), "%s takes %d MB and is killed", d.name, memory>>20)
		_ = d.command.Process.Kill()
		<-d.exited
		time.Sleep(restartDelay)
		d.restarted = true
		if err := d.start(h.root, h.folder, h.ips[:3], h.store.address); err != nil {
			h.record.log(time.Now(), "%s: %v", d.name, err)
			return peak, ends
		}
	}
}
