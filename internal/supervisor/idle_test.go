package supervisor

import (
	"errors"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestIdleCloserAppliesChangedLimits guards against closing connections by an
// outdated limit after the configuration has raised or lowered it.
func TestIdleCloserAppliesChangedLimits(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	i := newIdleCloser()
	open := func(state http.ConnState) net.Conn {
		conn, _ := net.Pipe()
		i.trackState(conn, state)
		return conn
	}
	isOpen := func(c net.Conn) bool {
		_ = c.SetReadDeadline(time.Now())
		_, err := c.Read(make([]byte, 1))
		return errors.Is(err, os.ErrDeadlineExceeded)
	}
	idle, active, unused := open(http.StateIdle), open(http.StateIdle), open(http.StateNew)
	i.trackState(active, http.StateActive)
	at := func(elapsed time.Duration) time.Time { return time.Now().Add(elapsed) }

	is.Equal(i.sweep(at(90*time.Second), 5*time.Second, 2*time.Minute), 0) // the limit was raised
	is.True(isOpen(idle))
	is.Equal(i.sweep(at(16*time.Second), 3*time.Second, 15*time.Second), 2) // the limit was lowered
	is.True(!isOpen(idle))
	is.True(!isOpen(unused))
	is.True(isOpen(active))
	i.trackState(active, http.StateIdle)
	is.Equal(i.sweep(at(defaultIdleTimeout-time.Second), 0, 0), 0)
	is.Equal(i.sweep(at(defaultIdleTimeout+time.Second), 0, 0), 1)
}
