package dispatcher

import (
	"math/rand/v2"
	"time"

	"github.com/chivespool/chivespool/internal/refuser"
)

// A caller whose request every endpoint tried shed waits between shedRetryLeast
// and shedRetryMost: endpoints shed for moments, and callers come back apart.
const (
	shedRetryLeast = 40 * time.Millisecond
	shedRetryMost  = 160 * time.Millisecond
)

// Cause says how an attempt ended without a usable answer.
type Cause int

// The causes of a failed attempt.
const (
	// Unconnected means that no connection was made or nothing was sent.
	Unconnected Cause = iota
	// Shed means that the backend server refused the request as not run.
	Shed
	// Draining means that the endpoint drains and refused the request as not run.
	Draining
	// Lost means that the connection broke after something was sent.
	Lost
	// Malformed means that the answer broke HTTP or was cut.
	Malformed
	// Overdue means that the deadline passed after something was sent.
	Overdue
	// Abandoned means that the caller went away.
	Abandoned
	// Misplaced means that another endpoint has the address and refused the
	// request as not run.
	Misplaced
)

// String returns the cause as Proxy-Status names it (RFC 9209).
func (cause Cause) String() string {
	return [...]string{
		"connection_refused", "destination_unavailable", "destination_unavailable",
		"connection_terminated", "http_response_incomplete", "http_response_timeout", "http_request_error",
		"destination_not_found",
	}[cause]
}

// Failure is the error of one attempt.
type Failure struct {
	cause Cause
	// sent is false where surely no byte of the request left.
	sent bool
	err  error
}

// NewFailure returns a failure; err may be nil.
func NewFailure(cause Cause, sent bool, err error) *Failure {
	return &Failure{cause: cause, sent: sent, err: err}
}

// ran returns what the failure says about whether the request ran.
func (failure *Failure) ran() refuser.Ran {
	if !failure.sent || failure.refused() {
		return refuser.NotRun
	}
	return refuser.Unknown
}

// refused reports whether the endpoint said that it did not run the request.
func (failure *Failure) refused() bool {
	return failure.cause == Shed || failure.cause == Draining || failure.cause == Misplaced
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

// attempts is what a request's attempts so far allow. It decides; it does no
// I/O. Its limit holds for one request, and a cancelled request is never sent
// again (both as in the chat-client routing paper, docs/DESIGN.md).
type attempts struct {
	// repeatable is true when the request may run more than once.
	repeatable bool
	// most bounds made.
	most int
	made int
	// spare is how many attempts that surely did not run are not counted.
	spare int
	// ran is NotRun as long as every attempt surely did not run.
	ran refuser.Ran
}

func newAttempts(repeatable bool, most int) *attempts {
	return &attempts{repeatable: repeatable, most: most, ran: refuser.NotRun}
}

// begin counts an attempt that is about to be made.
func (attempts *attempts) begin() { attempts.made++ }

// left reports whether the request may still be sent once more.
func (attempts *attempts) left() bool { return attempts.made < attempts.most }

// failed takes in a failed attempt and reports whether another is allowed, as
// far as the request itself goes; the retry budget has its own say. Replayable
// says that the body can still be sent from its start.
func (attempts *attempts) failed(failure *Failure, replayable bool) bool {
	if failure.ran() == refuser.Unknown {
		attempts.ran = refuser.Unknown
	} else if attempts.spare > 0 {
		attempts.spare--
		attempts.made--
	}
	if failure.cause == Abandoned || failure.cause == Overdue {
		return false
	}
	if !attempts.left() || !replayable {
		return false
	}
	return attempts.repeatable || attempts.ran == refuser.NotRun
}

// refusal returns what the caller gets after the last failure.
func (attempts *attempts) refusal(failure *Failure) *refuser.Refusal {
	kind := refuser.KindOutcomeUnknown
	switch {
	case failure.cause == Abandoned:
		kind = refuser.KindCancelled
	case failure.cause == Overdue:
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
		return refusal.WithRetryAfter(shedRetryLeast + rand.N(shedRetryMost-shedRetryLeast))
	}
	return refusal
}

// adjust returns refusal so that it speaks for all attempts so far: a request
// that may have run in an earlier attempt is never called not run.
func (attempts *attempts) adjust(refusal *refuser.Refusal) *refuser.Refusal {
	if attempts.ran == refuser.NotRun || refusal.Ran() == refuser.Unknown {
		return refusal
	}
	return refuser.New(refuser.KindOutcomeUnknown, refuser.Unknown, refusal.Detail()).WithCause(refusal)
}
