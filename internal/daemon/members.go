package daemon

import (
	"errors"
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/configurator"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/prober"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

const (
	// maxPacket is the largest datagram that is read.
	maxPacket = 64 << 10
	// headDigest is how much of a digest a packet carries.
	headDigest = 16
)

// seed tells the membership of daemons that a hint names.
func (d *Daemon) seed(addresses []string) {
	seeds := make([]*messenger.Member, len(addresses))
	for i, address := range addresses {
		seeds[i] = &messenger.Member{Address: address}
	}
	d.seedMembers(seeds)
}

func (d *Daemon) seedMembers(seeds []*messenger.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members.Seed(time.Now(), seeds)
}

// tickMembership drives the state machine and subscribes to its next moment.
func (d *Daemon) tickMembership(now time.Time) {
	d.mu.Lock()
	out := d.encode(now, d.members.Tick(now))
	next := d.members.NextTick()
	d.mu.Unlock()
	d.sendPackets(out)
	d.scheduler.At(next, d.tickMembership)
}

// pushNews sends what is new to a few members at once.
func (d *Daemon) pushNews() {
	now := time.Now()
	d.mu.Lock()
	out := d.encode(now, d.members.Push())
	d.mu.Unlock()
	d.sendPackets(out)
}

// datagram is an encoded packet.
type datagram struct {
	to   string
	data []byte
}

// encode adds heads and news of leaving servers to packets and encodes them.
// The caller holds mu, since packets share records with the state machine.
func (d *Daemon) encode(now time.Time, packets []prober.Outgoing) []datagram {
	if len(packets) == 0 {
		return nil
	}
	heads := d.heads()
	news := d.news.latest(now, d.picker.DrainingServers(now))
	out := make([]datagram, 0, len(packets))
	for _, p := range packets {
		p.Packet.Heads = heads
		p.Packet.Draining = news.draining
		p.Packet.Holdings = news.holdings
		p.Packet.NewsDigest = news.digest
		data, err := proto.Marshal(p.Packet)
		if err != nil {
			continue
		}
		out = append(out, datagram{to: p.To, data: data})
	}
	return out
}

func (d *Daemon) heads() []*messenger.Head {
	var out []*messenger.Head
	for _, document := range d.register.All() {
		out = append(out, &messenger.Head{
			Document:   document.Name,
			Generation: document.Generation,
			Digest:     document.Digest[:headDigest],
		})
	}
	return out
}

func (d *Daemon) sendPackets(packets []datagram) {
	for _, p := range packets {
		address, err := net.ResolveUDPAddr("udp", p.to)
		if err != nil {
			continue
		}
		if n, err := d.listeners.packets.WriteTo(p.data, address); err == nil {
			d.metrics.packetsOut.Inc()
			d.metrics.bytesOut.Add(n)
		}
	}
}

// receivePackets takes packets of peers until the socket is closed.
func (d *Daemon) receivePackets() error {
	buffer := make([]byte, maxPacket)
	for {
		n, _, err := d.listeners.packets.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue
		}
		d.metrics.packetsIn.Inc()
		d.metrics.bytesIn.Add(n)
		packet := &messenger.Packet{}
		if proto.Unmarshal(buffer[:n], packet) == nil {
			d.receive(packet)
		}
	}
}

func (d *Daemon) receive(packet *messenger.Packet) {
	now := time.Now()
	d.mu.Lock()
	out := d.encode(now, d.members.Receive(now, packet))
	d.mu.Unlock()
	d.sendPackets(out)
	d.takeNews(now, packet.GetDraining(), packet.GetHoldings())
	d.compareNews(now, packet)
	for _, head := range packet.GetHeads() {
		d.hear(packet.GetFrom(), head)
	}
	d.notePeer(packet)
}

// notePeer counts peers that this daemon has compared heads with since it started.
func (d *Daemon) notePeer(packet *messenger.Packet) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.heardPeers) < syncPeers {
		d.heardPeers[packet.GetFrom()] = true
	}
	for _, head := range packet.GetHeads() {
		if knownDocument(head.GetDocument()) {
			d.highest[head.GetDocument()] = max(d.highest[head.GetDocument()], head.GetGeneration())
		}
	}
}

// hear fetches a document from the peer that has a newer one.
func (d *Daemon) hear(from string, head *messenger.Head) {
	name := head.GetDocument()
	inForce := d.register.InForce(name)
	digest := inForce.Digest
	if len(digest) > headDigest {
		digest = digest[:headDigest]
	}
	if head.GetGeneration() == inForce.Generation && head.GetDigest() != digest {
		d.metrics.conflicts.Inc()
	}
	newer := head.GetGeneration() > inForce.Generation ||
		head.GetGeneration() == inForce.Generation && head.GetDigest() > digest
	if !newer || !knownDocument(name) {
		return
	}
	if d.beginFetch(name) {
		go d.fetch(from, name)
	}
}

// beginFetch reports whether a document is not being fetched already, and marks it.
func (d *Daemon) beginFetch(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fetching[name] {
		return false
	}
	d.fetching[name] = true
	return true
}

func (d *Daemon) endFetch(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fetching[name] = false
}

// documents names everything that daemons spread and need before they are ready.
var documents = []string{declarer.DocumentDeclarations, declarer.DocumentIndexes, declarer.DocumentVMs}

func knownDocument(name string) bool {
	return slices.Contains(documents, name)
}

// take puts a document in force if it is newer, and tells others of it.
func (d *Daemon) take(document configurator.Document) configurator.Verdict {
	document.Since = time.Now()
	verdict := d.register.Offer(document)
	switch verdict {
	case configurator.Taken:
		klog.InfoS("document in force", "document", document.Name, "generation", document.Generation, "digest", document.Digest[:headDigest])
		d.apply(document.Name)
		d.pushNews()
	case configurator.Conflict:
		d.metrics.conflicts.Inc()
	case configurator.Wanted, configurator.Older, configurator.Same, configurator.Corrupt:
	}
	return verdict
}
