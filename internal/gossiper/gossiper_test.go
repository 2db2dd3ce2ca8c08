package gossiper_test

import (
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/gossiper"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/prober"
	"github.com/fuchsiastile/fuchsiastile/internal/scheduler"
)

// receiveTimeout bounds the wait for a packet that was sent.
const receiveTimeout = time.Minute

// member is a gossiper that records the packets it receives.
type member struct {
	*gossiper.Gossiper
	address  string
	received chan *messenger.Packet
	foreign  chan string
}

func startMember(t *testing.T, tier string) *member {
	t.Helper()
	is := is.New(t)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.NoErr(err)
	timers := scheduler.New()
	m := &member{
		address:  socket.LocalAddr().String(),
		received: make(chan *messenger.Packet, 100),
		foreign:  make(chan string, 100),
	}
	self := &messenger.Member{Address: m.address, Incarnation: m.address, Revision: 1}
	m.Gossiper = gossiper.New(gossiper.Config{
		Machine:         prober.New(prober.DefaultConfig(self, rand.New(rand.NewPCG(1, 1)))),
		Socket:          socket,
		Scheduler:       timers,
		Tier:            tier,
		BeforeSend:      func(time.Time, []*messenger.Packet) {},
		AfterReceive:    func(_ time.Time, p *messenger.Packet) { m.received <- p },
		OnSent:          func(int) {},
		OnReceived:      func(int) {},
		OnForeignPacket: func(from string) { m.foreign <- from },
	})
	ended := make(chan error, 1)
	go func() { ended <- m.Run() }()
	t.Cleanup(func() {
		timers.Close()
		_ = socket.Close()
		is.NoErr(<-ended)
	})
	return m
}

// TestPacketsOfOtherTiersAreIgnored guards against a daemon that accepts packets of
// another tier. It receives such packets if its address is still in the other tier's
// membership list.
func TestPacketsOfOtherTiersAreIgnored(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	otherTier, receiver, peer := startMember(t, "north"), startMember(t, "south"), startMember(t, "south")
	packet := func(from *member) *messenger.Packet {
		return &messenger.Packet{From: from.address, Draining: []*messenger.Draining{{Searcher: "192.0.2.1:80"}}}
	}
	await := func(c chan string) string {
		select {
		case from := <-c:
			return from
		case <-time.After(receiveTimeout):
			t.Fatal("the packet of the other tier was not reported")
			return ""
		}
	}
	otherTier.SendTo([]string{receiver.address}, packet(otherTier))
	is.Equal(await(receiver.foreign), otherTier.address)
	peer.SendTo([]string{receiver.address}, packet(peer))
	select {
	case p := <-receiver.received:
		is.Equal(p.GetFrom(), peer.address)
	case <-time.After(receiveTimeout):
		t.Fatal("the packet of the receiver's tier was not received")
	}
	is.Equal(len(receiver.Members()), 1)
}
