package dispatcher

import (
	"context"
	"time"

	"github.com/chivespool/chivespool/internal/refuser"
)

// Stopper limits the requests that are sent during a planned stop, as package stopper
// does.
type Stopper interface {
	// LatestStart returns the latest time at which a request that may run until deadline
	// is sent; false if there is no limit. Arrived says whether its whole body has
	// arrived.
	LatestStart(deadline time.Time, arrived bool) (time.Time, bool)
}

// hostLeaving returns the refusal of a request that might not end before the host stops.
// Another host can take it at once, so that it carries no Retry-After.
func hostLeaving() *refuser.Refusal {
	return refuser.New(refuser.KindLeaving, refuser.NotRun, "the host stops before the deadline of the request")
}

// startLeft returns the time in which a request that is limited by timeout may still be
// sent; false if a planned stop does not limit it.
func (dispatcher *Dispatcher) startLeft(request *Request, timeout time.Duration) (time.Duration, bool) {
	if dispatcher.stopper == nil {
		return 0, false
	}
	latest, limited := dispatcher.stopper.LatestStart(request.arrived.Add(timeout), request.Buffered())
	return latest.Sub(dispatcher.clock.Now()), limited
}

// checkStop refuses a request that is limited by timeout if it may no longer be sent.
func (dispatcher *Dispatcher) checkStop(request *Request, timeout time.Duration) error {
	if left, limited := dispatcher.startLeft(request, timeout); limited && left <= 0 {
		return hostLeaving()
	}
	return nil
}

// limitWait returns ctx, limited to the time in which call may still be sent.
func (dispatcher *Dispatcher) limitWait(ctx context.Context, call *call) (context.Context, context.CancelFunc) {
	if left, limited := dispatcher.startLeft(call.Request, call.timeout); limited {
		return context.WithTimeout(ctx, left)
	}
	return ctx, func() {}
}

// Check refuses a request, whose body need not have arrived, if it is known that it will
// not be sent. Its error is a *refuser.Refusal.
func (dispatcher *Dispatcher) Check(request *Request) error {
	start := time.Now()
	if err := dispatcher.checkStop(request, dispatcher.effectiveTimeout(request, dispatcher.planner.Timeout(request))); err != nil {
		return dispatcher.recordRefusal(request, nil, start, err)
	}
	return nil
}
