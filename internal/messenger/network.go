package messenger

import (
	"context"
	"net"

	"github.com/chivespool/chivespool/internal/dialer"
)

// Network opens connections between hosts.
type Network interface {
	// Dial connects to address.
	Dial(ctx context.Context, address string) (net.Conn, error)
	// Listen accepts connections at address.
	Listen(ctx context.Context, address string) (net.Listener, error)
}

// TCP is the default Network.
type TCP struct{}

// Dial connects to address over TCP.
func (*TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := dialer.New(0)
	return dialer.DialContext(ctx, "tcp", address)
}

// Listen accepts TCP connections at address.
func (*TCP) Listen(ctx context.Context, address string) (net.Listener, error) {
	config := dialer.ListenConfig()
	return config.Listen(ctx, "tcp", address)
}

// loopback reports whether address, an IP:port, is a loopback address.
func loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
