// Package timekeeper tells how much time has passed, with that during which the
// machine was suspended, for packages tracker, dispatcher and acceptor.
//
// Go's monotonic clock stands still while the machine is suspended: after that, a copy
// of the store would seem as fresh, and a deadline as far away, as before. The time of
// day counts a suspension, but may jump.
package timekeeper

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// System is the clock of the system, for tests and for users that need not count
// suspensions.
type System struct{}

// Now returns the time of the system.
func (System) Now() time.Time { return time.Now() }

// Timekeeper reads the time. The zero value is ready for use; it is safe for concurrent
// use.
type Timekeeper struct {
	// unavailable logs once that the clock can't be read.
	unavailable sync.Once
}

// Now returns a time that counts from the start of the machine. It can be compared only
// with others of a Timekeeper on the same machine. If the system has no such clock, it
// is the time of Go's monotonic clock.
func (timekeeper *Timekeeper) Now() time.Time {
	var since unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &since); err != nil {
		timekeeper.unavailable.Do(func() {
			klog.ErrorS(err, "cannot read the clock that counts suspensions; using the monotonic clock")
		})
		return time.Now()
	}
	return time.Unix(since.Unix())
}
