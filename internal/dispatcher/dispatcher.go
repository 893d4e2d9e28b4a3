// Package dispatcher processes a request from arrival to answer: it plans it,
// claims its Idempotency-Key, acquires a slot for each attempt and decides
// whether to retry. Front ends such as package acceptor call it.
//
// Nothing is retried after output has gone to the caller; a request that must not
// repeat is retried only if it certainly did not run. Front ends pass in a
// [Request] in any encoding, and a [Sender] does the network I/O. Each attempt
// has its own goroutine.
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
	"github.com/chivespool/chivespool/internal/limiter"
	"github.com/chivespool/chivespool/internal/recorder"
	"github.com/chivespool/chivespool/internal/refuser"
	"github.com/chivespool/chivespool/internal/router"
	"github.com/chivespool/chivespool/internal/timekeeper"
)

// BufferedAnswerBytes is the size up to which an answer is buffered before any of it
// goes to the caller, so that a truncated answer can be retried.
const BufferedAnswerBytes = 32 << 10

// The backoff before a retry is random between 0 and a bound that doubles with
// each attempt from minBackoff to maxBackoff.
const (
	minBackoff = 2 * time.Millisecond
	maxBackoff = 50 * time.Millisecond
)

// Defaults of a zero Dispatcher.
const (
	DefaultAttempts = 3
	DefaultTimeout  = time.Minute
)

// Router allocates slots on endpoints.
type Router interface {
	// Acquire fails with a *refuser.Refusal.
	Acquire(ctx context.Context, request router.Request) (Slot, error)
}

// Sender sends one attempt; its error is a [Failure].
type Sender interface {
	Send(ctx context.Context, endpoint definer.Endpoint, request *Request) (*Answer, error)
}

// Configurations provides the configuration in force.
type Configurations interface {
	Current() *definer.Configuration
}

// Recorder records events on the timeline.
type Recorder interface {
	Record(kind recorder.Kind, object, text string)
}

// Journal logs decisions about requests.
type Journal interface {
	// Routine logs routine events of every request; it may sample them.
	Routine(message string, details ...any)
	// Failure logs the failure of a request or an attempt.
	Failure(message string, details ...any)
}

// discardJournal is the default journal.
type discardJournal struct{}

// Routine does nothing.
func (discardJournal) Routine(string, ...any) {}

// Failure does nothing.
func (discardJournal) Failure(string, ...any) {}

// Dispatcher processes requests; it is safe for concurrent use after setup.
type Dispatcher struct {
	planner     Planner
	router      Router
	sender      Sender
	recorder    Recorder
	journal     Journal
	clock       Clock
	stopper     Stopper
	claimer     Claimer
	quarantiner Quarantiner
	throttler   Throttler
	budget      Budget
	meters      meters
	// answers counts the bytes of buffered answers.
	answers limiter.Bytes
	// bufferedBytes is the size up to which the answer to a repeatable request is
	// buffered; 0 for BufferedAnswerBytes.
	bufferedBytes int64
	// pendingSettlements counts the settlements in progress, and tasks tracks them
	// and the attempts.
	pendingSettlements atomic.Int64
	tasks              sync.WaitGroup
	// maxAttempts limits how often a request is sent; 0 for DefaultAttempts.
	maxAttempts int
	// timeout applies to requests without any other limit; 0 for DefaultTimeout.
	timeout time.Duration
}

// New returns a dispatcher with its required dependencies.
func New(configurations Configurations, router Router, sender Sender, recorder Recorder) *Dispatcher {
	planner := &rulePlanner{configurations: configurations}
	return &Dispatcher{planner: planner, router: router, sender: sender, recorder: recorder, journal: discardJournal{}, clock: timekeeper.System{}}
}

// SetPlanner replaces the default planner, which applies the configuration's rules.
func (dispatcher *Dispatcher) SetPlanner(planner Planner) { dispatcher.planner = planner }

// SetJournal sets the journal for decisions about requests.
func (dispatcher *Dispatcher) SetJournal(journal Journal) { dispatcher.journal = journal }

// SetRetryBudget sets the retry budget of each service: the share of its requests and
// the burst that it may accumulate. It may be called at any time.
func (dispatcher *Dispatcher) SetRetryBudget(share, burst float64) {
	dispatcher.budget.SetShare(share)
	dispatcher.budget.SetBurst(burst)
}

// SetBufferedBytes sets the size up to which the answer to a repeatable request is
// buffered before any of it goes to the caller.
func (dispatcher *Dispatcher) SetBufferedBytes(size int64) { dispatcher.bufferedBytes = size }

// SetLimits sets the limits on attempts and time, and the retry budget as a share
// of a service's requests.
func (dispatcher *Dispatcher) SetLimits(attempts int, timeout time.Duration, retryShare float64) {
	dispatcher.maxAttempts = attempts
	dispatcher.timeout = timeout
	dispatcher.budget.SetShare(retryShare)
}

// SetClaimer sets the claimer of Idempotency-Keys; without one, requests that have
// a key and must not repeat are refused.
func (dispatcher *Dispatcher) SetClaimer(claimer Claimer) { dispatcher.claimer = claimer }

// SetQuarantiner sets the tracker of requests that crash backend servers.
func (dispatcher *Dispatcher) SetQuarantiner(quarantiner Quarantiner) {
	dispatcher.quarantiner = quarantiner
}

// Clock tells the time that limits requests.
type Clock interface {
	Now() time.Time
}

// SetClock replaces the default clock.
func (dispatcher *Dispatcher) SetClock(clock Clock) { dispatcher.clock = clock }

// SetStopper sets the stopper that limits requests during a planned stop; without one,
// they are not limited.
func (dispatcher *Dispatcher) SetStopper(stopper Stopper) { dispatcher.stopper = stopper }

// timeLeft returns the time until the call must have its answer.
func (dispatcher *Dispatcher) timeLeft(call *call) time.Duration {
	return call.timeout - dispatcher.clock.Now().Sub(call.arrived)
}

// Repeatable reports whether request may run more than once.
func (dispatcher *Dispatcher) Repeatable(request *Request) bool {
	return dispatcher.planner.Repeatable(request)
}

// Dispatch sends request to an endpoint and returns its answer, which the caller
// must close. Every error is a *refuser.Refusal.
func (dispatcher *Dispatcher) Dispatch(ctx context.Context, request *Request) (*Answer, error) {
	dispatcher.meters.request()
	start := time.Now()
	if request.arrived.IsZero() {
		request = request.WithArrival(dispatcher.clock.Now())
	}
	call, err := dispatcher.prepare(request)
	if err == nil {
		err = dispatcher.checkStop(call.Request, call.timeout)
	}
	if err != nil {
		return nil, dispatcher.recordRefusal(request, nil, start, err)
	}
	ctx, cancel := context.WithTimeout(ctx, dispatcher.timeLeft(call))
	answer, err := dispatcher.execute(ctx, call)
	if err != nil {
		cancel()
		return nil, dispatcher.recordRefusal(call.Request, call, start, err)
	}
	answer.cancel = cancel
	answer.refuse = func(failure *Failure) error { return dispatcher.refuseAnswer(call, start, failure) }
	dispatcher.journal.Routine("answered", "request", call.id, "service", call.service, "class", call.plan.class,
		"endpoint", answer.endpoint, "status", answer.status, "attempts", len(call.tried), "took", time.Since(start))
	dispatcher.meters.done(time.Since(start) - call.externalTime)
	return answer, nil
}

// execute sends the call, after taking a permit if its account has a quota, and claiming its
// key if it has one.
func (dispatcher *Dispatcher) execute(ctx context.Context, call *call) (*Answer, error) {
	if err := dispatcher.takePermit(ctx, call); err != nil {
		return nil, err
	}
	if call.keyed {
		return dispatcher.executeKeyed(ctx, call)
	}
	return dispatcher.sendWithRetries(ctx, call)
}

// acquire waits for a slot, but no longer than a planned stop allows.
func (dispatcher *Dispatcher) acquire(ctx context.Context, call *call) (Slot, error) {
	limited, cancel := dispatcher.limitWait(ctx, call)
	defer cancel()
	start := time.Now()
	slot, err := dispatcher.router.Acquire(limited, call.routerRequest(ctx))
	if err != nil && limited.Err() != nil && ctx.Err() == nil {
		err = hostLeaving()
	}
	queued := time.Since(start)
	call.externalTime += queued
	dispatcher.meters.wait(queued)
	return slot, err
}

// maxHeldAnswerBytes bounds the buffered answers of all requests together.
const maxHeldAnswerBytes = 32 << 20

// bufferAnswer reads a small answer completely, so that a truncation is detected
// before any of it has gone to the caller, unless other answers take all memory for
// buffers. The answer is closed on failure.
func (dispatcher *Dispatcher) bufferAnswer(answer *Answer, repeatable bool) (*Answer, error) {
	limit, anyLength := int64(BufferedAnswerBytes), false
	if repeatable && dispatcher.bufferedBytes > 0 {
		limit, anyLength = dispatcher.bufferedBytes, true
	}
	if answer.length > limit || (answer.length < 0 && !anyLength) {
		return answer, nil
	}
	reserved := limit
	if answer.length >= 0 {
		reserved = answer.length
	}
	if !dispatcher.answers.Reserve(reserved, maxHeldAnswerBytes) {
		return answer, nil
	}
	answer, err := readAnswer(answer, limit)
	if err != nil {
		dispatcher.answers.Release(reserved)
		return nil, err
	}
	if answer.length >= 0 {
		dispatcher.answers.Release(reserved - answer.length)
		reserved = answer.length
	}
	answer.held = &reservation{bytes: &dispatcher.answers, size: reserved}
	return answer, nil
}

// readAnswer reads the first limit bytes of an answer into memory.
func readAnswer(answer *Answer, limit int64) (*Answer, error) {
	body := bytes.NewBuffer(make([]byte, 0, max(answer.length, 0)+bytes.MinRead))
	_, err := body.ReadFrom(io.LimitReader(answer.body, limit))
	if err == nil && int64(body.Len()) == limit && answer.length != limit {
		// The answer exceeds the buffer: the rest is streamed.
		answer.body = &prefixedBody{Reader: io.MultiReader(body, answer.body), Closer: answer.body}
		return answer, nil
	}
	if err != nil {
		_ = answer.body.Close()
		return nil, asFailure(err)
	}
	if err := expectEOF(answer.body); err != nil {
		_ = answer.body.Close()
		return nil, asFailure(err)
	}
	_ = answer.body.Close()
	if answer.length < 0 {
		answer.length = int64(body.Len())
	}
	answer.body = newMemoryBody(body.Bytes())
	return answer, nil
}

// reservation is the memory that an answer holds.
type reservation struct {
	bytes *limiter.Bytes
	// size is the number of bytes that are reserved.
	size     int64
	released sync.Once
}

// release releases the memory. Further calls have no effect.
func (reservation *reservation) release() {
	reservation.released.Do(func() { reservation.bytes.Release(reservation.size) })
}

// expectEOF reads the end of a body whose bytes have all been read.
func expectEOF(body io.Reader) error {
	var buffer [1]byte
	if _, err := body.Read(buffer[:]); err != nil && err != io.EOF {
		return err
	}
	return nil
}

// prefixedBody is a body whose first part has been read already.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// recordRefusal records a refusal in the log, the metrics and the timeline, and
// returns it.
func (dispatcher *Dispatcher) recordRefusal(request *Request, call *call, start time.Time, err error) error {
	refusal := asRefusal(err)
	details := []any{
		"request", request.id, "kind", refusal.Kind(), "ran", refusal.Ran().String(), "detail", refusal.Detail(),
		"retry-after", refusal.RetryAfter(), "took", time.Since(start),
	}
	if call != nil {
		details = append(details, "service", call.service, "class", call.plan.class, "tried", call.tried, "timeout", call.timeout)
	}
	dispatcher.journal.Failure("refused", details...)
	dispatcher.meters.refusal(refusal.Kind())
	dispatcher.recorder.Record(recorder.KindRefusal, request.service, request.id+" "+string(refusal.Kind()))
	return refusal
}

// asRefusal returns err as a refusal; for an unknown error, the request may have
// run.
func asRefusal(err error) *refuser.Refusal {
	refusal := new(refuser.Refusal)
	if errors.As(err, &refusal) {
		return refusal
	}
	return refuser.New(refuser.KindOutcomeUnknown, refuser.Unknown, "internal error").WithCause(err)
}

// backoff waits before the next attempt, or until ctx ends.
func backoff(ctx context.Context, made int) {
	bound := min(minBackoff<<made, maxBackoff)
	timer := time.NewTimer(rand.N(bound))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
