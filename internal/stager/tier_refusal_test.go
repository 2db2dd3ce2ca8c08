package stager_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/stager"
)

// TestRefusalBeforeBodyLeavesConnectionWhole guards against a refusal after which the daemon
// resets the connection because it has not read the body of the request.
func TestRefusalBeforeBodyLeavesConnectionWhole(t *testing.T) {
	t.Parallel()
	for _, header := range []string{"", "Connection: close\r\n"} {
		t.Run(header, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			tier := newTier(t, nil)
			conn, err := net.Dial("tcp", tier.Daemons[0].Settings.CallerAddress)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			const parts = 10
			part := strings.Repeat("x", 2000)
			_, err = fmt.Fprintf(conn, "POST /unknown/x HTTP/1.1\r\nHost: %s\r\n%sContent-Length: %d\r\n\r\n", stager.TierHost, header, parts*len(part))
			is.NoErr(err)
			for range parts {
				time.Sleep(10 * time.Millisecond)
				_, err = io.WriteString(conn, part)
				is.NoErr(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, response.Body)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusNotFound)
		})
	}
}
