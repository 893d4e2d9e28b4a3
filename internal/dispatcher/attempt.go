package dispatcher

import (
	"math/rand/v2"
	"time"

	"github.com/chivespool/chivespool/internal/refuser"
)

// The retry delay that a caller receives if all attempts were shed is random
// between minShedRetry and maxShedRetry: endpoints shed load only briefly, and the
// jitter spreads the retries of many callers.
const (
	minShedRetry = 40 * time.Millisecond
	maxShedRetry = 160 * time.Millisecond
)

// Cause classifies an attempt that ended without a usable answer.
type Cause int

// The causes of a failed attempt.
const (
	// Unconnected means that no connection was made or nothing was sent.
	Unconnected Cause = iota
	// Shed means that the backend server rejected the request without running it.
	Shed
	// Draining means that the endpoint is draining and rejected the request without
	// running it.
	Draining
	// ConnectionLost means that the connection broke after part of the request was sent.
	ConnectionLost
	// Malformed means that the response violated HTTP or was truncated.
	Malformed
	// DeadlineExceeded means that the deadline passed after part of the request was sent.
	DeadlineExceeded
	// Cancelled means that the caller cancelled the request.
	Cancelled
	// Misdirected means that another endpoint is at the address and rejected the
	// request without running it.
	Misdirected
	// Silent means that the endpoint was silent for longer than the request's work
	// explains, and that the connection was closed.
	Silent
)

// String returns the cause's Proxy-Status error type (RFC 9209).
func (cause Cause) String() string {
	return [...]string{
		"connection_refused", "destination_unavailable", "destination_unavailable",
		"connection_terminated", "http_response_incomplete", "http_response_timeout", "http_request_error",
		"destination_not_found", "http_response_timeout",
	}[cause]
}

// Failure is the error of one attempt.
type Failure struct {
	cause Cause
	// sent is false only if no byte of the request was sent.
	sent bool
	err  error
}

// NewFailure returns a failure; err may be nil.
func NewFailure(cause Cause, sent bool, err error) *Failure {
	return &Failure{cause: cause, sent: sent, err: err}
}

// ran returns whether the request may have run, judging by this failure.
func (failure *Failure) ran() refuser.Ran {
	if !failure.sent || failure.refused() {
		return refuser.NotRun
	}
	return refuser.Unknown
}

// refused reports whether the endpoint stated that it did not run the request.
func (failure *Failure) refused() bool {
	return failure.cause == Shed || failure.cause == Draining || failure.cause == Misdirected
}

// Cause returns how the attempt ended.
func (failure *Failure) Cause() Cause { return failure.cause }

// Unwrap returns the underlying error, or nil.
func (failure *Failure) Unwrap() error { return failure.err }

// Error names the cause and the underlying error.
func (failure *Failure) Error() string {
	if failure.err == nil {
		return failure.cause.String()
	}
	return failure.cause.String() + ": " + failure.err.Error()
}

// attempts decides whether a request may be sent again, from its attempts so
// far. It does no I/O. Its limit applies to a single request, and a cancelled
// request is never sent again (both as in the chat-client routing paper,
// docs/DESIGN.md).
type attempts struct {
	// repeatable is true if the request may run more than once.
	repeatable bool
	// limit is the maximum of made.
	limit int
	made  int
	// freeAttempts is how many more attempts that did not run are left out of made.
	freeAttempts int
	// ran is NotRun while no attempt can have run.
	ran refuser.Ran
}

func newAttempts(repeatable bool, limit int) *attempts {
	return &attempts{repeatable: repeatable, limit: limit, ran: refuser.NotRun}
}

// begin counts an attempt that is about to start.
func (attempts *attempts) begin() { attempts.made++ }

// hasRemaining reports whether the limit allows another attempt.
func (attempts *attempts) hasRemaining() bool { return attempts.made < attempts.limit }

// recordFailure records a failed attempt and reports whether the request may be
// sent again; the caller checks the retry budget separately. Replayable says
// whether the body can be sent again from its start.
func (attempts *attempts) recordFailure(failure *Failure, replayable bool) bool {
	if failure.ran() == refuser.Unknown {
		attempts.ran = refuser.Unknown
	} else if attempts.freeAttempts > 0 {
		attempts.freeAttempts--
		attempts.made--
	}
	if failure.cause == Cancelled || failure.cause == DeadlineExceeded {
		return false
	}
	if !attempts.hasRemaining() || !replayable {
		return false
	}
	return attempts.repeatable || attempts.ran == refuser.NotRun
}

// refusal returns the refusal that the caller receives after the last failure.
func (attempts *attempts) refusal(failure *Failure) *refuser.Refusal {
	kind := refuser.KindOutcomeUnknown
	switch {
	case failure.cause == Cancelled:
		kind = refuser.KindCancelled
	case failure.cause == DeadlineExceeded:
		kind = refuser.KindDeadline
	case attempts.ran == refuser.Unknown:
		kind = refuser.KindOutcomeUnknown
	case failure.refused():
		kind = refuser.KindOverloaded
	case failure.cause == Unconnected:
		kind = refuser.KindUnreachable
	}
	refusal := refuser.New(kind, attempts.ran, failure.cause.String()).WithCause(failure)
	if kind == refuser.KindOverloaded {
		return refusal.WithRetryAfter(minShedRetry + rand.N(maxShedRetry-minShedRetry))
	}
	return refusal
}

// adjust returns refusal so that it covers all attempts so far: if an earlier
// attempt may have run, the request is not reported as not run.
func (attempts *attempts) adjust(refusal *refuser.Refusal) *refuser.Refusal {
	if attempts.ran == refuser.NotRun || refusal.Ran() == refuser.Unknown {
		return refusal
	}
	return refuser.New(refuser.KindOutcomeUnknown, refuser.Unknown, refusal.Detail()).WithCause(refusal)
}
