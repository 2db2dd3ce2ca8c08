package emulator

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
)

const (
	// DomainLatency is the one-way latency between failure domains of a region.
	DomainLatency = time.Millisecond
	// RegionLatency is the one-way latency between regions.
	RegionLatency = 12 * time.Millisecond
	// delayQueueSize is the capacity, in chunks, of each direction of a delayed connection.
	delayQueueSize = 4096
)

// WithLatency wraps a network so that connections dialed through it have the one-way
// latency that delay returns for the address. Packets are not delayed.
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

// chunk is data to be delivered at a given time.
type chunk struct {
	data      []byte
	deliverAt time.Time
	err       error
}

// delayedConn adds a one-way latency to each direction of a connection.
type delayedConn struct {
	net.Conn
	oneWay time.Duration
	writes chan chunk
	reads  chan chunk
	// unread is the remainder of the chunk that Read returned last, and readErr the
	// error that came with that chunk, to be returned after it.
	unread  []byte
	readErr error
	close   sync.Once
	done    chan struct{}
}

func newDelayedConn(conn net.Conn, oneWay time.Duration) *delayedConn {
	c := &delayedConn{
		Conn:   conn,
		oneWay: oneWay,
		writes: make(chan chunk, delayQueueSize),
		reads:  make(chan chunk, delayQueueSize),
		done:   make(chan struct{}),
	}
	go c.writeLoop()
	go c.readLoop()
	return c
}

func (c *delayedConn) writeLoop() {
	for {
		select {
		case <-c.done:
			return
		case w := <-c.writes:
			time.Sleep(time.Until(w.deliverAt))
			if _, err := c.Conn.Write(w.data); err != nil {
				return
			}
		}
	}
}

func (c *delayedConn) readLoop() {
	for {
		buffer := make([]byte, 16<<10)
		n, err := c.Conn.Read(buffer)
		select {
		case c.reads <- chunk{data: buffer[:n], deliverAt: time.Now().Add(c.oneWay), err: err}:
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
	case c.writes <- chunk{data: append([]byte(nil), b...), deliverAt: time.Now().Add(c.oneWay)}:
		return len(b), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

func (c *delayedConn) Read(b []byte) (int, error) {
	if len(c.unread) == 0 {
		if c.readErr != nil {
			return 0, c.readErr
		}
		select {
		case r := <-c.reads:
			time.Sleep(time.Until(r.deliverAt))
			c.unread, c.readErr = r.data, r.err
			if len(r.data) == 0 {
				return 0, r.err
			}
		case <-c.done:
			return 0, net.ErrClosed
		}
	}
	n := copy(b, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

func (c *delayedConn) Close() error {
	c.close.Do(func() { close(c.done) })
	return c.Conn.Close()
}
