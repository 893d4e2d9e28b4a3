package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/recorder"
	"github.com/chivespool/chivespool/internal/router"
)

// race is the attempts of one call. The request's own task takes the slots and
// decides; each attempt is a task that sends and waits. At most one attempt
// runs beside another: a hedge, which is sent when the first one takes long.
type race struct {
	dispatcher *Dispatcher
	call       *call
	ctx        context.Context
	// running counts the attempts whose outcome is still to come.
	running int
	// cancels ends each attempt that was started.
	cancels []context.CancelFunc
	// outcomes carries how attempts ended.
	outcomes chan outcome
	// best is the answer to hand on, and winner the number of its attempt. One
	// that tells of a failure is kept while another attempt may bring a better.
	best   *Answer
	winner int
	// over is closed once the call has its answer or its refusal.
	over chan struct{}
}

// outcome is how one attempt ended.
type outcome struct {
	answer *Answer
	err    error
	// number counts the attempts of the call from 0.
	number int
}

// attempt sends the call until it is answered or may not be sent again.
func (dispatcher *Dispatcher) attempt(ctx context.Context, call *call) (*Answer, error) {
	dispatcher.budget.earn(call.service)
	race := &race{
		dispatcher: dispatcher, call: call, ctx: ctx,
		outcomes: make(chan outcome), over: make(chan struct{}),
	}
	defer race.end()
	if err := race.start(); err != nil {
		return nil, err
	}
	hedge := time.NewTimer(hedgeDelay(call.plan))
	defer hedge.Stop()
	for {
		wait := time.Now()
		select {
		case outcome := <-race.outcomes:
			call.elsewhere += time.Since(wait)
			if over, err := race.take(outcome); over {
				return race.best, err
			}
		case <-hedge.C:
			call.elsewhere += time.Since(wait)
			race.hedge()
		}
	}
}

// take takes in how an attempt ended, and reports whether the call is over: with
// the best answer, or with a refusal.
func (race *race) take(outcome outcome) (over bool, err error) {
	race.running--
	if outcome.err == nil {
		race.keep(outcome)
		return !race.another(), nil
	}
	err = race.failed(outcome.err)
	if err != nil && race.best != nil {
		return true, nil
	}
	return err != nil, err
}

// keep puts an answer in place of the one kept before.
func (race *race) keep(outcome outcome) {
	if race.best != nil {
		_ = race.best.Close()
	}
	race.best, race.winner = outcome.answer, outcome.number
}

// another reports whether an answer that tells of a failure of the endpoint is
// put by, since another attempt runs or was started.
func (race *race) another() bool {
	call, dispatcher := race.call, race.dispatcher
	if race.best.status < http.StatusInternalServerError || !call.plan.repeatable {
		return false
	}
	if race.running > 0 {
		return true
	}
	if !call.attempts.left() || !call.Replayable() || !dispatcher.budget.spend(call.service) {
		return false
	}
	if err := race.start(); err != nil {
		return false // The endpoint's own answer is as good as a refusal.
	}
	dispatcher.meters.retry()
	dispatcher.journal.Usual("tried again after a failure", "request", call.id, "status", race.best.status,
		"endpoint", race.best.endpoint)
	return true
}

// failed takes in a failed attempt: it starts another where that is allowed,
// and returns why the call ends where none runs any more.
func (race *race) failed(err error) error {
	call, dispatcher := race.call, race.dispatcher
	failure := new(Failure)
	if !errors.As(err, &failure) {
		if race.running > 0 {
			return nil
		}
		return err
	}
	again := call.attempts.failed(failure, call.Replayable())
	if race.running > 0 {
		return nil
	}
	if !again || (failure.sent && !dispatcher.budget.spend(call.service)) {
		return call.attempts.refusal(failure)
	}
	dispatcher.meters.retry()
	dispatcher.recorder.Record(recorder.KindRetry, call.service, call.id+" after "+failure.Error())
	if failure.sent && !failure.refused() {
		pause(race.ctx, call.attempts.made)
	}
	return race.start()
}

// hedge starts an attempt beside one that takes long, where the call and the
// budget allow it.
func (race *race) hedge() {
	call, dispatcher := race.call, race.dispatcher
	if race.running != 1 || !call.plan.repeatable || !call.Replayable() || !call.attempts.left() {
		return
	}
	if !dispatcher.budget.spendSpare(call.service) {
		return
	}
	call.hedging = true
	defer func() { call.hedging = false }()
	if err := race.start(); err != nil {
		// The first attempt still runs; its outcome decides.
		dispatcher.recorder.Record(recorder.KindRetry, call.service, call.id+" no hedge: "+err.Error())
		dispatcher.budget.refund(call.service)
		return
	}
	dispatcher.meters.hedge()
	dispatcher.journal.Usual("hedged", "request", call.id, "class", call.plan.class, "tried", call.tried)
}

// start takes a slot and starts an attempt. Its error is a *refuser.Refusal.
func (race *race) start() error {
	dispatcher, call := race.dispatcher, race.call
	if err := dispatcher.admit(race.ctx, call); err != nil {
		return err
	}
	slot, err := dispatcher.acquire(race.ctx, call)
	if err != nil {
		dispatcher.acquit(call, NewFailure(Unconnected, false, err))
		return call.attempts.adjust(asRefusal(err))
	}
	call.tried = append(call.tried, slot.Endpoint().Name())
	call.attempts.begin()
	ctx, cancel := context.WithCancel(race.ctx)
	attempt := &trial{
		race: race, ctx: ctx, number: len(race.cancels),
		flight: flight{dispatcher: dispatcher, call: call, slot: slot, start: time.Now()},
	}
	race.cancels = append(race.cancels, cancel)
	race.running++
	dispatcher.wait.Add(1)
	go attempt.run()
	return nil
}

// end stops all attempts but that of the best answer, which still needs its own.
func (race *race) end() {
	close(race.over)
	for number, cancel := range race.cancels {
		if race.best == nil || number != race.winner {
			cancel()
		}
	}
}

// trial is one attempt.
type trial struct {
	race   *race
	ctx    context.Context
	number int
	flight flight
}

func (trial *trial) run() {
	defer trial.race.dispatcher.wait.Done()
	answer, err := trial.send()
	select {
	case trial.race.outcomes <- outcome{answer: answer, err: err, number: trial.number}:
	case <-trial.race.over:
		if err == nil {
			_ = answer.Close()
		}
	}
}

// send makes the attempt. Its error is a [Failure].
func (trial *trial) send() (*Answer, error) {
	flight := &trial.flight
	endpoint := flight.slot.Endpoint()
	answer, err := flight.dispatcher.sender.Send(trial.ctx, endpoint, flight.call.Request)
	if err != nil {
		return nil, trial.failed(asFailure(err))
	}
	answer.endpoint = endpoint.Name()
	flight.follow(answer)
	return flight.dispatcher.hold(answer, flight.call.plan.repeatable)
}

// failed takes in the failure of the attempt.
func (trial *trial) failed(failure *Failure) *Failure {
	flight := &trial.flight
	if trial.ctx.Err() == nil || failure.cause != Abandoned {
		flight.dispatcher.journal.Notable("attempt failed", "request", flight.call.id, "number", trial.number,
			"endpoint", flight.slot.Endpoint().Name(), "address", flight.slot.Endpoint().Address(),
			"cause", failure.cause.String(), "sent", failure.sent, "error", failure.err, "took", time.Since(flight.start))
	}
	flight.fail(failure)
	return failure
}

// Slot is the right to run one request on an endpoint.
type Slot interface {
	Endpoint() definer.Endpoint
	// Release ends the use of the slot. Only the first call has an effect.
	Release(result router.Result)
}

// Homes gives out the slots of a router of homes.
type Homes struct{ *router.Router }

// Acquire takes a slot; its error is a *refuser.Refusal.
func (homes Homes) Acquire(ctx context.Context, request router.Request) (Slot, error) {
	slot, err := homes.Router.Acquire(ctx, request)
	if err != nil {
		return nil, err
	}
	return slot, nil
}
