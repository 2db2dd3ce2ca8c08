// Package gossiper puts a socket and timers round the membership state machine.
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

// maxPacket is the largest datagram that is read.
const maxPacket = 64 << 10

// Config is what a gossiper needs from its surroundings.
type Config struct {
	Machine   *prober.Machine
	Socket    net.PacketConn
	Scheduler *scheduler.Scheduler
	// Tier is stamped on each packet; one with another tier's name is ignored, so
	// that an address that another tier had before does not join the two.
	Tier string
	// BeforeSend adds to packets that are about to go out.
	BeforeSend func(now time.Time, packets []*messenger.Packet)
	// AfterReceive is told of each packet after the membership has taken it.
	AfterReceive func(now time.Time, packet *messenger.Packet)
	// OnSent and Received count datagrams by their bytes.
	OnSent     func(bytes int)
	OnReceived func(bytes int)
	// OnForeignPacket is told of each packet of another tier.
	OnForeignPacket func(from string)
}

// Gossiper is the membership of one daemon. It is safe for concurrent use.
type Gossiper struct {
	config Config

	// mu is held while the state machine is used and while packets, which share
	// records with it, are encoded.
	mu sync.Mutex
}

// New returns a gossiper; Start and Run drive it.
func New(config Config) *Gossiper { return &Gossiper{config: config} }

// datagram is an encoded packet.
type datagram struct {
	to   string
	data []byte
}

// Start subscribes the state machine to its timers.
func (g *Gossiper) Start(now time.Time) {
	g.mu.Lock()
	out := g.encode(now, g.config.Machine.Tick(now))
	next := g.config.Machine.NextTick()
	g.mu.Unlock()
	g.send(out)
	g.config.Scheduler.At(next, g.Start)
}

// Run takes packets of peers until the socket is closed.
func (g *Gossiper) Run() error {
	buffer := make([]byte, maxPacket)
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

// Seed names daemons that a hint tells of.
func (g *Gossiper) Seed(seeds []*messenger.Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.config.Machine.Seed(time.Now(), seeds)
}

// Push sends what is new to a few members at once.
func (g *Gossiper) Push() {
	now := time.Now()
	g.mu.Lock()
	out := g.encode(now, g.config.Machine.Push())
	g.mu.Unlock()
	g.send(out)
}

// Leave announces that this daemon stops and who took over from it.
func (g *Gossiper) Leave(successor string) {
	now := time.Now()
	g.mu.Lock()
	out := g.encode(now, g.config.Machine.Leave(successor))
	g.mu.Unlock()
	g.send(out)
}

// SendTo sends a packet that is no part of the membership protocol.
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

// Members returns every record that is known, this daemon's included.
func (g *Gossiper) Members() []*messenger.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.config.Machine.Members()
}

// Live returns the members that may be alive, this daemon included.
func (g *Gossiper) Live() []*messenger.Member {
	return slices.DeleteFunc(g.Members(), func(m *messenger.Member) bool {
		return prober.StateOf(m) > prober.Suspect
	})
}

func (g *Gossiper) encode(now time.Time, packets []prober.Outgoing) []datagram {
	if len(packets) == 0 {
		return nil
	}
	plain := make([]*messenger.Packet, len(packets))
	for i, p := range packets {
		plain[i] = p.Packet
	}
	g.config.BeforeSend(now, plain)
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
