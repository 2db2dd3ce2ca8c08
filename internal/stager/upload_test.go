package stager_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/stager"
)

// slowUpload is a request whose body arrives slowly, and its response.
type slowUpload struct {
	// wholeAt is when the last byte was sent.
	wholeAt time.Time
	status  int
	// body is that of the response.
	body string
	err  error
}

// uploadSlowly posts a JSON text in pieces, so that the request is whole at a point in time,
// and reads the whole response.
func uploadSlowly(address, path string, h http.Header, wholeAt time.Time) slowUpload {
	const pieces = 20
	var out slowUpload
	conn, err := net.Dial("tcp", address)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = conn.Close() }()
	var head strings.Builder
	_ = h.Write(&head)
	body := `"` + strings.Repeat("x", 1000*pieces-2) + `"`
	_, out.err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: %d\r\n\r\n", path, stager.TierHost, head.String(), len(body))
	for rest := pieces; rest > 0 && out.err == nil; rest-- {
		time.Sleep(time.Until(wholeAt) / time.Duration(rest))
		_, out.err = io.WriteString(conn, body[:len(body)/rest])
		body = body[len(body)/rest:]
	}
	if out.err != nil {
		return out
	}
	out.wholeAt = time.Now()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		out.err = err
		return out
	}
	out.status = response.StatusCode
	content, err := io.ReadAll(response.Body)
	out.body, out.err = string(content), err
	return out
}
