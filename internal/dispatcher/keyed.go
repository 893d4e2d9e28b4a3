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

// Limits on recording outcomes in the store: the time for each, and the number in
// progress above which an answer waits until its outcome is recorded.
const (
	settleTimeout  = 2 * time.Second
	maxSettlements = 4096
)

// HeaderReplayed marks an answer that was recorded for an earlier request.
const HeaderReplayed = "Idempotency-Replayed"

// Claimer grants claims on keys, as package claimer does.
type Claimer interface {
	Claim(ctx context.Context, operation claimer.Operation) (*claimer.Claim, error)
}

// executeKeyed sends a call that has an Idempotency-Key if its key can be
// claimed, and records the outcome.
func (dispatcher *Dispatcher) executeKeyed(ctx context.Context, call *call) (*Answer, error) {
	if dispatcher.claimer == nil {
		return nil, refuser.New(refuser.KindStoreUnavailable, refuser.NotRun, "keys can't be claimed here")
	}
	claim, err := dispatcher.claimer.Claim(ctx, claimer.NewOperation(call.service, call.key, call.fingerprint))
	if err != nil {
		return replay(err)
	}
	answer, err := dispatcher.sendWithRetries(ctx, call)
	dispatcher.settle(&settlement{
		recorder: dispatcher.recorder, claim: claim, outcome: outcomeOf(answer, err), call: call,
	}, err == nil)
	return answer, err
}

// settle records the outcome of a claimed call. An answer is returned to its
// caller while its outcome is being recorded; a refusal waits, so that a repeated
// request finds the key free.
func (dispatcher *Dispatcher) settle(settlement *settlement, answered bool) {
	if answered && dispatcher.pendingSettlements.Add(1) <= maxSettlements {
		dispatcher.tasks.Add(1)
		go settlement.run(&dispatcher.pendingSettlements, &dispatcher.tasks)
		return
	}
	if answered {
		dispatcher.pendingSettlements.Add(-1)
	}
	settlement.write()
}

// settlement is the recording of one call's outcome in the store.
type settlement struct {
	recorder Recorder
	claim    *claimer.Claim
	outcome  claimer.Outcome
	call     *call
}

func (settlement *settlement) run(pending *atomic.Int64, tasks *sync.WaitGroup) {
	defer tasks.Done()
	defer pending.Add(-1)
	settlement.write()
}

// write settles the claim, even if the caller has disconnected.
func (settlement *settlement) write() {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := settlement.claim.Settle(ctx, settlement.outcome); err != nil {
		settlement.recorder.Record(recorder.KindClaim, settlement.call.service, settlement.call.id+" "+err.Error())
	}
}

// Close waits until all attempts have ended and the outcomes of all calls are
// recorded or have failed to be.
func (dispatcher *Dispatcher) Close() error {
	dispatcher.tasks.Wait()
	return nil
}

// outcomeOf returns the outcome to record for a call that held its claim. An
// answer that is still streaming is recorded as done, without its body.
func outcomeOf(answer *Answer, err error) claimer.Outcome {
	if err == nil {
		if body, ok := answer.body.(*memoryBody); ok {
			return claimer.Answered(answer.status, answer.header, body.unread)
		}
		return claimer.Done()
	}
	if asRefusal(err).Ran() == refuser.NotRun {
		return claimer.NotRun()
	}
	return claimer.Unknown()
}

// replay returns the answer that an earlier request with the key recorded, or the
// refusal if there is none.
func replay(err error) (*Answer, error) {
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
	return NewAnswer(earlier.Status(), header, int64(len(body)), newMemoryBody(body)), nil
}
