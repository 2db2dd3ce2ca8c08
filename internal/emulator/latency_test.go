package emulator

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// closingConn returns its data together with an error, as the contract of io.Reader
// allows.
type closingConn struct {
	net.Conn
	data []byte
	err  error
}

func (c *closingConn) Read(b []byte) (int, error) { return copy(b, c.data), c.err }
func (c *closingConn) Close() error               { return nil }

// TestErrorThatComesWithDataIsDelivered checks that a delayed connection delivers an
// error that its connection returned together with the last data.
func TestErrorThatComesWithDataIsDelivered(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	failure := errors.New("connection reset")
	c := newDelayedConn(&closingConn{data: []byte("last"), err: failure}, 1)
	defer func() { _ = c.Close() }()
	type outcome struct {
		data []byte
		err  error
	}
	read := make(chan outcome, 1)
	go func() {
		data, err := io.ReadAll(c)
		read <- outcome{data, err}
	}()
	select {
	case got := <-read:
		is.Equal(string(got.data), "last")
		is.Equal(got.err, failure)
	case <-time.After(10 * time.Second):
		t.Fatal("the error was not delivered")
	}
}
