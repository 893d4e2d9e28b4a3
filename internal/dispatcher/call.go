package dispatcher

import (
	"context"
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/refuser"
	"github.com/chivespool/chivespool/internal/router"
)

// call is one request under its rule.
type call struct {
	*Request
	pool string
	rule definer.Rule
	// timeout is the tightest bound that caller, rule and settings give.
	timeout  time.Duration
	attempts *attempts
	// fingerprint identifies what is asked for.
	fingerprint [sha256.Size]byte
	// tried names the endpoints of earlier attempts.
	tried []string
	// isolated keeps the request away from others that may be deadly.
	isolated bool
	// elsewhere is the time spent in queues and at backend servers.
	elsewhere time.Duration
	// keyed is true where the request bears an Idempotency-Key.
	keyed bool
}

func (dispatcher *Dispatcher) prepare(request *Request) (*call, error) {
	configuration := dispatcher.configurations.Current()
	if configuration == nil || configuration.Revision() == 0 {
		return nil, refuser.New(refuser.KindNoConfiguration, refuser.NotRun, "no configuration is in force here yet")
	}
	service, ok := configuration.Service(request.service)
	if !ok {
		return nil, refuser.New(refuser.KindUnknownService, refuser.NotRun, fmt.Sprintf("no service %q", request.service))
	}
	rule := configuration.RuleFor(request.service, request.method, request.target)
	most := dispatcher.attempts
	if most == 0 {
		most = DefaultAttempts
	}
	return &call{
		Request: request, pool: service.Pool(), rule: rule, timeout: dispatcher.bound(request, rule),
		attempts: newAttempts(rule.Repeatable(), most), fingerprint: request.Fingerprint(), keyed: request.key != "" && !rule.Repeatable(),
	}, nil
}

// bound returns the caller's own timeout, or the rule's, or the default.
func (dispatcher *Dispatcher) bound(request *Request, rule definer.Rule) time.Duration {
	switch {
	case request.timeout > 0 && rule.Deadline() > 0:
		return min(request.timeout, rule.Deadline())
	case request.timeout > 0:
		return request.timeout
	case rule.Deadline() > 0:
		return rule.Deadline()
	case dispatcher.timeout > 0:
		return dispatcher.timeout
	}
	return DefaultTimeout
}

// want is what the router has to know of the call.
func (call *call) want(ctx context.Context) router.Request {
	deadline, _ := ctx.Deadline()
	return router.NewRequest(
		call.pool,
		router.InLane(call.rule.Lane()),
		router.WithClass(call.service+" "+call.method+" "+call.rule.Prefix()),
		router.WithPriority(call.rule.Priority()),
		router.WithDeadline(deadline),
		router.Isolated(call.isolated),
		router.Avoiding(call.tried...),
	)
}
