package main

import (
	"fmt"
	"io"
	"net"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
)

// A relay carries everything that daemons send each other, so that it can cut them off from
// each other. Daemon i has the address 127.NET.200.(101+i); it knows daemon j by the address
// 127.NET.(100+i).(101+j), which belongs to the relay. The relay rewrites the addresses in
// datagrams from the sender's view to the receiver's, as a NAT gateway would. All have the
// same length, so that the rest of a datagram stays as it is.
type relay struct {
	network   int
	peerPort  int
	daemons   int
	pattern   *regexp.Regexp
	isCut     atomic.Bool
	groupOf   func(daemon int) int
	sockets   map[[2]int]*net.UDPConn
	listeners []net.Listener
	mu        sync.Mutex
	streams   map[net.Conn][2]int
	dropped   atomic.Int64
}

const ownView = 200

func relayAddress(network, view, member int) string {
	return fmt.Sprintf("127.%d.%d.%d", network, view, 101+member)
}

// newRelay opens the relay's sockets; groupOf names the group of a daemon in a cut.
func newRelay(network, peerPort, daemons int, groupOf func(int) int) (*relay, error) {
	r := &relay{
		network: network, peerPort: peerPort, daemons: daemons, groupOf: groupOf,
		pattern: regexp.MustCompile(fmt.Sprintf(`127\.%d\.(\d{3})\.(\d{3})`, network)),
		sockets: map[[2]int]*net.UDPConn{}, streams: map[net.Conn][2]int{},
	}
	for i := range daemons {
		for j := range daemons {
			if i == j {
				continue
			}
			address := fmt.Sprintf("%s:%d", relayAddress(network, 100+i, j), peerPort)
			udp, err := net.ResolveUDPAddr("udp", address)
			if err != nil {
				return nil, err
			}
			socket, err := net.ListenUDP("udp", udp)
			if err != nil {
				return nil, err
			}
			r.sockets[[2]int{i, j}] = socket
			listener, err := net.Listen("tcp", address)
			if err != nil {
				return nil, err
			}
			r.listeners = append(r.listeners, listener)
			go r.forwardDatagrams(i, j, socket)
			go r.acceptStreams(i, j, listener)
		}
	}
	return r, nil
}

func (r *relay) blocks(i, j int) bool { return r.isCut.Load() && r.groupOf(i) != r.groupOf(j) }

// realAddress is where daemon j listens for its peers.
func (r *relay) realAddress(j int) string {
	return fmt.Sprintf("%s:%d", relayAddress(r.network, ownView, j), r.peerPort)
}

// translate rewrites the addresses of members for daemon j.
func (r *relay) translate(data []byte, j int) []byte {
	return r.pattern.ReplaceAllFunc(data, func(found []byte) []byte {
		parts := r.pattern.FindSubmatch(found)
		octet, _ := strconv.Atoi(string(parts[2]))
		if member := octet - 101; member != j {
			return []byte(relayAddress(r.network, 100+j, member))
		}
		return []byte(relayAddress(r.network, ownView, j))
	})
}

// forwardDatagrams passes on what daemon i sends to daemon j.
func (r *relay) forwardDatagrams(i, j int, socket *net.UDPConn) {
	target, err := net.ResolveUDPAddr("udp", r.realAddress(j))
	if err != nil {
		return
	}
	buffer := make([]byte, 64<<10)
	for {
		n, err := socket.Read(buffer)
		if err != nil {
			return
		}
		if r.blocks(i, j) {
			r.dropped.Add(1)
			continue
		}
		_, _ = socket.WriteToUDP(r.translate(buffer[:n], j), target)
	}
}

// acceptStreams passes on daemon i's connections to daemon j. During a cut, new ones are
// held without an answer.
func (r *relay) acceptStreams(i, j int, listener net.Listener) {
	for {
		from, err := listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.streams[from] = [2]int{i, j}
		r.mu.Unlock()
		if r.blocks(i, j) {
			continue
		}
		go func() {
			defer func() { _ = from.Close() }()
			to, err := net.Dial("tcp", r.realAddress(j))
			if err != nil {
				return
			}
			defer func() { _ = to.Close() }()
			go func() { _ = r.copy(to, from, i, j) }()
			_ = r.copy(from, to, i, j)
		}()
	}
}

// copy passes on bytes; what arrives during a cut is dropped.
func (r *relay) copy(to io.Writer, from io.Reader, i, j int) error {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return err
		}
		if r.blocks(i, j) {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return err
		}
	}
}

// cut separates the groups of daemons from each other, silently.
func (r *relay) cut() { r.isCut.Store(true) }

func (r *relay) close() {
	for _, s := range r.sockets {
		_ = s.Close()
	}
	for _, l := range r.listeners {
		_ = l.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.streams {
		_ = c.Close()
	}
}
