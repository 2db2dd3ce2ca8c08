package acceptor

import (
	"errors"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// openPair returns a connection that was accepted from a, and its caller's end.
func openPair(t *testing.T, a *Acceptor) (accepted *Conn, caller net.Conn) {
	t.Helper()
	is := is.New(t)
	caller, err := net.Dial("tcp", a.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = caller.Close() })
	conn, err := a.Accept()
	is.NoErr(err)
	return conn.(*Conn), caller
}

func newAcceptor(t *testing.T, onCut func(Cut)) *Acceptor {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	return New(l, onCut)
}

// TestSweepAppliesChangedLimits guards against closing connections by an outdated limit
// after the configuration has raised or lowered it.
func TestSweepAppliesChangedLimits(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	a := newAcceptor(t, func(Cut) {})
	open := func(state http.ConnState) net.Conn {
		conn, _ := openPair(t, a)
		a.TrackState(conn, state)
		return conn
	}
	isOpen := func(c net.Conn) bool {
		_ = c.SetReadDeadline(time.Now())
		_, err := c.Read(make([]byte, 1))
		return errors.Is(err, os.ErrDeadlineExceeded)
	}
	idle, active, unused := open(http.StateIdle), open(http.StateIdle), open(http.StateNew)
	a.TrackState(active, http.StateActive)
	at := func(elapsed time.Duration) time.Time { return time.Now().Add(elapsed) }

	is.Equal(a.Sweep(at(90*time.Second), Limits{Head: 5 * time.Second, Idle: 2 * time.Minute}), 0) // the limit was raised
	is.True(isOpen(idle))
	is.Equal(a.Sweep(at(16*time.Second), Limits{Head: 3 * time.Second, Idle: 15 * time.Second}), 2) // the limit was lowered
	is.True(!isOpen(idle))
	is.True(!isOpen(unused))
	is.True(isOpen(active))
	a.TrackState(active, http.StateIdle)
	is.Equal(a.Sweep(at(59*time.Second), Limits{Head: time.Second, Idle: time.Minute}), 0)
	is.Equal(a.Sweep(at(61*time.Second), Limits{Head: time.Second, Idle: time.Minute}), 1)
}

// TestCutRequestsAreReported covers the report of a request that was read and not answered.
func TestCutRequestsAreReported(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var cuts []Cut
	a := newAcceptor(t, func(c Cut) { cuts = append(cuts, c) })
	receive := func(closeCaller bool) *Conn {
		conn, caller := openPair(t, a)
		_, err := caller.Write([]byte("GET / HTTP/1.1\r\n"))
		is.NoErr(err)
		_, err = conn.Read(make([]byte, 100))
		is.NoErr(err)
		if closeCaller {
			is.NoErr(caller.Close())
			_, err = conn.Read(make([]byte, 100))
			is.True(err != nil)
		}
		return conn
	}
	answered := receive(false)
	_, err := answered.Write([]byte("HTTP/1.1 200 OK\r\n"))
	is.NoErr(err)
	is.NoErr(answered.Close())
	is.Equal(len(cuts), 0)
	is.NoErr(receive(false).Close())
	is.NoErr(receive(true).Close())
	is.Equal(len(cuts), 2)
	is.Equal(cuts[0].Cause, CauseServer)
	is.Equal(cuts[0].Bytes, len("GET / HTTP/1.1\r\n"))
	is.Equal(cuts[1].Cause, CauseCaller)
}
