package sender

import (
	"context"
	"net"
	"sync"
	"time"
)

// connection counts what is written to a backend server, so that a failure
// can tell whether any byte of a request left.
type connection struct {
	net.Conn
	// mu is held during each Write and guards the fields below.
	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write writes unless the connection was sealed.
func (connection *connection) Write(data []byte) (int, error) {
	connection.mu.Lock()
	defer connection.mu.Unlock()
	if connection.sealed {
		return 0, net.ErrClosed
	}
	count, err := connection.Conn.Write(data)
	connection.written += int64(count)
	return count, err
}

// count returns how many bytes were written so far.
func (connection *connection) count() int64 {
	connection.mu.Lock()
	defer connection.mu.Unlock()
	return connection.written
}

// seal closes the connection and returns how many bytes were written in all:
// none follows.
func (connection *connection) seal() int64 {
	_ = connection.Close()
	connection.mu.Lock()
	defer connection.mu.Unlock()
	connection.sealed = true
	return connection.written
}

// dialer makes connections that count.
type dialer struct {
	net.Dialer
}

func newDialer(timeout time.Duration) *dialer {
	return &dialer{Dialer: net.Dialer{Timeout: timeout, KeepAlive: 15 * time.Second}}
}

func (dialer *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn}, nil
}
