package daemon

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/assigner"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// relaysPerDomain is how many daemons of a failure domain watch the platform.
const relaysPerDomain = 2

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
	heads := d.documents.Heads()
	news := d.news.latest(now, d.picker.DrainingServers(now))
	for _, p := range packets {
		p.Heads = heads
		p.Draining = news.draining
		p.Holdings = news.holdings
		p.NewsDigest = news.digest
	}
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
	d.documents.HandlePacket(packet)
}

// isRelay reports whether rendezvous hashing picks this daemon in its domain.
// Two daemons that disagree cost the platform a watch, and nothing else.
func (d *Daemon) isRelay() bool {
	if d.stopping.Load() {
		return false
	}
	var near []string
	for _, m := range d.liveDaemons() {
		if m.GetFailureDomain() == d.settings.FailureDomain {
			near = append(near, m.GetAddress())
		}
	}
	return slices.Contains(assigner.TopRanked("relay", near, relaysPerDomain), d.settings.PeerAddress)
}

// documentChanged follows a view that was replaced.
func (d *Daemon) documentChanged(document string, listed []*messenger.Member) {
	if document == declarer.DocumentDeclarations {
		// Rules may have changed, which hedgers are made from.
		d.mu.Lock()
		clear(d.hedgers)
		d.mu.Unlock()
	}
	d.members.Seed(listed)
	d.router.Invalidate()
	d.refreshRoutes()
}
