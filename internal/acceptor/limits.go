package acceptor

import "time"

// Limiter provides the limits on callers. It is asked before each request, so that a
// change applies to the next one.
type Limiter interface {
	Limits() Limits
}

// Limits bounds the sizes and the delays of callers' requests.
type Limits struct {
	headerBytes   int
	bodyBytes     int64
	headerTimeout time.Duration
	idleTimeout   time.Duration
	bodyTimeout   time.Duration
}

// NewLimits returns limits on a header's size in bytes, the time to send a header,
// the idle time between requests, and the time between parts of a body. The size of
// a body is not limited.
func NewLimits(headerBytes int, headerTimeout, idleTimeout, bodyTimeout time.Duration) Limits {
	return Limits{
		headerBytes: headerBytes, headerTimeout: headerTimeout,
		idleTimeout: idleTimeout, bodyTimeout: bodyTimeout,
	}
}

// Limits returns limits, so that fixed limits are a [Limiter].
func (limits Limits) Limits() Limits { return limits }

// Override returns the limits with those given that are not zero: on a header's and
// a body's size in bytes, the time to send a header and the idle time.
func (limits Limits) Override(headerBytes int, bodyBytes int64, headerTimeout, idleTimeout time.Duration) Limits {
	if headerBytes > 0 {
		limits.headerBytes = headerBytes
	}
	if bodyBytes > 0 {
		limits.bodyBytes = bodyBytes
	}
	if headerTimeout > 0 {
		limits.headerTimeout = headerTimeout
	}
	if idleTimeout > 0 {
		limits.idleTimeout = idleTimeout
	}
	return limits
}
