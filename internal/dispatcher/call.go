package dispatcher

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/chivespool/chivespool/internal/refuser"
	"github.com/chivespool/chivespool/internal/router"
)

// call is one request under its plan.
type call struct {
	*Request
	plan Plan
	// timeout is the tightest bound that caller, plan and settings give.
	timeout  time.Duration
	attempts *attempts
	// fingerprint identifies what is asked for.
	fingerprint [sha256.Size]byte
	// tried names the endpoints of earlier attempts.
	tried []string
	// isolated keeps the request away from others that may be deadly.
	isolated bool
	// hedging is true while a second attempt is started beside one that runs.
	hedging bool
	// elsewhere is the time spent in queues and at backend servers.
	elsewhere time.Duration
	// keyed is true where the request bears an Idempotency-Key.
	keyed bool
}

func (dispatcher *Dispatcher) prepare(request *Request) (*call, error) {
	plan, err := dispatcher.planner.Plan(request)
	if err != nil {
		return nil, err
	}
	most := plan.attempts
	if most == 0 {
		most = dispatcher.attempts
	}
	if most == 0 {
		most = DefaultAttempts
	}
	call := &call{
		Request: request.planned(plan), plan: plan, timeout: dispatcher.bound(request, plan.timeout),
		attempts: newAttempts(plan.repeatable, most), keyed: request.key != "" && !plan.repeatable,
	}
	call.attempts.spare = plan.spare
	if call.timeout <= 0 {
		return nil, refuser.New(refuser.KindDeadline, refuser.NotRun, "the deadline had passed on arrival")
	}
	if call.keyed || dispatcher.quarantiner != nil {
		call.fingerprint = request.Fingerprint()
	}
	return call, nil
}

// bound returns the caller's own timeout, or the plan's, or the default.
func (dispatcher *Dispatcher) bound(request *Request, planned time.Duration) time.Duration {
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

// want is what the router has to know of the call.
func (call *call) want(ctx context.Context) router.Request {
	deadline, _ := ctx.Deadline()
	return router.NewRequest(
		call.plan.pool,
		router.InLane(call.plan.lane),
		router.WithClass(call.plan.class),
		router.WithPriority(call.plan.priority),
		router.WithDeadline(deadline),
		router.WithTarget(call.plan.target),
		router.WithID(call.id),
		router.AsHedge(call.hedging),
		router.Isolated(call.isolated),
		router.Avoiding(call.tried...),
	)
}
