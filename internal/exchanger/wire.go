package exchanger

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// writeTo writes the request to w with a single call.
func (r Request) writeTo(w io.Writer) error {
	var b bytes.Buffer
	b.Grow(writeBufferSize)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	if err := r.Header.Write(&b); err != nil {
		return err
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	_, err := w.Write(b.Bytes())
	return err
}

// idleTimeout returns how long an idle connection is kept open, according to the
// timeout in the server's Keep-Alive header.
func idleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || seconds < 0 {
			continue
		}
		return min(maxIdleTimeout, time.Duration(seconds)*time.Second-idleTimeoutMargin)
	}
	return defaultIdleTimeout
}

// isReusable reports whether a connection is open and has no unread data. Such data
// could otherwise be read as the reply to the next request.
func isReusable(c *conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = rawConn.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, readErr := syscall.Read(int(fd), buf[:])
		wouldBlock = readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && wouldBlock
}
