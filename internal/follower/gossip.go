package follower

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/assigner"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/scheduler"
)

// announceHead sends a head that the store has just confirmed to all daemons of this
// failure domain and to the forwarders of the other ones.
func (f *Follower) announceHead(head *messenger.Head) {
	if head == nil {
		return
	}
	live := f.gossip.Live()
	byDomain := map[string][]string{}
	for _, m := range live {
		if m.GetAddress() != f.address {
			byDomain[m.GetFailureDomain()] = append(byDomain[m.GetFailureDomain()], m.GetAddress())
		}
	}
	var to []string
	for domain, members := range byDomain {
		if domain != f.config.Settings.FailureDomain && domain != "" {
			members = assigner.TopRanked("store", members, forwardersPerDomain)
		}
		to = append(to, members...)
	}
	f.gossip.SendTo(to, &messenger.Packet{From: f.address, Heads: []*messenger.Head{head}, Target: f.config.Settings.FailureDomain})
}

// AnnounceDisplaced announces to every daemon that another process now has the
// address of a searcher.
func (f *Follower) AnnounceDisplaced(key string) {
	others := f.withoutSelf(addresses(f.gossip.Live(), nil))
	f.gossip.SendTo(others, &messenger.Packet{
		From: f.address, Target: f.config.Settings.FailureDomain, Draining: []*messenger.Draining{{Searcher: key}},
	})
}

// localAddresses returns the addresses of the live daemons of this failure domain.
func (f *Follower) localAddresses() []string {
	return addresses(f.gossip.Live(), func(m *messenger.Member) bool {
		return m.GetFailureDomain() == f.config.Settings.FailureDomain
	})
}

// withoutSelf removes this daemon's address from a list, which it changes.
func (f *Follower) withoutSelf(list []string) []string {
	return slices.DeleteFunc(list, func(a string) bool { return a == f.address })
}

// forwardHead sends a head to the daemons of this failure domain if this daemon is
// one of the domain's forwarders.
func (f *Follower) forwardHead(head *messenger.Head) {
	local := f.localAddresses()
	if head == nil || !slices.Contains(assigner.TopRanked("store", local, forwardersPerDomain), f.address) {
		return
	}
	f.gossip.SendTo(f.withoutSelf(local), &messenger.Packet{From: f.address, Heads: []*messenger.Head{head}, Target: f.config.Settings.FailureDomain})
}

// attachState adds the heads of this daemon's documents, the rate limits that it knows
// and its number of daemons to packets of the membership protocol.
func (f *Follower) attachState(now time.Time, packets []*messenger.Packet) {
	var heads []*messenger.Head
	for _, head := range []*messenger.Head{f.configurations.head(now), f.servers.head(now)} {
		if head != nil {
			heads = append(heads, head)
		}
	}
	limits := encodeRateLimits(now, f.config.RateLimits(now))
	for _, p := range packets {
		p.Heads = heads
		p.RateLimits, p.Daemons = limits, uint32(f.State().Daemons)
	}
}

// handlePacket passes on observations and shared state, reports displaced searchers and
// compares a peer's heads with this daemon's documents.
func (f *Follower) handlePacket(now time.Time, packet *messenger.Packet) {
	f.recordPeer(now, packet.GetFrom())
	for _, displaced := range packet.GetDraining() {
		f.config.OnDisplaced(now, displaced.GetSearcher())
	}
	f.handleObservations(now, packet)
	// Packets that waited while this process was suspended would pass off old rate limits
	// as new ones, here and on the daemons that it tells them.
	if !f.config.Scheduler.JustResumed(now) {
		f.handleSharedState(now, now, packet)
	}
	// Only announcements (kind 0) carry the sender's failure domain, as their target.
	otherDomain := packet.GetKind() == 0 && packet.GetTarget() != f.config.Settings.FailureDomain
	for _, head := range packet.GetHeads() {
		switch head.GetDocument() {
		case documentConfiguration:
			handleHead(f, f.configurations, now, peerHead{from: packet.GetFrom(), head: head, otherDomain: otherDomain})
		case documentServers:
			handleHead(f, f.servers, now, peerHead{from: packet.GetFrom(), head: head, otherDomain: otherDomain})
		}
	}
}

// handleHead fetches the document from the peer if the peer's head is newer. A head
// from another failure domain is forwarded once this daemon has its content.
func handleHead[T any](f *Follower, d *document[T], now time.Time, received peerHead) {
	same, behind := d.handlePeerHead(now, received)
	if same && received.otherDomain {
		f.forwardHead(d.head(now))
	}
	if !behind {
		return
	}
	go func() {
		fetched := f.fetchDocument(context.Background(), received.from, d.name, d.handleFetchReply)
		next, otherDomain := d.resolvePendingHead()
		if fetched && (received.otherDomain || otherDomain) {
			f.forwardHead(d.head(time.Now()))
		}
		if next != nil {
			handleHead(f, d, time.Now(), *next)
		}
	}()
}

// otherSeeds returns the addresses of the seeds without this daemon.
func (f *Follower) otherSeeds() []string {
	var out []string
	for _, ip := range *f.seeds.Load() {
		if ip != f.config.Settings.IP {
			out = append(out, f.peerAddress(ip))
		}
	}
	return out
}

// askSeeds fetches a document from all seeds at once, before this daemon reads the store:
// a store that was restored from a copy may have lost a version, or that a searcher has
// left, and the peers know it. At the tier's first start there is none.
func askSeeds[T any](ctx context.Context, f *Follower, d *document[T]) {
	if f.config.Settings.Bootstrap {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, seedAnswerTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, seed := range f.otherSeeds() {
		wait.Go(func() { f.fetchDocument(ctx, seed, d.name, d.handleFetchReply) })
	}
	wait.Wait()
}

// fetchFromSeeds fetches both documents from random seeds, one at a time, until the
// state is ready or seedFetchPeriod is over.
func (f *Follower) fetchFromSeeds(ctx context.Context) {
	seeds := f.otherSeeds()
	for until := time.Now().Add(seedFetchPeriod); len(seeds) > 0 && !f.State().Ready() && time.Now().Before(until); {
		scheduler.Sleep(ctx, seedFetchInterval+rand.N(seedFetchInterval))
		if ctx.Err() != nil {
			return
		}
		from := seeds[rand.IntN(len(seeds))]
		f.fetchDocument(ctx, from, f.configurations.name, f.configurations.handleFetchReply)
		f.fetchDocument(ctx, from, f.servers.name, f.servers.handleFetchReply)
	}
}

// fetchDocument fetches a document from a peer and passes the reply, nil on failure,
// and its age to handle.
func (f *Follower) fetchDocument(ctx context.Context, from, name string, handle func(now time.Time, reply *messenger.FetchReply, age time.Duration) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	sentAt := time.Now()
	reply, err := f.peers.Peer(ctx, from).Fetch(ctx, &messenger.FetchRequest{Document: name})
	if err != nil {
		klog.InfoS("failed to fetch document from peer", "document", name, "peer", from, "cause", err.Error())
		reply = nil
	}
	now := time.Now()
	if err == nil {
		f.recordPeer(now, from)
	}
	f.handleSharedState(now, sentAt, reply)
	f.handleHidden(now, reply)
	return handle(now, reply, time.Duration(reply.GetAgeMillis())*time.Millisecond+now.Sub(sentAt))
}
