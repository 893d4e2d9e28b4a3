package sharer

import "time"

const (
	// minRetryAfter is the shortest delay: several times the time that an endpoint's slots
	// need to change hands.
	minRetryAfter = 100 * time.Millisecond
	// callerShare is the part of their time left that callers wait at most; they ignore a
	// longer Retry-After.
	callerShare = 1.0 / 3
	// returnShare is the part of the time until the last useful start over which callers
	// return. In replays of bursts, a third had 0.01 more of the requests' worth than the
	// whole: a caller that returns early may wait for a slot on its host.
	returnShare = 1.0 / 3
	// returnReserve is the reserve for the path back, as a share of the run time.
	returnReserve = 0.15
	// minReturnedTime and minReturnedShare are the least time that a caller has been
	// retrying if it was rejected before, absolute and as a share of its deadline. The
	// callers of a class differ a little in their deadlines.
	minReturnedTime  = 80 * time.Millisecond
	minReturnedShare = 0.05
)

// RetryAfter returns the delay after which a caller that was rejected under pressure
// should return. timeLeft is the time in which an answer is of full use, callerLeft the
// time until the caller gives up, and run its run time at normal speed.
//
// The capacity that becomes free until the last start of a useful answer is spread over
// that time, and so are the callers, who may wait again after their return: share is a
// random number from 0 to 1. A caller whose answer would be late in any case returns later,
// within what it waits at most.
func RetryAfter(share float64, timeLeft, callerLeft, run time.Duration) time.Duration {
	longest := time.Duration(callerShare * float64(callerLeft))
	latest := timeLeft - time.Duration((1+returnReserve)*float64(run))
	if latest >= minRetryAfter {
		longest = min(longest, max(minRetryAfter, time.Duration(returnShare*float64(latest))))
	}
	longest = max(longest, 0)
	shortest := min(minRetryAfter, longest/2)
	return shortest + time.Duration(share*float64(longest-shortest))
}

// HasReturned reports whether a caller was rejected before, by the time for which it has
// been retrying and the deadline that callers of its class start with.
func HasReturned(retrying, deadline time.Duration) bool {
	return retrying >= max(minReturnedTime, time.Duration(minReturnedShare*float64(deadline)))
}
