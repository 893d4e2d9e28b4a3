package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivespool/chivespool/internal/claimer"
	"github.com/chivespool/chivespool/internal/recorder"
	"github.com/chivespool/chivespool/internal/refuser"
)

// Bounds on the outcomes that are on their way to the store: the time for each,
// and how many there are before answers wait for theirs.
const (
	settleTimeout   = 2 * time.Second
	settlementsMost = 4096
)

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
	dispatcher.settle(&settlement{
		recorder: dispatcher.recorder, claim: claim, outcome: outcomeOf(answer, err), call: call,
	}, err == nil)
	return answer, err
}

// settle records what became of a claimed call. An answer may go to its caller
// meanwhile; a refusal waits, so that a re-send finds the key free.
func (dispatcher *Dispatcher) settle(settlement *settlement, answered bool) {
	if answered && dispatcher.settling.Add(1) <= settlementsMost {
		dispatcher.wait.Add(1)
		go settlement.run(&dispatcher.settling, &dispatcher.wait)
		return
	}
	if answered {
		dispatcher.settling.Add(-1)
	}
	settlement.write()
}

// settlement is the record of one call's outcome on its way to the store.
type settlement struct {
	recorder Recorder
	claim    *claimer.Claim
	outcome  claimer.Outcome
	call     *call
}

func (settlement *settlement) run(settling *atomic.Int64, wait *sync.WaitGroup) {
	defer wait.Done()
	defer settling.Add(-1)
	settlement.write()
}

// write settles the claim even where the caller has gone meanwhile.
func (settlement *settlement) write() {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := settlement.claim.Settle(ctx, settlement.outcome); err != nil {
		settlement.recorder.Record(recorder.KindClaim, settlement.call.service, settlement.call.id+" "+err.Error())
	}
}

// Close waits until the outcomes of all calls are recorded or given up.
func (dispatcher *Dispatcher) Close() error {
	dispatcher.wait.Wait()
	return nil
}

// outcomeOf returns what to record of a call that held its claim. An answer
// that is still streaming has been run; its body is not kept.
func outcomeOf(answer *Answer, err error) claimer.Outcome {
	if err == nil {
		if body, ok := answer.body.(*memoryBody); ok {
			return claimer.Answered(answer.status, answer.header, body.rest)
		}
		return claimer.Done()
	}
	if asRefusal(err).Ran() == refuser.NotRun {
		return claimer.NotRun()
	}
	return claimer.Unknown()
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
