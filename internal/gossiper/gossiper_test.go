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

// heardTime bounds the wait for a packet that is on its way.
const heardTime = time.Minute

// member is a gossiper with what it heard.
type member struct {
	*gossiper.Gossiper
	address string
	heard   chan *messenger.Packet
	foreign chan string
}

func join(t *testing.T, tier string) *member {
	t.Helper()
	is := is.New(t)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.NoErr(err)
	timers := scheduler.New()
	m := &member{
		address: socket.LocalAddr().String(),
		heard:   make(chan *messenger.Packet, 100),
		foreign: make(chan string, 100),
	}
	self := &messenger.Member{Address: m.address, Incarnation: m.address, Revision: 1}
	m.Gossiper = gossiper.New(gossiper.Config{
		Machine:         prober.New(prober.DefaultConfig(self, rand.New(rand.NewPCG(1, 1)))),
		Socket:          socket,
		Scheduler:       timers,
		Tier:            tier,
		BeforeSend:      func(time.Time, []*messenger.Packet) {},
		AfterReceive:    func(_ time.Time, p *messenger.Packet) { m.heard <- p },
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

// TestTiersStayApart: news and members of one tier are not taken by a daemon of
// another, which may have got an address that the first tier knows.
func TestTiersStayApart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	one, other, friend := join(t, "north"), join(t, "south"), join(t, "south")
	packet := func(from *member) *messenger.Packet {
		return &messenger.Packet{From: from.address, Draining: []*messenger.Draining{{Searcher: "192.0.2.1:80"}}}
	}
	await := func(c chan string) string {
		select {
		case from := <-c:
			return from
		case <-time.After(heardTime):
			t.Fatal("nothing came")
			return ""
		}
	}
	one.SendTo([]string{other.address}, packet(one))
	is.Equal(await(other.foreign), one.address)
	friend.SendTo([]string{other.address}, packet(friend))
	select {
	case p := <-other.heard:
		is.Equal(p.GetFrom(), friend.address)
	case <-time.After(heardTime):
		t.Fatal("the tier's own packet never came")
	}
	is.Equal(len(other.Members()), 1)
}
