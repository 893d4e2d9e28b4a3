// Package stopper decides what a host still does during a planned stop: for how long it
// accepts requests, which of them it passes on, and when those that are left are given
// up. Packages launcher, acceptor and dispatcher ask it.
//
// A request that is passed on must get its answer, however long its endpoint takes.
// Only one that was sent early in the stop may be given up at the end. So a request is
// passed on late in a stop only if its deadline comes before the end; otherwise it is
// refused, and its caller can send it to another host at once.
//
// The package does no I/O, starts no goroutines and reads no clock.
package stopper

import (
	"sync/atomic"
	"time"
)

// The parts of a planned stop, as shares of its bound and from its beginning.
const (
	// acceptShare is the share in which connections and requests are accepted, since
	// callers cache the list of hosts for up to three times its hold time.
	acceptShare   = 0.48
	maxAcceptTime = 2900 * time.Millisecond
	// lastGivenUpTime is the time from the signal up to which a request may be sent that
	// is given up at the end, by the platform's rule of lost requests.
	lastGivenUpTime = 3 * time.Second
	// maxDelay is how late the process may notice the signal.
	maxDelay = 350 * time.Millisecond
	// startShare is the share in which a request is passed on whatever its deadline.
	startShare   = 0.43
	maxStartTime = lastGivenUpTime - maxDelay
	// endShare is the share by whose end the last request has ended; the rest is for
	// the process to exit.
	endShare = 0.94
)

// Stopper is the planned stop of one process, which begins once. The zero value never
// limits anything, and neither does a Stopper before Begin.
type Stopper struct {
	// bound is the time until the platform kills the process; set before use.
	bound time.Duration
	// begun is when the stop began; nil before.
	begun atomic.Pointer[time.Time]
}

// New returns a stopper for a process that is killed at bound after the beginning of its
// stop.
func New(bound time.Duration) *Stopper { return &Stopper{bound: bound} }

// Begin begins the stop at now; further calls have no effect. All times are of the clock
// of now.
func (stopper *Stopper) Begin(now time.Time) { stopper.begun.CompareAndSwap(nil, &now) }

// Stopping reports whether the stop has begun.
func (stopper *Stopper) Stopping() bool { return stopper.begun.Load() != nil }

// AcceptTime returns the time from the beginning in which requests are accepted.
func (stopper *Stopper) AcceptTime() time.Duration {
	return min(stopper.share(acceptShare), maxAcceptTime)
}

// End returns when the requests that are left are given up; false before the beginning.
func (stopper *Stopper) End() (time.Time, bool) {
	begun := stopper.begun.Load()
	if begun == nil {
		return time.Time{}, false
	}
	return begun.Add(stopper.share(endShare)), true
}

// LatestStart returns the latest time at which a request that may run until deadline is
// passed on; false if there is no limit. Arrived says whether its whole body has
// arrived: when the rest was sent, it may be too late for the request to be given up.
func (stopper *Stopper) LatestStart(deadline time.Time, arrived bool) (time.Time, bool) {
	end, stopping := stopper.End()
	if !stopping || !deadline.After(end) {
		return time.Time{}, false
	}
	begun := *stopper.begun.Load()
	if !arrived {
		return begun, true
	}
	return begun.Add(min(stopper.share(startShare), maxStartTime)), true
}

func (stopper *Stopper) share(share float64) time.Duration {
	return time.Duration(share * float64(stopper.bound))
}
