package claimer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/chivespool/chivespool/internal/refuser"
	"github.com/chivespool/chivespool/internal/registrar"
)

// resendWait is the Retry-After of a refusal that a short wait may cure.
const resendWait = time.Second

// Claim is the right to send one operation to a backend server, once.
type Claim struct {
	claimer   *Claimer
	operation Operation
	id        registrar.ClaimID
}

// Settle records what became of the operation. An answer may be given to the
// caller before it is recorded; an operation that was not run must be settled
// before its caller learns of it, so that the re-send finds the key free. An
// error means that the outcome is not recorded yet: this host goes on trying
// while it runs, and until then a re-send gets outcome unknown.
func (claim *Claim) Settle(ctx context.Context, outcome Outcome) error {
	if !outcome.known {
		return nil
	}
	request := claim.request(outcome.act, outcome.answer)
	ruling, err := claim.claimer.submit(ctx, request)
	if err != nil {
		claim.claimer.shardOf(request.Key()).keep(request)
		return fmt.Errorf("settle a claim; the outcome is recorded once the store answers: %w", err)
	}
	if ruling.Verdict() == registrar.Stale {
		return errors.New("settle a claim: it expired before; raise claims.retention above the longest request")
	}
	return nil
}

func (claim *Claim) request(act registrar.Act, answer registrar.Answer) registrar.Request {
	operation := claim.operation
	return registrar.NewRequest(act, operation.key, operation.digest, claim.id, answer)
}

// abandon gives back a claim that may have been granted without its attempt
// learning of it. The attempt sends nothing, so the key may be claimed again.
// Only the attempt itself may do this: a host that wrote a claim for another
// can't know whether that one acts on it.
func (claim *Claim) abandon() {
	request := claim.request(registrar.ActRelease, registrar.Answer{})
	claim.claimer.shardOf(request.Key()).keep(request)
}

// refuse returns the refusal of an operation whose claim got no ruling. The
// operation was not sent, so it did not run.
func refuse(cause error) error {
	var refusal *refuser.Refusal
	if errors.As(cause, &refusal) {
		return refusal
	}
	return refuser.New(refuser.KindStoreUnavailable, refuser.NotRun, "the key could not be claimed").
		WithRetryAfter(resendWait).WithCause(cause)
}

// decline returns the error for an operation whose claim was not granted.
func decline(ruling registrar.Ruling) error {
	switch ruling.Verdict() {
	case registrar.Recorded:
		return &Recorded{answer: ruling.Answer()}
	case registrar.Mismatch:
		return refuser.New(refuser.KindKeyMismatch, refuser.NotRun, "the key was used with another request")
	case registrar.Full:
		return refuser.New(refuser.KindClaimsFull, refuser.NotRun, "no room for one more key")
	}
	return refuser.New(refuser.KindOutcomeUnknown, refuser.Unknown,
		"the key was claimed before and no outcome is recorded").WithRetryAfter(resendWait)
}
