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
	// peers detect by comparing digests that they lack it.
	newsGossipPeriod = 30 * time.Second
	// newsFetchPause is the pause after fetching news from a peer with a different digest.
	newsFetchPause = 500 * time.Millisecond
	// newsTimeout bounds fetching news from a peer.
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
func (s *newsStore) holder(incarnation string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.holdings[incarnation]
	return h.holder, ok
}

// hops returns how many times the tickets of an incarnation were handed over.
func (s *newsStore) hops(incarnation string) uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holdings[incarnation].hops
}

// record stores a hand-over if it is later than the stored one, that is, has more
// hops. It reports whether it did.
func (s *newsStore) record(incarnation string, received holding) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stored, ok := s.holdings[incarnation]; ok && stored.hops >= received.hops {
		return false
	}
	s.holdings[incarnation] = received
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
func (s *newsStore) forPacket(now time.Time, draining map[string]time.Time) packetNews {
	var out packetNews
	for searcher, since := range draining {
		out.digest ^= xxhash.Sum64String(searcher)
		if now.Sub(since) <= newsGossipPeriod && len(out.draining) < maxNewsPerPacket {
			out.draining = append(out.draining, drainingMessage(now, searcher, since))
		}
	}
	for _, h := range s.unexpired(now) {
		out.digest ^= xxhash.Sum64String(fmt.Sprint(h.GetIncarnation(), "/", h.GetHolder(), "/", h.GetHops()))
		if time.Duration(h.GetAgeMillis())*time.Millisecond <= newsGossipPeriod && len(out.holdings) < maxNewsPerPacket {
			out.holdings = append(out.holdings, h)
		}
	}
	return out
}

// unexpired returns all hand-overs whose tickets may still be valid, and deletes
// the others.
func (s *newsStore) unexpired(now time.Time) []*messenger.Holding {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*messenger.Holding
	for incarnation, h := range s.holdings {
		age := now.Sub(h.since)
		if age > s.lifetime {
			delete(s.holdings, incarnation)
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

// applyNews records news from a peer. If a record is new to this daemon, packets
// are sent to a few members at once instead of at the next interval.
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

// compareNews compares the news digest in a packet with this daemon's own and
// fetches the sender's news if they differ. The sender's failure domain is recorded
// as synchronized in the picker only once the news is up to date, because servers
// of that domain may have started to drain during a network partition.
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
// given time, and announces it to the members if it was not recorded before.
func (d *Daemon) recordDrainingSince(since time.Time, searcher string) {
	if !d.picker.MarkDraining(since, searcher) {
		return
	}
	klog.InfoS("backend server is draining", "searcher", searcher)
	d.sender.Drain(searcher)
	d.members.Push()
}
