// Package validator decides whether a response received over HTTP/1.1 is whole, for
// package sender, which reads the responses of endpoints. It does no I/O.
package validator

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// CheckEnd returns nil if a body that ends with its connection is whole, that is, if the
// peer ended the connection in order. WriteErr is the first error of a write on the
// connection, or nil.
//
// A socket reports a reset once, to the first call. If a write gets it, reads find the end
// of the connection as if it were in order. After a reset by a peer that had ended its side
// in order before, Linux reports EPIPE to the write instead.
func CheckEnd(writeErr error) error {
	for _, harmless := range []error{nil, syscall.EPIPE, os.ErrDeadlineExceeded, net.ErrClosed} {
		if errors.Is(writeErr, harmless) {
			return nil
		}
	}
	return fmt.Errorf("the connection broke before the end of the answer: %w", writeErr)
}
