// Package dialer configures the TCP connections of packages connector, messenger and
// sender to detect a peer that stopped responding: a host that lost power or is
// partitioned sends no reset. It only returns configurations and opens no connection.
package dialer

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The timeouts for unresponsive peers.
const (
	// ackTimeout is how long sent data may stay unacknowledged.
	ackTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect an unresponsive peer
	// of an idle connection, also within 2 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
)

var keepAlive = net.KeepAliveConfig{
	Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
}

// New returns a dialer with a connect timeout; 0 means no timeout.
func New(timeout time.Duration) net.Dialer {
	return net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setAckTimeout}
}

// ListenConfig returns a listener configuration that sets the same timeouts on accepted
// connections.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAliveConfig: keepAlive, Control: setAckTimeout}
}

// setAckTimeout sets TCP_USER_TIMEOUT to ackTimeout on a socket; accepted sockets
// inherit it from the listening one.
func setAckTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}
