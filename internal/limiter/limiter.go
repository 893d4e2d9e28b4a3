// Package limiter bounds the bytes that many requests hold at the same time, for
// packages acceptor and dispatcher.
package limiter

import "sync/atomic"

// Bytes counts the bytes that are held. The zero value counts none; it is safe for
// concurrent use.
type Bytes struct {
	// held is the sum of the reservations that were not released.
	held atomic.Int64
}

// Reserve reserves size bytes unless more than limit would be held then. It reports
// whether it did.
func (bytes *Bytes) Reserve(size, limit int64) bool {
	if bytes.held.Add(size) <= limit {
		return true
	}
	bytes.held.Add(-size)
	return false
}

// Release releases size bytes of a reservation.
func (bytes *Bytes) Release(size int64) { bytes.held.Add(-size) }

// Held returns the number of bytes that are held.
func (bytes *Bytes) Held() int64 { return bytes.held.Load() }
