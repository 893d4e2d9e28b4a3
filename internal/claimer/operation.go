package claimer

import (
	"fmt"
	"net/http"

	"github.com/chivespool/chivespool/internal/registrar"
)

// Operation is a request that must run at most once, identified by its caller's
// idempotency key.
type Operation struct {
	key    registrar.Key
	digest registrar.Digest
}

// NewOperation returns the operation of service with the idempotency key. The
// fingerprint is a hash of the request; the same key with another fingerprint
// is refused.
func NewOperation(service, key string, fingerprint [32]byte) Operation {
	return Operation{key: registrar.NewKey(service, key), digest: registrar.Digest(fingerprint[:16])}
}

// Outcome is the outcome of a claimed operation. The zero value is unknown.
type Outcome struct {
	act    registrar.Act
	answer registrar.Answer
	// known is false if there is nothing to record.
	known bool
}

// Answered is the outcome of an operation that a backend server answered. An
// answer over registrar.MaxBodyBytes or registrar.MaxHeaderBytes is not recorded,
// only that the operation ran.
func Answered(status int, header http.Header, body []byte) Outcome {
	answer := registrar.NewAnswer(status, header, body)
	return Outcome{act: registrar.ActFinish, answer: answer, known: true}
}

// Done is the outcome of an operation that a backend server answered, with an
// answer that can't be recorded.
func Done() Outcome { return Outcome{act: registrar.ActFinish, known: true} }

// NotRun is the outcome of an operation that provably did not run: its claim is
// released, and a re-send may run.
func NotRun() Outcome { return Outcome{act: registrar.ActRelease, known: true} }

// Unknown is the outcome of an operation that may have run.
func Unknown() Outcome { return Outcome{} }

// Recorded is the error for an operation that ran before. It holds the recorded
// answer, which the caller receives instead of a second run.
type Recorded struct{ answer registrar.Answer }

// Kept reports whether the answer could be recorded.
func (recorded *Recorded) Kept() bool { return recorded.answer.Kept() }

// Status returns the HTTP status code of the answer, or 0 if it wasn't kept.
func (recorded *Recorded) Status() int { return recorded.answer.Status() }

// Header returns the recorded header fields; callers must not modify them.
func (recorded *Recorded) Header() http.Header { return recorded.answer.Header() }

// Body returns the answer's body; callers must not modify it.
func (recorded *Recorded) Body() []byte { return recorded.answer.Body() }

// Error returns a message with the recorded status and the remedy.
func (recorded *Recorded) Error() string {
	if !recorded.Kept() {
		return "the operation ran before; done, answer too large to keep: look its result up at the service"
	}
	return fmt.Sprintf("the operation ran before with status %d; use the recorded answer", recorded.Status())
}
