package emulator

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
)

const (
	// DomainLatency is the one-way time between failure domains of a region.
	DomainLatency = time.Millisecond
	// RegionLatency is the one-way time between regions.
	RegionLatency = 12 * time.Millisecond
	// delayQueue is how many writes are on their way on one connection.
	delayQueue = 4096
)

// WithLatency returns the network as a VM sees it from which addresses are as far
// away as delay says, one way. Packets are not delayed.
func WithLatency(network dialer.Network, delay func(address string) time.Duration) dialer.Network {
	return dialer.Network{
		ListenPacket: network.ListenPacket,
		Dial: func(ctx context.Context, kind, address string) (net.Conn, error) {
			oneWay := delay(address)
			conn, err := network.Dial(ctx, kind, address)
			if err != nil || oneWay == 0 {
				return conn, err
			}
			time.Sleep(2 * oneWay)
			return newDelayedConn(conn, oneWay), nil
		},
	}
}

// chunk is bytes that arrive at a time.
type chunk struct {
	data []byte
	at   time.Time
	err  error
}

// delayedConn delays both directions of a connection.
type delayedConn struct {
	net.Conn
	oneWay time.Duration
	out    chan chunk
	in     chan chunk
	// rest is what is left of the chunk that was read last.
	rest  []byte
	close sync.Once
	done  chan struct{}
}

func newDelayedConn(conn net.Conn, oneWay time.Duration) *delayedConn {
	c := &delayedConn{
		Conn:   conn,
		oneWay: oneWay,
		out:    make(chan chunk, delayQueue),
		in:     make(chan chunk, delayQueue),
		done:   make(chan struct{}),
	}
	go c.writeLater()
	go c.readAhead()
	return c
}

func (c *delayedConn) writeLater() {
	for {
		select {
		case <-c.done:
			return
		case w := <-c.out:
			time.Sleep(time.Until(w.at))
			if _, err := c.Conn.Write(w.data); err != nil {
				return
			}
		}
	}
}

func (c *delayedConn) readAhead() {
	for {
		buffer := make([]byte, 16<<10)
		n, err := c.Conn.Read(buffer)
		select {
		case c.in <- chunk{data: buffer[:n], at: time.Now().Add(c.oneWay), err: err}:
		case <-c.done:
			return
		}
		if err != nil {
			return
		}
	}
}

func (c *delayedConn) Write(b []byte) (int, error) {
	select {
	case c.out <- chunk{data: append([]byte(nil), b...), at: time.Now().Add(c.oneWay)}:
		return len(b), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

func (c *delayedConn) Read(b []byte) (int, error) {
	if len(c.rest) == 0 {
		select {
		case r := <-c.in:
			time.Sleep(time.Until(r.at))
			if len(r.data) == 0 {
				return 0, r.err
			}
			c.rest = r.data
		case <-c.done:
			return 0, net.ErrClosed
		}
	}
	n := copy(b, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

func (c *delayedConn) Close() error {
	c.close.Do(func() { close(c.done) })
	return c.Conn.Close()
}
