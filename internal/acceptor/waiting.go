package acceptor

import (
	"errors"
	"net"
	"os"
	"syscall"
)

// acceptWaiting accepts the connections that wait for Accept, without waiting for others.
// Those that it cannot accept are left to the system.
func acceptWaiting(listener net.Listener) []net.Conn {
	source, ok := listener.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return nil
	}
	var conns []net.Conn
	_ = raw.Control(func(fd uintptr) {
		for {
			accepted, _, err := syscall.Accept(int(fd))
			if errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED) {
				continue
			}
			if err != nil {
				return
			}
			if conn, err := newConn(accepted); err == nil {
				conns = append(conns, conn)
			}
		}
	})
	return conns
}

// newConn returns the connection of an accepted socket, which it closes.
func newConn(socket int) (net.Conn, error) {
	syscall.CloseOnExec(socket)
	file := os.NewFile(uintptr(socket), "accepted")
	defer func() { _ = file.Close() }()
	return net.FileConn(file)
}
