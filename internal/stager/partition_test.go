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

var errPartitioned = errors.New("network partition")

// partition emulates a network between failure domains that can be partitioned. It
// drops packets and bytes without an error, as a failed switch does.
type partition struct {
	mu sync.Mutex
	// domains maps each address to its failure domain.
	domains map[string]string
	// blocked holds the pairs of source and destination domains between which traffic
	// is dropped.
	blocked map[[2]string]bool
}

func newPartition() *partition {
	return &partition{domains: map[string]string{}, blocked: map[[2]string]bool{}}
}

// recordAddresses records the failure domains of the addresses of searchers,
// daemons and the platform.
func (p *partition) recordAddresses(cluster *stager.Cluster) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range cluster.Searchers {
		p.domains[s.VM.Address] = s.VM.FailureDomain
	}
	for _, d := range cluster.Daemons {
		p.domains[d.Settings().PeerAddress] = d.Settings().FailureDomain
	}
	p.domains[cluster.PlatformURL[len("http://"):]] = "platform"
}

// isolatedDomain is a failure domain that tests isolate from the others and from the
// platform. joiningDomain is isolated from the other domains only.
const (
	isolatedDomain = "aberyst-a"
	joiningDomain  = "bala-a"
)

// setIsolated isolates a domain or reconnects it.
func (p *partition) setIsolated(isolated bool, domain string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	others := []string{"caerdydd-a", "bangor-a", isolatedDomain}
	if domain == isolatedDomain {
		others = []string{"caerdydd-a", "bangor-a", "platform"}
	}
	for _, other := range others {
		p.blocked[[2]string{domain, other}] = isolated
		p.blocked[[2]string{other, domain}] = isolated
	}
}

func (p *partition) isBlocked(domain, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.blocked[[2]string{domain, p.domains[address]}]
}

// networkOf returns the network that the daemons of one failure domain use.
func (p *partition) networkOf(domain emulator.Domain, _ int) dialer.Network {
	system := dialer.System()
	return dialer.Network{
		Dial: func(ctx context.Context, kind, address string) (net.Conn, error) {
			if p.isBlocked(domain.Name, address) {
				<-ctx.Done()
				return nil, &net.OpError{Op: "dial", Err: errPartitioned}
			}
			conn, err := system.Dial(ctx, kind, address)
			if err != nil {
				return nil, err
			}
			return &partitionedConn{Conn: conn, isBlocked: func() bool { return p.isBlocked(domain.Name, address) }}, nil
		},
		ListenPacket: func(kind, address string) (net.PacketConn, error) {
			conn, err := system.ListenPacket(kind, address)
			if err != nil {
				return nil, err
			}
			p.mu.Lock()
			p.domains[conn.LocalAddr().String()] = domain.Name
			p.mu.Unlock()
			return &partitionedPacketConn{PacketConn: conn, isBlocked: func(to string) bool { return p.isBlocked(domain.Name, to) }}, nil
		},
	}
}

// partitionedConn drops bytes while its peer is unreachable. If it dropped any, it
// fails once the peer is reachable again, since its byte stream has a gap.
type partitionedConn struct {
	net.Conn
	isBlocked func() bool
	lostData  atomic.Bool
}

func (c *partitionedConn) Write(b []byte) (int, error) {
	if c.isBlocked() {
		c.lostData.Store(true)
		return len(b), nil
	}
	if c.lostData.Load() {
		return 0, errPartitioned
	}
	return c.Conn.Write(b)
}

func (c *partitionedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		switch {
		case err != nil:
			return n, err
		case c.isBlocked():
			c.lostData.Store(true)
		case c.lostData.Load():
			return 0, errPartitioned
		default:
			return n, nil
		}
	}
}

type partitionedPacketConn struct {
	net.PacketConn
	isBlocked func(to string) bool
}

func (c *partitionedPacketConn) WriteTo(b []byte, to net.Addr) (int, error) {
	if c.isBlocked(to.String()) {
		return len(b), nil
	}
	return c.PacketConn.WriteTo(b, to)
}
