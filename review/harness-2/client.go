package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// sentRequest is one attempt of a client and its answer.
type sentRequest struct {
	at     time.Time
	id     string
	status int
	header http.Header
	body   []byte
	err    error
}

// clients sends requests to the daemons on kept connections, one request at a time on
// each. It never sends a request twice.
type clients struct {
	record *record
	host   string
	mu     sync.Mutex
	idle   map[string][]*clientConn
	sent   []sentRequest
	wait   sync.WaitGroup
	number atomic.Int64
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
	// idleSince is when the last answer had been read.
	idleSince time.Time
}

// maxIdle is how long a connection may be idle and be used again: four fifths of the
// configured limit.
const maxIdle = 12 * time.Second

func newClients(r *record, host string) *clients {
	return &clients{record: r, host: host, idle: map[string][]*clientConn{}}
}

func (c *clients) take(address string) (*clientConn, error) {
	c.mu.Lock()
	for list := c.idle[address]; len(list) > 0; list = c.idle[address] {
		conn := list[len(list)-1]
		c.idle[address] = list[:len(list)-1]
		if time.Since(conn.idleSince) < maxIdle {
			c.mu.Unlock()
			return conn, nil
		}
		_ = conn.Close()
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// send sends one request in the background.
func (c *clients) send(address, method, path string, body string, deadline time.Duration) {
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		c.do(address, method, path, body, deadline)
	}()
}

// do sends one request and returns what came back.
func (c *clients) do(address, method, path, body string, deadline time.Duration) sentRequest {
	out := sentRequest{id: fmt.Sprintf("%016x", 0x5c41d07b00000000+c.number.Add(1))}
	conn, err := c.take(address)
	out.at = time.Now()
	if err == nil {
		err = c.exchange(conn, &out, address, method, path, body, deadline)
	}
	out.err = err
	if err != nil {
		c.record.line("%s to %s: %v", out.id, address, err)
	} else {
		c.record.line("%s to %s answered %d, %d bytes, missing %q", out.id, address, out.status, len(out.body), out.header.Get("Fuchsiastile-Missing-Parts"))
	}
	c.mu.Lock()
	c.sent = append(c.sent, out)
	c.mu.Unlock()
	return out
}

func (c *clients) exchange(conn *clientConn, out *sentRequest, address, method, path, body string, deadline time.Duration) error {
	_ = conn.SetDeadline(time.Now().Add(deadline + time.Second))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nFuchsiastile-Request-Id: %s\r\nFuchsiastile-Deadline-Ms: %d\r\n", method, path, c.host, out.id, deadline.Milliseconds())
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(conn, text+"\r\n"+body); err != nil {
		_ = conn.Close()
		return err
	}
	response, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		_ = conn.Close()
		return err
	}
	out.status, out.header = response.StatusCode, response.Header
	out.body, err = io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil || response.Close {
		_ = conn.Close()
		return err
	}
	conn.idleSince = time.Now()
	c.mu.Lock()
	c.idle[address] = append(c.idle[address], conn)
	c.mu.Unlock()
	return nil
}

func (c *clients) all() []sentRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]sentRequest(nil), c.sent...)
}
