// Package interposer implements a TCP proxy on loopback that injects faults into the
// connections between two processes: it delays data, drops data in one or both
// directions, or resets connections.
package interposer

import (
	"net"
	"sync"
	"time"
)

// Faults describes the faults that a proxy injects.
type Faults struct {
	// Delay is added before each chunk of data is forwarded.
	Delay time.Duration
	// DropRequests discards data sent by clients, DropReplies data sent by the target.
	DropRequests, DropReplies bool
	// Reset resets all open connections and every new one.
	Reset bool
}

// Proxy forwards TCP connections to a target address. It is safe for concurrent use.
type Proxy struct {
	target   string
	listener net.Listener
	// dial connects to the target.
	dial func(network, address string) (net.Conn, error)

	mu     sync.Mutex
	faults Faults
	conns  map[net.Conn]bool
}

// bufferSize is the maximum size of a forwarded chunk.
const bufferSize = 16 << 10

// New starts a proxy that forwards connections to target.
func New(target string) (*Proxy, error) { return newProxy(target, net.Dial) }

func newProxy(target string, dial func(network, address string) (net.Conn, error)) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, dial: dial, conns: map[net.Conn]bool{}}
	go p.acceptLoop()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// InjectFaults replaces the active faults; the zero value clears them. If Reset is set,
// it resets all open connections.
func (p *Proxy) InjectFaults(f Faults) {
	p.mu.Lock()
	p.faults = f
	p.mu.Unlock()
	if f.Reset {
		p.resetAll()
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.resetAll()
}

func (p *Proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetConn(c)
	}
	clear(p.conns)
}

// resetConn closes a connection with RST instead of FIN.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) currentFaults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

func (p *Proxy) acceptLoop() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentFaults().Reset {
			resetConn(client)
			continue
		}
		go p.handleConn(client)
	}
}

func (p *Proxy) handleConn(client net.Conn) {
	upstream, err := p.dial("tcp", p.target)
	if err != nil {
		resetConn(client)
		return
	}
	if !p.track(client, upstream) {
		resetConn(client)
		resetConn(upstream)
		return
	}
	var wait sync.WaitGroup
	wait.Add(2)
	go func() {
		defer wait.Done()
		p.copy(upstream, client, func(f Faults) bool { return f.DropRequests })
	}()
	go func() {
		defer wait.Done()
		p.copy(client, upstream, func(f Faults) bool { return f.DropReplies })
	}()
	wait.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, upstream)
	p.mu.Unlock()
}

// track adds the two connections of a pair to those that a reset ends. It reports
// false if a reset came while they were being opened.
func (p *Proxy) track(client, upstream net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Reset {
		return false
	}
	p.conns[client], p.conns[upstream] = true, true
	return true
}

// copy forwards data from one connection to the other until either fails, then closes
// both.
func (p *Proxy) copy(to, from net.Conn, drops func(Faults) bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		f := p.currentFaults()
		time.Sleep(f.Delay)
		if drops(f) {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
