package claimer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/chivespool/chivespool/internal/refuser"
	"github.com/chivespool/chivespool/internal/registrar"
)

// retryAfter is the Retry-After of a refusal for a transient cause.
const retryAfter = time.Second

// Claim is the right to send one operation to a backend server, once.
type Claim struct {
	claimer   *Claimer
	operation Operation
	id        registrar.ClaimID
}

// Settle records the outcome of the operation. An answer may be sent to the caller
// before it is recorded. An operation that did not run must be settled before its
// caller gets the refusal, so that a re-send can claim the key. An error means that the
// outcome is not recorded yet: this host retries until it stops, and until then a
// re-send is refused as outcome unknown.
func (claim *Claim) Settle(ctx context.Context, outcome Outcome) error {
	if !outcome.known {
		return nil
	}
	request := claim.request(outcome.act, outcome.answer)
	decision, err := claim.claimer.submit(ctx, request)
	if err != nil {
		claim.claimer.shardOf(request.Key()).submitAsync(request)
		return fmt.Errorf("settle a claim; the outcome is recorded once the store answers: %w", err)
	}
	if decision.Verdict() == registrar.Stale {
		return errors.New("settle a claim: it expired before; raise claims.retention above the longest request")
	}
	return nil
}

func (claim *Claim) request(act registrar.Act, answer registrar.Answer) registrar.Request {
	operation := claim.operation
	return registrar.NewRequest(act, operation.key, operation.digest, claim.id, answer)
}

// abandon releases a claim that may have been granted although its attempt got no
// decision. The attempt sends nothing, so the key may be claimed again. Only the
// attempt itself may abandon a claim: a host that wrote the claim for another host
// can't know whether that host runs the operation.
func (claim *Claim) abandon() {
	request := claim.request(registrar.ActRelease, registrar.Answer{})
	claim.claimer.shardOf(request.Key()).submitAsync(request)
}

// refusalOf returns the refusal of an operation whose claim failed with cause. The
// operation was not sent, so it did not run.
func refusalOf(cause error) error {
	var refusal *refuser.Refusal
	if errors.As(cause, &refusal) {
		return refusal
	}
	return refuser.New(refuser.KindStoreUnavailable, refuser.NotRun, "the key could not be claimed").
		WithRetryAfter(retryAfter).WithCause(cause)
}

// notGranted returns the error for an operation whose claim was not granted.
func notGranted(decision registrar.Decision) error {
	switch decision.Verdict() {
	case registrar.Recorded:
		return &Recorded{answer: decision.Answer()}
	case registrar.Mismatch:
		return refuser.New(refuser.KindKeyMismatch, refuser.NotRun, "the key was used with another request")
	case registrar.Full:
		return refuser.New(refuser.KindClaimsFull, refuser.NotRun, "no room for one more key")
	}
	return refuser.New(refuser.KindOutcomeUnknown, refuser.Unknown,
		"the key was claimed before and no outcome is recorded").WithRetryAfter(retryAfter)
}
