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
	// maxNewsPerPacket is the maximum number of draining records, and of holdings,
	// in one packet.
	maxNewsPerPacket = 8
	// newsGossipPeriod is how long a record is included in packets. After that,
	// peers detect that they lack it by comparing digests.
	newsGossipPeriod = 30 * time.Second
	// newsFetchPause is the pause after fetching news from a peer with a different digest.
	newsFetchPause = 500 * time.Millisecond
	// newsTimeout limits fetching news from a peer.
	newsTimeout = 2 * time.Second
)

// holding names the daemon that holds the tickets of a stopped incarnation.
type holding struct {
	holder string
	hops   uint32
	since  time.Time
}

// newsStore holds the ticket hand-overs that daemons announce to each other. These
// and the draining backend servers, which the picker holds, are the news that
// packets carry. It is safe for concurrent use.
type newsStore struct {
	mu sync.Mutex
	// holdings maps incarnations to the holders of their tickets.
	holdings map[string]holding
	lifetime time.Duration
}

func newNewsStore(lifetime time.Duration) *newsStore {
	return &newsStore{holdings: map[string]holding{}, lifetime: lifetime}
}

// holder returns the address of the daemon that holds the tickets of an incarnation.
func (b *newsStore) holder(incarnation string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h, ok := b.holdings[incarnation]
	return h.holder, ok
}

// hops returns how many times the tickets of an incarnation were handed over.
func (b *newsStore) hops(incarnation string) uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holdings[incarnation].hops
}

// record stores a hand-over if it is later than the stored one, that is, has more
// hops. It reports whether it did.
func (b *newsStore) record(incarnation string, received holding) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known, ok := b.holdings[incarnation]; ok && known.hops >= received.hops {
		return false
	}
	b.holdings[incarnation] = received
	return true
}

// packetNews holds the news to put into a packet. The digest covers all news, not
// only the records in the packet.
type packetNews struct {
	draining []*messenger.Draining
	holdings []*messenger.Holding
	digest   uint64
}

// forPacket returns the news for a packet. draining maps each draining server to
// the time when it started to drain.
func (b *newsStore) forPacket(now time.Time, draining map[string]time.Time) packetNews {
	var out packetNews
	for searcher, since := range draining {
		out.digest ^= xxhash.Sum64String(searcher)
		if now.Sub(since) <= newsGossipPeriod && len(out.draining) < maxNewsPerPacket {
			out.draining = append(out.draining, drainingMessage(now, searcher, since))
		}
	}
	for _, h := range b.unexpired(now) {
		out.digest ^= xxhash.Sum64String(fmt.Sprint(h.GetIncarnation(), "/", h.GetHolder(), "/", h.GetHops()))
		if time.Duration(h.GetAgeMillis())*time.Millisecond <= newsGossipPeriod && len(out.holdings) < maxNewsPerPacket {
			out.holdings = append(out.holdings, h)
		}
	}
	return out
}

// unexpired returns all hand-overs whose tickets may still be valid, and deletes
// the others.
func (b *newsStore) unexpired(now time.Time) []*messenger.Holding {
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

func drainingMessage(now time.Time, searcher string, since time.Time) *messenger.Draining {
	return &messenger.Draining{Searcher: searcher, AgeMillis: uint32(now.Sub(since).Milliseconds())}
}

// timeBefore returns the time the given number of milliseconds before now. Messages
// carry ages instead of times, so that clocks need not be synchronized.
func timeBefore(now time.Time, millis uint32) time.Time {
	return now.Add(-time.Duration(millis) * time.Millisecond)
}

// applyNews records news from a peer, and pushes packets to the members if there
// was any unknown record.
func (d *Daemon) applyNews(now time.Time, draining []*messenger.Draining, holdings []*messenger.Holding) {
	for _, record := range draining {
		d.recordDrainingSince(timeBefore(now, record.GetAgeMillis()), record.GetSearcher())
	}
	changed := false
	for _, h := range holdings {
		received := holding{holder: h.GetHolder(), hops: h.GetHops(), since: timeBefore(now, h.GetAgeMillis())}
		changed = d.news.record(h.GetIncarnation(), received) || changed
	}
	if changed {
		d.members.Push()
	}
}

// compareNews compares the digest in a packet with this daemon's own. If they
// differ, the sender's news is fetched. The picker is told that the sender's
// failure domain was heard from only once the news is up to date, because after
// a network partition servers of that domain may be draining.
func (d *Daemon) compareNews(now time.Time, packet *messenger.Packet) {
	domain := senderDomain(packet)
	if domain == "" {
		return
	}
	if packet.GetNewsDigest() == d.news.forPacket(now, d.picker.DrainingServers(now)).digest {
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

// fetchNews fetches and applies all news of a peer.
func (d *Daemon) fetchNews(from, domain string) {
	defer d.fetchingNews.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), newsTimeout)
	defer cancel()
	news, err := d.linker.Peer(ctx, from).ListNews(ctx, &messenger.News{})
	if err != nil {
		klog.InfoS("failed to fetch news from peer", "peer", from, "cause", err.Error())
		return
	}
	now := time.Now()
	d.applyNews(now, news.GetDraining(), news.GetHoldings())
	d.picker.RecordDomainSync(now, domain)
	scheduler.Sleep(ctx, newsFetchPause)
}

// recordDraining records that a backend server has reported that it is draining.
func (d *Daemon) recordDraining(searcher string) { d.recordDrainingSince(time.Now(), searcher) }

// recordDrainingSince records that a backend server has been draining since the
// given time, and announces it if it was unknown.
func (d *Daemon) recordDrainingSince(since time.Time, searcher string) {
	if !d.picker.MarkDraining(since, searcher) {
		return
	}
	klog.InfoS("backend server is draining", "searcher", searcher)
	d.sender.Drain(searcher)
	d.members.Push()
}
