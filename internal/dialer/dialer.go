// Package dialer holds the seam through which daemons reach the network, so
// that tests can cut it.
package dialer

import (
	"context"
	"net"
)

// Network opens connections and packet sockets.
type Network struct {
	Dial         func(ctx context.Context, network, address string) (net.Conn, error)
	ListenPacket func(network, address string) (net.PacketConn, error)
}

// System returns the network of the operating system.
func System() Network {
	return Network{Dial: (&net.Dialer{}).DialContext, ListenPacket: net.ListenPacket}
}
