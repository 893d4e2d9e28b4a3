package dispatcher

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/chivespool/chivespool/internal/refuser"
	"github.com/chivespool/chivespool/internal/router"
)

// call is a request with its plan and the state of its attempts.
type call struct {
	*Request
	plan Plan
	// timeout is the shortest of the limits set by the caller, the plan and the
	// settings.
	timeout  time.Duration
	attempts *attempts
	// fingerprint identifies the request's content.
	fingerprint [sha256.Size]byte
	// tried lists the endpoints of earlier attempts.
	tried []string
	// isolated is true if the request, a suspect, must not share an endpoint with
	// another suspect.
	isolated bool
	// hedging is true while a hedge is being started.
	hedging bool
	// externalTime is the time spent in queues and at backend servers.
	externalTime time.Duration
	// keyed is true if the request has an Idempotency-Key and is not repeatable.
	keyed bool
}

func (dispatcher *Dispatcher) prepare(request *Request) (*call, error) {
	plan, err := dispatcher.planner.Plan(request)
	if err != nil {
		return nil, err
	}
	limit := plan.maxAttempts
	if limit == 0 {
		limit = dispatcher.maxAttempts
	}
	if limit == 0 {
		limit = DefaultAttempts
	}
	call := &call{
		Request: request.withPlan(plan), plan: plan, timeout: dispatcher.effectiveTimeout(request, plan.timeout),
		attempts: newAttempts(plan.repeatable, limit), keyed: request.key != "" && !plan.repeatable,
	}
	call.attempts.freeAttempts = plan.freeAttempts
	if dispatcher.timeLeft(call) <= 0 {
		return nil, refuser.New(refuser.KindDeadline, refuser.NotRun, "the deadline had passed on arrival")
	}
	if call.keyed || dispatcher.quarantiner != nil {
		call.fingerprint = request.Fingerprint()
	}
	return call, nil
}

// effectiveTimeout returns the shorter of the caller's and the plan's timeouts,
// or the default if neither is set.
func (dispatcher *Dispatcher) effectiveTimeout(request *Request, planned time.Duration) time.Duration {
	switch {
	case request.timeout > 0 && planned > 0:
		return min(request.timeout, planned)
	case request.timeout > 0:
		return request.timeout
	case planned > 0:
		return planned
	case dispatcher.timeout > 0:
		return dispatcher.timeout
	}
	return DefaultTimeout
}

// routerRequest returns the properties of the call that the router needs.
func (call *call) routerRequest(ctx context.Context) router.Request {
	deadline, _ := ctx.Deadline()
	var callerDeadline time.Time
	if call.Request.timeout > 0 {
		callerDeadline = deadline.Add(call.Request.timeout - call.timeout)
	}
	return router.NewRequest(
		call.plan.pool,
		router.InLane(call.plan.lane),
		router.WithClass(call.plan.class),
		router.WithPriority(call.plan.priority),
		router.WithDeadline(deadline),
		router.WithCallerDeadline(callerDeadline),
		router.WithTarget(call.plan.targetLatency),
		router.WithID(call.id),
		router.AsHedge(call.hedging),
		router.ForAccount(call.plan.account),
		router.InRegions(call.plan.regions),
		router.WithBytes(call.Length()),
		router.Isolated(call.isolated),
		router.Avoiding(call.tried...),
	)
}
