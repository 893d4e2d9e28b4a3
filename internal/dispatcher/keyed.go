package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/chivespool/chivespool/internal/claimer"
	"github.com/chivespool/chivespool/internal/recorder"
	"github.com/chivespool/chivespool/internal/refuser"
)

// settleTimeout bounds how long an answer waits for its outcome to be recorded.
const settleTimeout = 2 * time.Second

// HeaderReplayed is set on an answer that was recorded earlier.
const HeaderReplayed = "Idempotency-Replayed"

// Claimer holds the claims on keys, as package claimer does.
type Claimer interface {
	Claim(ctx context.Context, operation claimer.Operation) (*claimer.Claim, error)
}

// once sends a call that bears an Idempotency-Key where its key is not taken,
// and records what came of it.
func (dispatcher *Dispatcher) once(ctx context.Context, call *call) (*Answer, error) {
	if dispatcher.claimer == nil {
		return nil, refuser.New(refuser.KindStoreUnavailable, refuser.NotRun, "keys can't be claimed here")
	}
	claim, err := dispatcher.claimer.Claim(ctx, claimer.NewOperation(call.service, call.key, call.fingerprint))
	if err != nil {
		return recorded(err)
	}
	answer, err := dispatcher.attempt(ctx, call)
	outcome := outcomeOf(answer, err)
	// The claim is settled even where the caller has gone meanwhile.
	settleCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	if settleErr := claim.Settle(settleCtx, outcome); settleErr != nil {
		dispatcher.recorder.Record(recorder.KindClaim, call.service, call.id+" "+settleErr.Error())
	}
	return answer, err
}

// outcomeOf returns what to record of a call that held its claim. An answer
// that is still streaming has been run; its body is not kept.
func outcomeOf(answer *Answer, err error) claimer.Outcome {
	if err == nil {
		return claimer.Answered(answer.status, answer.header, answer.inMemory())
	}
	if asRefusal(err).Ran() == refuser.NotRun {
		return claimer.NotRun()
	}
	return claimer.Unknown()
}

// inMemory returns the body where it is held, or nil.
func (answer *Answer) inMemory() []byte {
	if body, ok := answer.body.(*memoryBody); ok {
		return body.rest
	}
	return nil
}

// recorded returns the answer that a refused claim recorded earlier, or the
// refusal itself.
func recorded(err error) (*Answer, error) {
	earlier := new(claimer.Recorded)
	if !errors.As(err, &earlier) {
		return nil, asRefusal(err)
	}
	if !earlier.Kept() {
		return nil, refuser.New(refuser.KindOutcomeUnknown, refuser.Unknown, earlier.Error())
	}
	header := earlier.Header().Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(HeaderReplayed, "true")
	body := earlier.Body()
	return NewAnswer(earlier.Status(), header, int64(len(body)), heldBody(body)), nil
}
