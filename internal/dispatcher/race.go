package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/recorder"
	"github.com/chivespool/chivespool/internal/refuser"
	"github.com/chivespool/chivespool/internal/router"
)

// race runs the attempts of one call. The request's goroutine acquires the slots
// and decides; each attempt has a goroutine that sends it and waits. At most two
// attempts run at once: one and its hedge, which is sent if the first is slow.
type race struct {
	dispatcher *Dispatcher
	call       *call
	ctx        context.Context
	// running counts the attempts whose outcome is pending.
	running int
	// attempts holds the attempts started.
	attempts []*attempt
	// silence expires when an attempt may have become silent.
	silence *time.Timer
	// outcomes receives the outcome of each attempt.
	outcomes chan outcome
	// best is the answer to return, and winner the number of its attempt. An answer
	// with a server error is kept while another attempt may still succeed.
	best   *Answer
	winner int
	// done is closed when the call has its answer or its refusal.
	done chan struct{}
}

// outcome is the result of one attempt.
type outcome struct {
	answer *Answer
	err    error
	// number is the index of the attempt within its call.
	number int
}

// sendWithRetries sends the call until it is answered or may not be sent again.
func (dispatcher *Dispatcher) sendWithRetries(ctx context.Context, call *call) (*Answer, error) {
	dispatcher.budget.earn(call.service)
	race := &race{
		dispatcher: dispatcher, call: call, ctx: ctx,
		outcomes: make(chan outcome), done: make(chan struct{}), silence: time.NewTimer(math.MaxInt64),
	}
	defer race.silence.Stop()
	defer race.cancelOthers()
	if err := race.startAttempt(); err != nil {
		return nil, err
	}
	hedge := time.NewTimer(hedgeDelay(call.plan))
	defer hedge.Stop()
	for {
		waitStart := time.Now()
		select {
		case outcome := <-race.outcomes:
			call.externalTime += time.Since(waitStart)
			if done, err := race.handleOutcome(outcome); done {
				return race.best, err
			}
		case <-hedge.C:
			call.externalTime += time.Since(waitStart)
			race.hedge()
		case <-race.silence.C:
			call.externalTime += time.Since(waitStart)
			race.handleSilence(time.Now())
		}
	}
}

// handleOutcome processes the outcome of an attempt and reports whether the call
// is done: with the best answer, or with a refusal.
func (race *race) handleOutcome(outcome outcome) (done bool, err error) {
	race.running--
	race.attempts[outcome.number].ended = true
	if outcome.err == nil {
		race.keepAnswer(outcome)
		return !race.retryServerError(), nil
	}
	err = race.handleFailure(outcome.err)
	if err != nil && race.best != nil {
		return true, nil
	}
	return err != nil, err
}

// keepAnswer replaces the best answer and closes the previous one.
func (race *race) keepAnswer(outcome outcome) {
	if race.best != nil {
		_ = race.best.Close()
	}
	race.best, race.winner = outcome.answer, outcome.number
}

// retryServerError starts another attempt if the best answer is a server error,
// none is running and the limits allow it. It reports whether to wait for an
// attempt before returning the best answer. The attempt of the best answer may still
// send its body, which must then be buffered.
func (race *race) retryServerError() bool {
	call, dispatcher := race.call, race.dispatcher
	if race.best.status < http.StatusInternalServerError || !call.plan.repeatable {
		return false
	}
	if race.running > 0 {
		return true
	}
	if !call.attempts.hasRemaining() || !call.Buffered() || !dispatcher.budget.spend(call.service) {
		return false
	}
	if err := race.startAttempt(); err != nil {
		return false // Return the server error rather than a refusal.
	}
	dispatcher.meters.retry()
	dispatcher.journal.Routine("retrying after a server error", "request", call.id, "status", race.best.status,
		"endpoint", race.best.endpoint)
	return true
}

// handleFailure processes a failed attempt. If no other is running, it starts
// another or returns the call's error.
func (race *race) handleFailure(err error) error {
	call, dispatcher := race.call, race.dispatcher
	failure := new(Failure)
	if !errors.As(err, &failure) {
		if race.running > 0 {
			return nil
		}
		return err
	}
	mayRetry := call.attempts.recordFailure(failure, call.Replayable())
	if race.running > 0 {
		return nil
	}
	if !mayRetry || (failure.sent && !dispatcher.budget.spend(call.service)) {
		return call.attempts.refusal(failure)
	}
	dispatcher.meters.retry()
	dispatcher.recorder.Record(recorder.KindRetry, call.service, call.id+" after "+failure.Error())
	if failure.sent && !failure.refused() {
		backoff(race.ctx, call.attempts.made)
	}
	return race.startAttempt()
}

// mayRepeat reports whether the call may have another attempt beside those that run.
func (race *race) mayRepeat() bool {
	return race.call.plan.repeatable && race.call.Buffered() && race.call.attempts.hasRemaining()
}

// hedge starts a second attempt beside a slow one, if the call and the budget
// allow it.
func (race *race) hedge() {
	call, dispatcher := race.call, race.dispatcher
	if race.running != 1 || !race.mayRepeat() || !dispatcher.budget.spendForHedge(call.service) {
		return
	}
	call.hedging = true
	defer func() { call.hedging = false }()
	if err := race.startAttempt(); err != nil {
		// The first attempt is still running; its outcome decides.
		dispatcher.recorder.Record(recorder.KindRetry, call.service, call.id+" no hedge: "+err.Error())
		dispatcher.budget.refund(call.service)
		return
	}
	dispatcher.meters.hedge()
	dispatcher.journal.Routine("hedged", "request", call.id, "class", call.plan.class, "tried", call.tried)
}

// startAttempt acquires a slot and starts an attempt. Its error is a
// *refuser.Refusal.
func (race *race) startAttempt() error {
	dispatcher, call := race.dispatcher, race.call
	admission, err := dispatcher.admit(race.ctx, call)
	if err != nil {
		return err
	}
	run := NewRun(call.fingerprint, admission, definer.Endpoint{})
	slot, err := dispatcher.acquire(race.ctx, call)
	if err != nil {
		dispatcher.endAdmission(call, run, NewFailure(Unconnected, false, err))
		return call.attempts.adjust(asRefusal(err))
	}
	left := dispatcher.timeLeft(call)
	if left <= 0 {
		// The machine was suspended while the request waited for its slot.
		slot.Release(router.NewResult(router.Cancelled, 0))
		dispatcher.endAdmission(call, run, NewFailure(DeadlineExceeded, false, nil))
		return call.attempts.adjust(refuser.New(refuser.KindDeadline, refuser.NotRun, "the deadline passed before the request was sent"))
	}
	if err := dispatcher.checkStop(call.Request, call.timeout); err != nil {
		// The stop began while the request waited for its slot.
		slot.Release(router.NewResult(router.Cancelled, 0))
		dispatcher.endAdmission(call, run, NewFailure(Unconnected, false, err))
		return call.attempts.adjust(asRefusal(err))
	}
	if len(race.attempts) > 0 {
		dispatcher.chargeAttempt(call)
	}
	run.endpoint = slot.Endpoint()
	call.tried = append(call.tried, run.endpoint.Name())
	call.attempts.begin()
	ctx, cancel := context.WithTimeout(race.ctx, left)
	attempt := &attempt{
		race: race, ctx: ctx, cancel: cancel, number: len(race.attempts),
		exchange: exchange{dispatcher: dispatcher, call: call, run: run, slot: slot, start: time.Now()},
	}
	race.attempts = append(race.attempts, attempt)
	race.running++
	race.watch(attempt)
	dispatcher.tasks.Add(1)
	go attempt.run()
	return nil
}

// cancelOthers cancels all attempts except that of the best answer, whose body is
// still to be read.
func (race *race) cancelOthers() {
	close(race.done)
	for number, attempt := range race.attempts {
		if race.best == nil || number != race.winner {
			attempt.cancel()
		}
	}
}

// attempt is one attempt of a race.
type attempt struct {
	race     *race
	ctx      context.Context
	cancel   context.CancelFunc
	number   int
	exchange exchange
	// silentAt is when the endpoint's silence is no longer explained; zero for never. It
	// and ended belong to the request's goroutine.
	silentAt time.Time
	// ended is true once the outcome is known.
	ended bool
	// progress changes once, by the attempt's goroutine or by the request's.
	progress atomic.Int32
}

func (attempt *attempt) run() {
	defer attempt.race.dispatcher.tasks.Done()
	answer, err := attempt.sendSafely()
	select {
	case attempt.race.outcomes <- outcome{answer: answer, err: err, number: attempt.number}:
	case <-attempt.race.done:
		if err == nil {
			_ = answer.Close()
		}
	}
}

// sendSafely sends the attempt. A panic fails the attempt, whose request may have run.
func (attempt *attempt) sendSafely() (answer *Answer, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			klog.ErrorS(nil, "attempt failed with a panic; please report it", "request", attempt.exchange.call.id,
				"cause", cause, "stack", string(debug.Stack()))
			answer, err = nil, attempt.recordFailure(NewFailure(Malformed, true, fmt.Errorf("panic: %v", cause)))
		}
	}()
	return attempt.send()
}

// send sends the attempt and tracks its answer. Its error is a [Failure].
func (attempt *attempt) send() (*Answer, error) {
	exchange := &attempt.exchange
	endpoint := exchange.slot.Endpoint()
	answer, err := exchange.dispatcher.sender.Send(attempt.ctx, endpoint, exchange.call.Request)
	if err == nil && !attempt.setProgress(attemptAnswered) {
		_ = answer.Close() // The answer came too late.
		err = NewFailure(Cancelled, true, nil)
	}
	if err != nil {
		return nil, attempt.recordFailure(attempt.asSilent(asFailure(err)))
	}
	answer.endpoint = endpoint.Name()
	exchange.trackBody(answer)
	return exchange.dispatcher.bufferAnswer(answer, exchange.call.plan.repeatable)
}

// recordFailure logs the failure of the attempt and releases its slot.
func (attempt *attempt) recordFailure(failure *Failure) *Failure {
	exchange := &attempt.exchange
	if attempt.ctx.Err() == nil || failure.cause != Cancelled {
		exchange.dispatcher.journal.Failure("attempt failed", "request", exchange.call.id, "number", attempt.number,
			"endpoint", exchange.slot.Endpoint().Name(), "address", exchange.slot.Endpoint().Address(),
			"cause", failure.cause.String(), "sent", failure.sent, "error", failure.err, "took", time.Since(exchange.start))
	}
	exchange.fail(failure)
	return failure
}

// Slot is the right to run one request on an endpoint.
type Slot interface {
	Endpoint() definer.Endpoint
	// Release releases the slot. Only the first call has an effect.
	Release(result router.Result)
}

// RouterAdapter adapts a [router.Router] to the Router interface.
type RouterAdapter struct{ *router.Router }

// Acquire acquires a slot; its error is a *refuser.Refusal.
func (routerAdapter RouterAdapter) Acquire(ctx context.Context, request router.Request) (Slot, error) {
	slot, err := routerAdapter.Router.Acquire(ctx, request)
	if err != nil {
		return nil, err
	}
	return slot, nil
}
