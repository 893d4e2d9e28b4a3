package dispatcher

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivespool/chivespool/internal/recorder"
	"github.com/chivespool/chivespool/internal/refuser"
	"github.com/chivespool/chivespool/internal/router"
	"github.com/chivespool/chivespool/internal/stopper"
)

// waitingRouter gives a slot after a time, unless the caller's wait ends before.
type waitingRouter struct {
	scriptedEndpoints
	wait time.Duration
}

// Acquire returns a slot after the wait.
func (waitingRouter *waitingRouter) Acquire(ctx context.Context, request router.Request) (Slot, error) {
	timer := time.NewTimer(waitingRouter.wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, refuser.New(refuser.KindDeadline, refuser.NotRun, "no slot in time")
	}
	return waitingRouter.scriptedEndpoints.Acquire(ctx, request)
}

// TestStopBeforeDeadline sends requests with a timeout of 2 s around a stop that ends
// 0.94 s after its beginning. One that is sent late in a stop, and whose answer may come
// after the end, was passed on and cut (issue 32).
func TestStopBeforeDeadline(t *testing.T) {
	const bound = time.Second
	ok := step{after: 100 * time.Millisecond, status: 200}
	lost := step{after: 500 * time.Millisecond, failure: NewFailure(ConnectionLost, true, nil)}
	shed := step{after: 500 * time.Millisecond, failure: NewFailure(Shed, true, nil)}
	for _, test := range []struct {
		name, kind string
		// stopAt is when the stop begins, after the request has arrived.
		stopAt  time.Duration
		timeout time.Duration
		wait    time.Duration
		steps   []step
		// refused is the kind of the refusal, and ran whether the request ran; empty for
		// an answer.
		refused refuser.Kind
		ran     refuser.Ran
		sent    int
		maxTime time.Duration
	}{
		{"early in the stop", "once", -200 * time.Millisecond, 0, 0, []step{ok}, "", 0, 1, 100 * time.Millisecond},
		{"late in the stop", "once", -500 * time.Millisecond, 0, 0, []step{ok}, refuser.KindLeaving, refuser.NotRun, 0, 0},
		{"late with a short deadline", "once", -500 * time.Millisecond, 400 * time.Millisecond, 0, []step{ok}, "", 0, 1, 100 * time.Millisecond},
		{"slot only late in the stop", "once", -200 * time.Millisecond, 0, time.Second, []step{ok}, refuser.KindLeaving, refuser.NotRun, 0, 230 * time.Millisecond},
		{"stop while it waits for a slot", "once", 100 * time.Millisecond, 0, 700 * time.Millisecond, []step{ok}, refuser.KindLeaving, refuser.NotRun, 0, 700 * time.Millisecond},
		{"retry late in the stop", "repeatable", -200 * time.Millisecond, 0, 0, []step{lost, ok}, refuser.KindOutcomeUnknown, refuser.Unknown, 1, 600 * time.Millisecond},
		{"rejected late in the stop", "once", -200 * time.Millisecond, 0, 0, []step{shed, ok}, refuser.KindLeaving, refuser.NotRun, 1, 500 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			router := &waitingRouter{wait: test.wait}
			router.steps = test.steps
			stop := stopper.New(bound)
			dispatcher := New(nil, router, router, &recorder.Recorder{})
			dispatcher.SetPlanner(NewRoutePlanner(oneRoute{test.kind}))
			dispatcher.SetStopper(stop)
			dispatcher.SetRetryBudget(1, 10)
			if start := time.Now(); test.stopAt <= 0 {
				stop.Begin(start.Add(test.stopAt))
			} else {
				defer time.AfterFunc(test.stopAt, func() { stop.Begin(time.Now()) }).Stop()
			}
			start := time.Now()
			request := NewRequest("r-1", "", "GET", "/", nil).WithAuthority("a").WithTimeout(test.timeout)
			answer, err := dispatcher.Dispatch(t.Context(), request)
			took := time.Since(start)
			refusal := new(refuser.Refusal)
			errors.As(err, &refusal)
			if refusal.Kind() != test.refused || refusal.Ran() != test.ran || router.sent != test.sent || took > test.maxTime {
				t.Errorf("%s: got %v after %v, sent %d times; want %q (ran: %v) by %v, sent %d times",
					test.name, err, took, router.sent, test.refused, test.ran, test.maxTime, test.sent)
			}
			if answer != nil {
				_ = answer.Close()
			}
			_ = dispatcher.Close()
		})
	}
}
