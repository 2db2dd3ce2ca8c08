package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call is one attempt of a client.
type call struct {
	method, host, path, id string
	deadline               time.Duration
	body                   string
	headers                string
}

// text returns the request as it is sent.
func (c call) text() string {
	out := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nFuchsiastile-Request-Id: %s\r\nFuchsiastile-Deadline-Ms: %d\r\n%s", c.method, c.path, c.host, c.id, c.deadline.Milliseconds(), c.headers)
	if c.body != "" {
		out += fmt.Sprintf("Content-Length: %d\r\n", len(c.body))
	}
	return out + "\r\n" + c.body
}

// answer is what a client received; status is 0 if there was no complete answer.
type answer struct {
	status int
	stamp  string
	body   string
	header http.Header
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no complete answer: " + a.err.Error()
	}
	stamp := a.stamp
	if stamp == "" {
		stamp = "none"
	}
	return fmt.Sprintf("%d, signature %s, body of %d bytes", a.status, stamp, len(a.body))
}

// read reads one answer.
func read(conn net.Conn, reader *bufio.Reader, method string, wait time.Duration) answer {
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: response.StatusCode, stamp: response.Header.Get("Fuchsiastile-Server-Stamp"), body: string(body), header: response.Header}
}

// ask sends a call on a connection of its own and waits for its answer.
func ask(rec *record, address string, c call) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, c.text()); err != nil {
		return answer{err: err}
	}
	a := read(conn, bufio.NewReader(conn), c.method, c.deadline)
	if rec != nil {
		rec.printf("%s sent to daemon %s, answered: %s", c.id, address, a)
	}
	return a
}
