package stager_test

import (
	"net"
	"net/netip"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// holdPort binds the TCP address of a server that has just been closed, without listening
// on it, until the test ends. Connections to it are refused. Otherwise a server of a test
// that runs at the same time could get the address and answer in its place.
func holdPort(t *testing.T, address string) {
	t.Helper()
	is := is.New(t)
	at, err := netip.ParseAddrPort(address)
	is.NoErr(err)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	is.NoErr(err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	// Closed connections of the port, which the kernel still remembers, do not count.
	is.NoErr(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1))
	is.NoErr(syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}))
	is.NoErr(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 0))
}

// TestHeldPortRefusesConnections guards against a held port that accepts connections or
// that another server can get.
func TestHeldPortRefusesConnections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	holdPort(t, address)
	_, err = net.Dial("tcp", address)
	is.True(err != nil)
	_, err = net.Listen("tcp", address)
	is.True(err != nil)
}
