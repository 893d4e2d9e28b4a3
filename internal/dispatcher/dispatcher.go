// Package dispatcher carries one request through its life: which rule it
// falls under, its claim where it bears an Idempotency-Key, a slot for each
// attempt, the attempt, and whether another may follow. A request that must
// not repeat leaves for a backend server at most once; anything else is sent
// again only before output has gone to the caller.
//
// The dispatcher knows neither how callers nor how backend servers encode
// messages: a front end gives it a [Request] and takes an [Answer] or a
// refusal, and a [Sender] makes the attempts.
package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/recorder"
	"github.com/chivespool/chivespool/internal/refuser"
	"github.com/chivespool/chivespool/internal/router"
)

// HeldAnswerBytes is the size up to which an answer is read whole before any
// of it goes to the caller, so that a cut one can be replaced.
const HeldAnswerBytes = 32 << 10

// The pause before an attempt is sent again grows from backoffLeast to
// backoffMost, with jitter over its whole length.
const (
	backoffLeast = 2 * time.Millisecond
	backoffMost  = 50 * time.Millisecond
)

// Defaults of a zero Dispatcher.
const (
	DefaultAttempts = 3
	DefaultTimeout  = time.Minute
)

// Router gives out slots.
type Router interface {
	// Acquire fails with a *refuser.Refusal.
	Acquire(ctx context.Context, request router.Request) (Slot, error)
}

// Sender makes one attempt; its error is a [Failure].
type Sender interface {
	Send(ctx context.Context, endpoint definer.Endpoint, request *Request) (*Answer, error)
}

// Configurations tells what is in force.
type Configurations interface {
	Current() *definer.Configuration
}

// Recorder keeps the time line.
type Recorder interface {
	Record(kind recorder.Kind, object, text string)
}

// Journal takes what is decided about requests.
type Journal interface {
	// Usual takes what every request brings; it may be sampled.
	Usual(what string, details ...any)
	// Notable takes what goes wrong.
	Notable(what string, details ...any)
}

// noJournal is the journal of a dispatcher that has none.
type noJournal struct{}

// Usual forgets.
func (noJournal) Usual(string, ...any) {}

// Notable forgets.
func (noJournal) Notable(string, ...any) {}

// Dispatcher carries requests; it is safe for concurrent use once set up.
type Dispatcher struct {
	planner     Planner
	router      Router
	sender      Sender
	recorder    Recorder
	journal     Journal
	claimer     Claimer
	quarantiner Quarantiner
	budget      Budget
	meters      meters
	// heldBytes is the size up to which the answer to a repeatable request is
	// read whole; 0 for HeldAnswerBytes.
	heldBytes int64
	// settling counts the settlements under way, and wait has one item each.
	settling atomic.Int64
	wait     sync.WaitGroup
	// attempts bounds how often one request is sent; 0 for DefaultAttempts.
	attempts int
	// timeout bounds requests that nothing else bounds; 0 for DefaultTimeout.
	timeout time.Duration
}

// New returns a dispatcher over the parts that every request needs.
func New(configurations Configurations, router Router, sender Sender, recorder Recorder) *Dispatcher {
	planner := &rules{configurations: configurations}
	return &Dispatcher{planner: planner, router: router, sender: sender, recorder: recorder, journal: noJournal{}}
}

// SetPlanner replaces the rules of the configuration.
func (dispatcher *Dispatcher) SetPlanner(planner Planner) { dispatcher.planner = planner }

// SetJournal sets who takes what is decided about requests.
func (dispatcher *Dispatcher) SetJournal(journal Journal) { dispatcher.journal = journal }

// SetRetries sets the retry budget of each service, at any time: the share of
// its requests, and the burst that it may save up beyond that.
func (dispatcher *Dispatcher) SetRetries(share, burst float64) {
	dispatcher.budget.SetShare(share)
	dispatcher.budget.SetBurst(burst)
}

// SetHeldBytes sets the size up to which the answer to a repeatable request is
// read whole before any of it goes to the caller.
func (dispatcher *Dispatcher) SetHeldBytes(size int64) { dispatcher.heldBytes = size }

// SetLimits sets the bounds on attempts and time, and the retry budget as a
// share of a service's requests.
func (dispatcher *Dispatcher) SetLimits(attempts int, timeout time.Duration, retryShare float64) {
	dispatcher.attempts = attempts
	dispatcher.timeout = timeout
	dispatcher.budget.SetShare(retryShare)
}

// SetClaimer sets who holds the claims on keys; without one, requests that
// bear a key are refused.
func (dispatcher *Dispatcher) SetClaimer(claimer Claimer) { dispatcher.claimer = claimer }

// SetQuarantiner sets who knows the requests that crash backend servers.
func (dispatcher *Dispatcher) SetQuarantiner(quarantiner Quarantiner) {
	dispatcher.quarantiner = quarantiner
}

// Dispatch carries request to an endpoint. Every error is a
// *refuser.Refusal. The answer must be closed.
func (dispatcher *Dispatcher) Dispatch(ctx context.Context, request *Request) (*Answer, error) {
	dispatcher.meters.request()
	start := time.Now()
	call, err := dispatcher.prepare(request)
	if err != nil {
		return nil, dispatcher.refused(request, nil, start, err)
	}
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	answer, err := dispatcher.carry(ctx, call)
	if err != nil {
		cancel()
		return nil, dispatcher.refused(call.Request, call, start, err)
	}
	answer.cancel = cancel
	dispatcher.journal.Usual("answered", "request", call.id, "service", call.service, "class", call.plan.class,
		"endpoint", answer.endpoint, "status", answer.status, "attempts", len(call.tried), "took", time.Since(start))
	dispatcher.meters.done(time.Since(start) - call.elsewhere)
	return answer, nil
}

// carry claims the key of a request that bears one, and sends the request.
func (dispatcher *Dispatcher) carry(ctx context.Context, call *call) (*Answer, error) {
	if call.keyed {
		return dispatcher.once(ctx, call)
	}
	return dispatcher.attempt(ctx, call)
}

func (dispatcher *Dispatcher) acquire(ctx context.Context, call *call) (Slot, error) {
	start := time.Now()
	slot, err := dispatcher.router.Acquire(ctx, call.want(ctx))
	queued := time.Since(start)
	call.elsewhere += queued
	dispatcher.meters.wait(queued)
	return slot, err
}

// hold reads a small answer whole, so that a cut shows before any of it has
// gone to the caller. The answer is closed on failure.
func (dispatcher *Dispatcher) hold(answer *Answer, repeatable bool) (*Answer, error) {
	most, unknown := int64(HeldAnswerBytes), false
	if repeatable && dispatcher.heldBytes > 0 {
		most, unknown = dispatcher.heldBytes, true
	}
	if answer.length > most || (answer.length < 0 && !unknown) {
		return answer, nil
	}
	body := bytes.NewBuffer(make([]byte, 0, max(answer.length, 0)+bytes.MinRead))
	_, err := body.ReadFrom(io.LimitReader(answer.body, most))
	if err == nil && int64(body.Len()) == most && answer.length != most {
		// Longer than what is held: the rest is streamed.
		answer.body = &prefixedBody{Reader: io.MultiReader(body, answer.body), Closer: answer.body}
		return answer, nil
	}
	if err != nil {
		_ = answer.body.Close()
		return nil, asFailure(err)
	}
	if err := drained(answer.body); err != nil {
		_ = answer.body.Close()
		return nil, asFailure(err)
	}
	_ = answer.body.Close()
	if answer.length < 0 {
		answer.length = int64(body.Len())
	}
	answer.body = heldBody(body.Bytes())
	return answer, nil
}

// drained reads the end of a body whose bytes have all been read.
func drained(body io.Reader) error {
	var none [1]byte
	if _, err := body.Read(none[:]); err != nil && err != io.EOF {
		return err
	}
	return nil
}

// prefixedBody is a body whose first part was read already.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// refused notes a refusal on the time line and returns it.
func (dispatcher *Dispatcher) refused(request *Request, call *call, start time.Time, err error) error {
	refusal := asRefusal(err)
	details := []any{
		"request", request.id, "kind", refusal.Kind(), "ran", refusal.Ran().String(), "detail", refusal.Detail(),
		"retry-after", refusal.RetryAfter(), "took", time.Since(start),
	}
	if call != nil {
		details = append(details, "service", call.service, "class", call.plan.class, "tried", call.tried, "timeout", call.timeout)
	}
	dispatcher.journal.Notable("refused", details...)
	dispatcher.meters.refusal(refusal.Kind())
	dispatcher.recorder.Record(recorder.KindRefusal, request.service, request.id+" "+string(refusal.Kind()))
	return refusal
}

// asRefusal returns err as a refusal; an unknown error is the careful one.
func asRefusal(err error) *refuser.Refusal {
	refusal := new(refuser.Refusal)
	if errors.As(err, &refusal) {
		return refusal
	}
	return refuser.New(refuser.KindOutcomeUnknown, refuser.Unknown, "internal error").WithCause(err)
}

// pause waits before the next attempt, or until ctx ends.
func pause(ctx context.Context, made int) {
	bound := min(backoffLeast<<made, backoffMost)
	timer := time.NewTimer(rand.N(bound))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
