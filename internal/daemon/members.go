package daemon

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/configurator"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// headDigest is how much of a digest a packet carries.
const headDigest = 16

// seed tells the membership of daemons that a hint names.
func (d *Daemon) seed(addresses []string) {
	seeds := make([]*messenger.Member, len(addresses))
	for i, address := range addresses {
		seeds[i] = &messenger.Member{Address: address}
	}
	d.members.Seed(seeds)
}

// decorate adds heads and news of leaving servers to packets.
func (d *Daemon) decorate(now time.Time, packets []*messenger.Packet) {
	heads := d.heads()
	news := d.news.latest(now, d.picker.DrainingServers(now))
	for _, p := range packets {
		p.Heads = heads
		p.Draining = news.draining
		p.Holdings = news.holdings
		p.NewsDigest = news.digest
	}
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

// heardForeign counts a packet of another tier; the first one is logged.
func (d *Daemon) heardForeign(from string) {
	d.metrics.foreign.Inc()
	d.foreignOnce.Do(func() {
		klog.InfoS("packets of another tier are ignored; the metric foreignPacketsTotal counts them", "name", d.settings.Name, "tier", d.settings.Tier, "from", from)
	})
}

// heardPacket takes what a peer's packet says besides the membership.
func (d *Daemon) heardPacket(now time.Time, packet *messenger.Packet) {
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
		d.members.Push()
	case configurator.Conflict:
		d.metrics.conflicts.Inc()
	case configurator.Wanted, configurator.Older, configurator.Same, configurator.Corrupt:
	}
	return verdict
}
