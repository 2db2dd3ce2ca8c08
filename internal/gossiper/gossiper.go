// Package gossiper runs the membership state machine on a socket and timers.
package gossiper

import (
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/prober"
	"github.com/fuchsiastile/fuchsiastile/internal/scheduler"
)

// maxPacketSize is the size of the receive buffer for datagrams.
const maxPacketSize = 64 << 10

// Config holds the dependencies and callbacks of a Gossiper.
type Config struct {
	Machine   *prober.Machine
	Socket    net.PacketConn
	Scheduler *scheduler.Scheduler
	// Tier is set in each packet sent; received packets of another tier are ignored,
	// so that a daemon which reuses an address of another tier does not join the two.
	Tier string
	// BeforeSend may add to membership packets before they are sent.
	BeforeSend func(now time.Time, packets []*messenger.Packet)
	// AfterReceive is called with each packet after the state machine has processed
	// it.
	AfterReceive func(now time.Time, packet *messenger.Packet)
	// OnSent and OnReceived are called with the size of each datagram.
	OnSent     func(bytes int)
	OnReceived func(bytes int)
	// OnForeignPacket is called with the sender's address of each packet of another
	// tier.
	OnForeignPacket func(from string)
}

// Gossiper maintains one daemon's view of the membership. It is safe for concurrent
// use.
type Gossiper struct {
	config Config

	// mu guards the state machine. It is also held while packets are encoded, since
	// they share records with the state machine.
	mu sync.Mutex
}

// New returns a gossiper; Start begins its timers and Run receives packets.
func New(config Config) *Gossiper { return &Gossiper{config: config} }

// datagram is an encoded packet.
type datagram struct {
	to   string
	data []byte
}

// Start runs the state machine's tick and schedules the next one.
func (g *Gossiper) Start(now time.Time) {
	g.mu.Lock()
	out := g.encode(now, g.config.Machine.Tick(now))
	next := g.config.Machine.NextTick()
	g.mu.Unlock()
	g.send(out)
	g.config.Scheduler.At(next, g.Start)
}

// Run receives packets from peers until the socket is closed.
func (g *Gossiper) Run() error {
	buffer := make([]byte, maxPacketSize)
	for {
		n, _, err := g.config.Socket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue
		}
		g.config.OnReceived(n)
		packet := &messenger.Packet{}
		if proto.Unmarshal(buffer[:n], packet) != nil {
			continue
		}
		if packet.GetTier() != g.config.Tier {
			g.config.OnForeignPacket(packet.GetFrom())
			continue
		}
		g.receive(packet)
	}
}

func (g *Gossiper) receive(packet *messenger.Packet) {
	now := time.Now()
	g.mu.Lock()
	out := g.encode(now, g.config.Machine.Receive(now, packet))
	g.mu.Unlock()
	g.send(out)
	g.config.AfterReceive(now, packet)
}

// Seed adds daemons from a source other than gossip, such as a list of VMs.
func (g *Gossiper) Seed(seeds []*messenger.Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.config.Machine.Seed(time.Now(), seeds)
}

// Push immediately sends pending membership updates to a few members.
func (g *Gossiper) Push() {
	now := time.Now()
	g.mu.Lock()
	out := g.encode(now, g.config.Machine.Push())
	g.mu.Unlock()
	g.send(out)
}

// Leave announces that this daemon is stopping, and the address of its successor.
func (g *Gossiper) Leave(successor string) {
	now := time.Now()
	g.mu.Lock()
	out := g.encode(now, g.config.Machine.Leave(successor))
	g.mu.Unlock()
	g.send(out)
}

// SendTo sends a packet outside the membership protocol to the given addresses.
func (g *Gossiper) SendTo(to []string, packet *messenger.Packet) {
	packet.Tier = g.config.Tier
	data, err := proto.Marshal(packet)
	if err != nil {
		return
	}
	out := make([]datagram, len(to))
	for i, address := range to {
		out[i] = datagram{to: address, data: data}
	}
	g.send(out)
}

// Members returns all known member records, including this daemon's.
func (g *Gossiper) Members() []*messenger.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.config.Machine.Members()
}

// Live returns the members that are alive or suspect, including this daemon.
func (g *Gossiper) Live() []*messenger.Member {
	return slices.DeleteFunc(g.Members(), func(m *messenger.Member) bool {
		return prober.StateOf(m) > prober.Suspect
	})
}

func (g *Gossiper) encode(now time.Time, packets []prober.Outgoing) []datagram {
	if len(packets) == 0 {
		return nil
	}
	messages := make([]*messenger.Packet, len(packets))
	for i, p := range packets {
		messages[i] = p.Packet
	}
	g.config.BeforeSend(now, messages)
	out := make([]datagram, 0, len(packets))
	for _, p := range packets {
		p.Packet.Tier = g.config.Tier
		if data, err := proto.Marshal(p.Packet); err == nil {
			out = append(out, datagram{to: p.To, data: data})
		}
	}
	return out
}

func (g *Gossiper) send(packets []datagram) {
	for _, p := range packets {
		address, err := net.ResolveUDPAddr("udp", p.to)
		if err != nil {
			continue
		}
		if n, err := g.config.Socket.WriteTo(p.data, address); err == nil {
			g.config.OnSent(n)
		}
	}
}
