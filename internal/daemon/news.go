package daemon

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/scheduler"
)

const (
	// maxNewsPerPacket bounds the news of each kind in one packet.
	maxNewsPerPacket = 8
	// freshTime is how long news is passed on in packets; later it is compared by digest.
	freshTime = 30 * time.Second
	// newsFetchPause spaces fetching news from peers that have other news.
	newsFetchPause = 500 * time.Millisecond
	// newsTimeout bounds fetching news from a peer.
	newsTimeout = 2 * time.Second
)

// holding is who has the tickets of an incarnation that stopped.
type holding struct {
	holder string
	hops   uint32
	since  time.Time
}

// newsBoard holds what daemons tell each other about hand-overs. It is safe
// for concurrent use.
type newsBoard struct {
	mu sync.Mutex
	// holdings maps incarnations to the holders of their tickets.
	holdings map[string]holding
	lifetime time.Duration
}

func newNewsBoard(lifetime time.Duration) *newsBoard {
	return &newsBoard{holdings: map[string]holding{}, lifetime: lifetime}
}

// holder returns the daemon that has the tickets of an incarnation.
func (b *newsBoard) holder(incarnation string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h, ok := b.holdings[incarnation]
	return h.holder, ok
}

// hops returns how often the tickets of an incarnation were handed over.
func (b *newsBoard) hops(incarnation string) uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holdings[incarnation].hops
}

// note takes a hand-over if it is later than what is known, and reports whether it is.
func (b *newsBoard) note(incarnation string, h holding) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known, ok := b.holdings[incarnation]; ok && known.hops >= h.hops {
		return false
	}
	b.holdings[incarnation] = h
	return true
}

// freshNews is what goes into a packet.
type freshNews struct {
	draining []*messenger.Draining
	holdings []*messenger.Holding
	digest   uint64
}

// latest returns the news for a packet; draining is when each server began to leave.
func (b *newsBoard) latest(now time.Time, draining map[string]time.Time) freshNews {
	var out freshNews
	for searcher, since := range draining {
		out.digest ^= xxhash.Sum64String(searcher)
		if now.Sub(since) <= freshTime && len(out.draining) < maxNewsPerPacket {
			out.draining = append(out.draining, drainingRecord(now, searcher, since))
		}
	}
	for _, h := range b.all(now) {
		out.digest ^= xxhash.Sum64String(fmt.Sprint(h.GetIncarnation(), "/", h.GetHolder(), "/", h.GetHops()))
		if time.Duration(h.GetAgeMillis())*time.Millisecond <= freshTime && len(out.holdings) < maxNewsPerPacket {
			out.holdings = append(out.holdings, h)
		}
	}
	return out
}

// all returns every hand-over whose tickets may live, and forgets the others.
func (b *newsBoard) all(now time.Time) []*messenger.Holding {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*messenger.Holding
	for incarnation, h := range b.holdings {
		age := now.Sub(h.since)
		if age > b.lifetime {
			delete(b.holdings, incarnation)
			continue
		}
		out = append(out, &messenger.Holding{Incarnation: incarnation, Holder: h.holder, Hops: h.hops, AgeMillis: uint32(age.Milliseconds())})
	}
	return out
}

func drainingRecord(now time.Time, searcher string, since time.Time) *messenger.Draining {
	return &messenger.Draining{Searcher: searcher, AgeMillis: uint32(now.Sub(since).Milliseconds())}
}

// ago returns the time that was so many milliseconds before now. Ages travel
// in place of times, so that clocks need not agree.
func ago(now time.Time, millis uint32) time.Time {
	return now.Add(-time.Duration(millis) * time.Millisecond)
}

// takeNews learns news from a peer and passes on what is new.
func (d *Daemon) takeNews(now time.Time, draining []*messenger.Draining, holdings []*messenger.Holding) {
	for _, news := range draining {
		d.noteDrainingSince(ago(now, news.GetAgeMillis()), news.GetSearcher())
	}
	fresh := false
	for _, h := range holdings {
		known := holding{holder: h.GetHolder(), hops: h.GetHops(), since: ago(now, h.GetAgeMillis())}
		fresh = d.news.note(h.GetIncarnation(), known) || fresh
	}
	if fresh {
		d.members.Push()
	}
}

// compareNews makes sure that this daemon and the sender of a packet have the
// same news, before servers of the sender's domain are used again after a cut.
func (d *Daemon) compareNews(now time.Time, packet *messenger.Packet) {
	domain := senderDomain(packet)
	if domain == "" {
		return
	}
	if packet.GetNewsDigest() == d.news.latest(now, d.picker.DrainingServers(now)).digest {
		d.picker.RecordDomainSync(now, domain)
		return
	}
	if d.fetchingNews.CompareAndSwap(false, true) {
		go d.fetchNews(packet.GetFrom(), domain)
	}
}

func senderDomain(packet *messenger.Packet) string {
	for _, m := range packet.GetMembers() {
		if m.GetAddress() == packet.GetFrom() {
			return m.GetFailureDomain()
		}
	}
	return ""
}

// fetchNews learns all news of a peer.
func (d *Daemon) fetchNews(from, domain string) {
	defer d.fetchingNews.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), newsTimeout)
	defer cancel()
	news, err := d.linker.Peer(ctx, from).ListNews(ctx, &messenger.News{})
	if err != nil {
		klog.InfoS("peer gave no news", "peer", from, "cause", err.Error())
		return
	}
	now := time.Now()
	d.takeNews(now, news.GetDraining(), news.GetHoldings())
	d.picker.RecordDomainSync(now, domain)
	scheduler.Sleep(ctx, newsFetchPause)
}

// noteDraining takes the word of a backend server that it is leaving.
func (d *Daemon) noteDraining(searcher string) { d.noteDrainingSince(time.Now(), searcher) }

func (d *Daemon) noteDrainingSince(since time.Time, searcher string) {
	if !d.picker.MarkDraining(since, searcher) {
		return
	}
	klog.InfoS("backend server is leaving", "searcher", searcher)
	d.sender.Drain(searcher)
	d.members.Push()
}
