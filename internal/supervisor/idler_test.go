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

// TestIdleConnectionsFollowTheLimits: a connection may be unused for as long as
// the operator's limit in force says, however the limit changes, and ends after.
func TestIdleConnectionsFollowTheLimits(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	i := newIdler()
	open := func(state http.ConnState) net.Conn {
		near, _ := net.Pipe()
		i.note(near, state)
		return near
	}
	isOpen := func(c net.Conn) bool {
		_ = c.SetReadDeadline(time.Now())
		_, err := c.Read(make([]byte, 1))
		return errors.Is(err, os.ErrDeadlineExceeded)
	}
	idle, busy, fresh := open(http.StateIdle), open(http.StateIdle), open(http.StateNew)
	i.note(busy, http.StateActive)
	at := func(span time.Duration) time.Time { return time.Now().Add(span) }

	is.Equal(i.sweep(at(90*time.Second), 5*time.Second, 2*time.Minute), 0) // within a longer limit
	is.True(isOpen(idle))
	is.Equal(i.sweep(at(16*time.Second), 3*time.Second, 15*time.Second), 2) // the limit was lowered
	is.True(!isOpen(idle))
	is.True(!isOpen(fresh))
	is.True(isOpen(busy))
	i.note(busy, http.StateIdle)
	is.Equal(i.sweep(at(defaultIdle-time.Second), 0, 0), 0)
	is.Equal(i.sweep(at(defaultIdle+time.Second), 0, 0), 1)
}
