package follower

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/assigner"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/scheduler"
)

// confirm tells the other daemons what the store has just confirmed: those of
// this failure domain, and a few of each other one, which pass it on.
func (f *Follower) confirm(head *messenger.Head) {
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
	for domain, list := range byDomain {
		if domain != f.config.Settings.FailureDomain && domain != "" {
			list = assigner.TopRanked("store", list, forwardersPerDomain)
		}
		to = append(to, list...)
	}
	f.gossip.SendTo(to, &messenger.Packet{From: f.address, Heads: []*messenger.Head{head}, Target: f.config.Settings.FailureDomain})
}

// AnnounceDisplaced tells every daemon of a searcher whose address another process has.
func (f *Follower) AnnounceDisplaced(key string) {
	others := addresses(f.gossip.Live(), func(m *messenger.Member) bool { return m.GetAddress() != f.address })
	f.gossip.SendTo(others, &messenger.Packet{
		From: f.address, Target: f.config.Settings.FailureDomain, Draining: []*messenger.Draining{{Searcher: key}},
	})
}

// pass tells this failure domain what a daemon elsewhere said, if that is this
// daemon's part.
func (f *Follower) pass(head *messenger.Head) {
	near := addresses(f.gossip.Live(), func(m *messenger.Member) bool {
		return m.GetFailureDomain() == f.config.Settings.FailureDomain
	})
	if head == nil || !slices.Contains(assigner.TopRanked("store", near, forwardersPerDomain), f.address) {
		return
	}
	near = slices.DeleteFunc(near, func(a string) bool { return a == f.address })
	f.gossip.SendTo(near, &messenger.Packet{From: f.address, Heads: []*messenger.Head{head}, Target: f.config.Settings.FailureDomain})
}

// decorate adds what this daemon knows to membership packets.
func (f *Follower) decorate(now time.Time, packets []*messenger.Packet) {
	var heads []*messenger.Head
	for _, head := range []*messenger.Head{f.configurations.head(now), f.servers.head(now)} {
		if head != nil {
			heads = append(heads, head)
		}
	}
	for _, p := range packets {
		p.Heads = heads
	}
}

// heard compares what a peer knows with what this daemon does.
func (f *Follower) heard(now time.Time, packet *messenger.Packet) {
	for _, displaced := range packet.GetDraining() {
		f.config.OnDisplaced(now, displaced.GetSearcher())
	}
	// Only packets that confirm something name the sender's failure domain.
	far := packet.GetKind() == 0 && packet.GetTarget() != f.config.Settings.FailureDomain
	for _, head := range packet.GetHeads() {
		switch head.GetDocument() {
		case documentConfiguration:
			compare(f, f.configurations, now, heardHead{from: packet.GetFrom(), head: head, far: far})
		case documentServers:
			compare(f, f.servers, now, heardHead{from: packet.GetFrom(), head: head, far: far})
		}
	}
}

// compare takes a peer's head and fetches what this daemon lacks; a head from
// another failure domain is passed on once its content is known.
func compare[T any](f *Follower, d *document[T], now time.Time, heard heardHead) {
	same, behind := d.hear(now, heard)
	if same && heard.far {
		f.pass(d.head(now))
	}
	if !behind {
		return
	}
	go func() {
		known := f.fetch(context.Background(), heard.from, d.name, d.fetched)
		next, far := d.afterFetch()
		if known && (heard.far || far) {
			f.pass(d.head(time.Now()))
		}
		if next != nil {
			compare(f, d, time.Now(), *next)
		}
	}()
}

// askSeeds fetches the first state from the seeds, one after the other.
func (f *Follower) askSeeds(ctx context.Context) {
	seeds := slices.DeleteFunc(slices.Clone(f.config.Settings.Seeds), func(ip string) bool { return ip == f.config.Settings.IP })
	for until := time.Now().Add(askTime); len(seeds) > 0 && !f.State().Ready() && time.Now().Before(until); {
		scheduler.Sleep(ctx, askInterval+rand.N(askInterval))
		if ctx.Err() != nil {
			return
		}
		from := f.peerAddress(seeds[rand.IntN(len(seeds))])
		f.fetch(ctx, from, f.configurations.name, f.configurations.fetched)
		f.fetch(ctx, from, f.servers.name, f.servers.fetched)
	}
}

// fetch asks a peer for a document and hands over what it replied.
func (f *Follower) fetch(ctx context.Context, from, name string, take func(now time.Time, reply *messenger.FetchReply, age time.Duration) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	asked := time.Now()
	reply, err := f.peers.Peer(ctx, from).Fetch(ctx, &messenger.FetchRequest{Document: name})
	if err != nil {
		klog.InfoS("peer gave no document", "document", name, "peer", from, "cause", err.Error())
		reply = nil
	}
	now := time.Now()
	return take(now, reply, time.Duration(reply.GetAgeMillis())*time.Millisecond+now.Sub(asked))
}
