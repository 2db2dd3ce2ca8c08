package stager_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
)

var errCut = errors.New("the network is cut")

// cutter is a network between failure domains that can be cut. A cut swallows
// packets and bytes silently, as a switch that fails does.
type cutter struct {
	mu sync.Mutex
	// domains maps each address to its failure domain.
	domains map[string]string
	cut     map[[2]string]bool
}

func newCutter() *cutter {
	return &cutter{domains: map[string]string{}, cut: map[[2]string]bool{}}
}

// learn notes where searchers, daemons and the platform are.
func (c *cutter) learn(stage *stager.Cluster) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range stage.Searchers {
		c.domains[s.VM.Address] = s.VM.FailureDomain
	}
	for _, d := range stage.Daemons {
		c.domains[d.Settings().PeerAddress] = d.Settings().FailureDomain
	}
	c.domains[stage.PlatformURL[len("http://"):]] = "platform"
}

// cutOff is the failure domain that tests cut off from the others and the
// platform; newDomain is one that is cut off from the others only.
const (
	cutOff    = "aberyst-a"
	newDomain = "bala-a"
)

// set cuts a domain off, or heals it.
func (c *cutter) set(off bool, domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	others := []string{"caerdydd-a", "bangor-a", cutOff}
	if domain == cutOff {
		others = []string{"caerdydd-a", "bangor-a", "platform"}
	}
	for _, other := range others {
		c.cut[[2]string{domain, other}] = off
		c.cut[[2]string{other, domain}] = off
	}
}

func (c *cutter) isCut(domain, address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut[[2]string{domain, c.domains[address]}]
}

// network is what the daemons of one failure domain see.
func (c *cutter) network(domain emulator.Domain, _ int) dialer.Network {
	system := dialer.System()
	return dialer.Network{
		Dial: func(ctx context.Context, kind, address string) (net.Conn, error) {
			if c.isCut(domain.Name, address) {
				<-ctx.Done()
				return nil, &net.OpError{Op: "dial", Err: errCut}
			}
			conn, err := system.Dial(ctx, kind, address)
			if err != nil {
				return nil, err
			}
			return &cutConn{Conn: conn, isCut: func() bool { return c.isCut(domain.Name, address) }}, nil
		},
		ListenPacket: func(kind, address string) (net.PacketConn, error) {
			conn, err := system.ListenPacket(kind, address)
			if err != nil {
				return nil, err
			}
			c.mu.Lock()
			c.domains[conn.LocalAddr().String()] = domain.Name
			c.mu.Unlock()
			return &cutPackets{PacketConn: conn, isCut: func(to string) bool { return c.isCut(domain.Name, to) }}, nil
		},
	}
}

// cutConn swallows bytes while the network is cut; a connection that lost any
// breaks once the cut has healed.
type cutConn struct {
	net.Conn
	isCut func() bool
	lost  atomic.Bool
}

func (c *cutConn) Write(b []byte) (int, error) {
	if c.isCut() {
		c.lost.Store(true)
		return len(b), nil
	}
	if c.lost.Load() {
		return 0, errCut
	}
	return c.Conn.Write(b)
}

func (c *cutConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		switch {
		case err != nil:
			return n, err
		case c.isCut():
			c.lost.Store(true)
		case c.lost.Load():
			return 0, errCut
		default:
			return n, nil
		}
	}
}

type cutPackets struct {
	net.PacketConn
	isCut func(to string) bool
}

func (c *cutPackets) WriteTo(b []byte, to net.Addr) (int, error) {
	if c.isCut(to.String()) {
		return len(b), nil
	}
	return c.PacketConn.WriteTo(b, to)
}
