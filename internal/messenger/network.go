package messenger

import (
	"context"
	"net"
)

// Network opens connections between hosts.
type Network interface {
	// Dial connects to address.
	Dial(ctx context.Context, address string) (net.Conn, error)
	// Listen accepts connections at address.
	Listen(ctx context.Context, address string) (net.Listener, error)
}

// TCP is the Network that hosts use.
type TCP struct {
	dialer net.Dialer
	config net.ListenConfig
}

// Dial connects to address over TCP.
func (tcp *TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	return tcp.dialer.DialContext(ctx, "tcp", address)
}

// Listen accepts TCP connections at address.
func (tcp *TCP) Listen(ctx context.Context, address string) (net.Listener, error) {
	return tcp.config.Listen(ctx, "tcp", address)
}

// loopback reports whether address, as IP:port, never leaves the host.
func loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
