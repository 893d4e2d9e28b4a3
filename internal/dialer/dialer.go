// Package dialer makes TCP connections that notice a peer that went silent: a
// host without power, or one that is cut off, sends no reset.
package dialer

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The bounds on silence.
const (
	// silenceTimeout is how long sent data may stay unacknowledged.
	silenceTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a silent peer of a
	// connection that carries nothing, in 2 s as well.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
)

var keepAlive = net.KeepAliveConfig{
	Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
}

// New returns a dialer that gives up after timeout; 0 for no bound of its own.
func New(timeout time.Duration) net.Dialer {
	return net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: boundSilence}
}

// Listener returns a configuration whose accepted connections are bounded alike.
func Listener() net.ListenConfig {
	return net.ListenConfig{KeepAliveConfig: keepAlive, Control: boundSilence}
}

// boundSilence sets the timeout on a socket; accepted ones inherit it.
func boundSilence(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}
