// Package dialer defines the functions through which daemons access the network,
// so that tests can replace them to simulate network failures.
package dialer

import (
	"context"
	"net"
)

// Network holds the functions that open connections and packet sockets.
type Network struct {
	Dial         func(ctx context.Context, network, address string) (net.Conn, error)
	ListenPacket func(network, address string) (net.PacketConn, error)
}

// System returns a Network that uses the operating system's network stack.
func System() Network {
	return Network{Dial: (&net.Dialer{}).DialContext, ListenPacket: net.ListenPacket}
}
