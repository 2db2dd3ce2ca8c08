// Package interposer is a proxy on loopback that stands between two processes
// and harms their connections: it delays, resets or silences them, in one
// direction or both.
package interposer

import (
	"net"
	"sync"
	"time"
)

// Faults is what a proxy does to bytes that pass.
type Faults struct {
	// Delay holds each piece back.
	Delay time.Duration
	// DropRequests and DropReplies let the bytes of one direction vanish.
	DropRequests, DropReplies bool
	// Reset breaks every connection, new ones too.
	Reset bool
}

// Proxy passes connections on to one address. It is safe for concurrent use.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	harm  Faults
	conns map[net.Conn]bool
}

// pieceSize is how many bytes are passed on at once.
const pieceSize = 16 << 10

// New starts a proxy for an address.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, conns: map[net.Conn]bool{}}
	go p.run()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// InjectFaults replaces the harm in force; a reset breaks what is open.
func (p *Proxy) InjectFaults(h Faults) {
	p.mu.Lock()
	p.harm = h
	p.mu.Unlock()
	if h.Reset {
		p.breakAll()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.breakAll()
}

func (p *Proxy) breakAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
	clear(p.conns)
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) current() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.harm
}

func (p *Proxy) run() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.current().Reset {
			reset(near)
			continue
		}
		go p.pass(near)
	}
}

func (p *Proxy) pass(near net.Conn) {
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(near)
		return
	}
	p.mu.Lock()
	p.conns[near], p.conns[far] = true, true
	p.mu.Unlock()
	var wait sync.WaitGroup
	wait.Add(2)
	go func() {
		defer wait.Done()
		p.copy(far, near, func(h Faults) bool { return h.DropRequests })
	}()
	go func() {
		defer wait.Done()
		p.copy(near, far, func(h Faults) bool { return h.DropReplies })
	}()
	wait.Wait()
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
}

// copy passes bytes on until an end closes, then closes both.
func (p *Proxy) copy(to, from net.Conn, drops func(Faults) bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	piece := make([]byte, pieceSize)
	for {
		n, err := from.Read(piece)
		if err != nil {
			return
		}
		h := p.current()
		time.Sleep(h.Delay)
		if drops(h) {
			continue
		}
		if _, err := to.Write(piece[:n]); err != nil {
			return
		}
	}
}
