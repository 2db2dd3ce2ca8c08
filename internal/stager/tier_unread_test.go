package stager_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// dialWithSmallBuffer opens a connection whose caller can receive only a few kilobytes before
// it reads.
func dialWithSmallBuffer(address string) (net.Conn, error) {
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	return d.Dial("tcp", address)
}

// readSlowly sends a request and bytes behind it while it is in progress, and reads the
// response only later, but whole.
func readSlowly(address, behind string) error {
	conn, err := dialWithSmallBuffer(address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	request, err := http.NewRequest(http.MethodGet, "http://"+stager.TierHost+stager.SinglePath+"x", nil)
	if err != nil {
		return err
	}
	platform.WriteCallerHeaders(request.Header, nextID(), 5*time.Second)
	if err := request.Write(conn); err != nil {
		return err
	}
	time.Sleep(100 * time.Millisecond)
	if _, err := io.WriteString(conn, behind); err != nil {
		return err
	}
	time.Sleep(time.Second)
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	return err
}

// TestStopSendsWholeAnswersToSlowReaders guards against an answer whose end is discarded: a
// stopping daemon closes its connection while bytes that the caller sent behind its request
// are unread, which resets it.
func TestStopSendsWholeAnswersToSlowReaders(t *testing.T) {
	t.Parallel()
	for name, behind := range map[string]string{"nothing": "", "a line end": "\r\n", "a part of a request": "GET /single/"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			tier := newTier(t, nil)
			for _, b := range tier.Backends {
				b.Records = 3000
				b.SetFaults(emulator.BackendFaults{Pause: 500 * time.Millisecond})
			}
			stopped := tier.Daemons[0]
			errs := make(chan error)
			const callers = 20
			for range callers {
				go func() { errs <- readSlowly(stopped.Settings.CallerAddress, behind) }()
			}
			time.Sleep(250 * time.Millisecond)
			stopped.Stop()
			lost := 0
			for range callers {
				if err := <-errs; err != nil {
					t.Log(err)
					lost++
				}
			}
			is.Equal(lost, 0)
			is.NoErr(<-stopped.RunErr)
		})
	}
}
