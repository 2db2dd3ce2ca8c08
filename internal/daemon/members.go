package daemon

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/assigner"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// relaysPerDomain is the number of daemons per failure domain that watch the platform.
const relaysPerDomain = 2

// addSeeds adds the configured seed addresses to the membership.
func (d *Daemon) addSeeds(addresses []string) {
	seeds := make([]*messenger.Member, len(addresses))
	for i, address := range addresses {
		seeds[i] = &messenger.Member{Address: address}
	}
	d.members.Seed(seeds)
}

// addNewsToPackets adds document heads and news to outgoing packets.
func (d *Daemon) addNewsToPackets(now time.Time, packets []*messenger.Packet) {
	heads := d.documents.Heads()
	news := d.news.forPacket(now, d.picker.DrainingServers(now))
	for _, p := range packets {
		p.Heads = heads
		p.Draining = news.draining
		p.Holdings = news.holdings
		p.NewsDigest = news.digest
	}
}

// onForeignPacket counts a packet from another tier. Only the first one is logged.
func (d *Daemon) onForeignPacket(from string) {
	d.metrics.foreignPackets.Inc()
	d.foreignOnce.Do(func() {
		klog.InfoS("ignoring packets from another tier; the metric foreignPacketsTotal counts them", "name", d.settings.Name, "tier", d.settings.Tier, "from", from)
	})
}

// onPacket processes the news and document heads in a peer's packet.
func (d *Daemon) onPacket(now time.Time, packet *messenger.Packet) {
	d.applyNews(now, packet.GetDraining(), packet.GetHoldings())
	d.compareNews(now, packet)
	d.documents.HandlePacket(packet)
}

// isRelay reports whether rendezvous hashing selects this daemon as a relay of
// its failure domain. If the member lists of two daemons differ, the only cost is
// an additional watch at the platform.
func (d *Daemon) isRelay() bool {
	if d.stopping.Load() {
		return false
	}
	var sameDomain []string
	for _, m := range d.liveDaemons() {
		if m.GetFailureDomain() == d.settings.FailureDomain {
			sameDomain = append(sameDomain, m.GetAddress())
		}
	}
	return slices.Contains(assigner.TopRanked("relay", sameDomain, relaysPerDomain), d.settings.PeerAddress)
}

// onDocumentChanged updates hedgers, members and routes after the view was replaced.
func (d *Daemon) onDocumentChanged(document string, listed []*messenger.Member) {
	if document == declarer.DocumentDeclarations {
		// Hedgers are created from the rules, which may have changed.
		d.mu.Lock()
		clear(d.hedgers)
		d.mu.Unlock()
	}
	d.members.Seed(listed)
	d.router.Invalidate()
	d.refreshRoutes()
}
