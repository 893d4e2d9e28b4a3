package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/refuser"
)

// Throttler keeps the requests of accounts within their quotas, over all hosts.
type Throttler interface {
	// Take takes a permit for one request of account. If there is none, it returns the
	// time until the next and false.
	Take(ctx context.Context, account *definer.Account) (time.Duration, bool)
	// Charge counts a further attempt of a request that has a permit.
	Charge(account *definer.Account)
}

// SetThrottler sets the throttler; without one, accounts have no quotas.
func (dispatcher *Dispatcher) SetThrottler(throttler Throttler) { dispatcher.throttler = throttler }

// hasQuota reports whether the call needs a permit.
func (dispatcher *Dispatcher) hasQuota(call *call) bool {
	return dispatcher.throttler != nil && call.plan.account != nil && call.plan.account.Rate() > 0
}

// takePermit takes a permit for a call whose account has a quota. Its error is a
// *refuser.Refusal.
func (dispatcher *Dispatcher) takePermit(ctx context.Context, call *call) error {
	if !dispatcher.hasQuota(call) {
		return nil
	}
	wait, ok := dispatcher.throttler.Take(ctx, call.plan.account)
	switch {
	case ok:
		return nil
	case errors.Is(ctx.Err(), context.Canceled):
		return refuser.New(refuser.KindCancelled, refuser.NotRun, "the caller went away")
	case ctx.Err() != nil:
		return refuser.New(refuser.KindDeadline, refuser.NotRun, "the deadline passed before the request had a permit")
	}
	return refuser.New(refuser.KindOverQuota, refuser.NotRun, "account "+call.plan.account.Name()+" has used its quota").
		WithRetryAfter(wait)
}

// chargeAttempt counts an attempt of a call beyond its first.
func (dispatcher *Dispatcher) chargeAttempt(call *call) {
	if dispatcher.hasQuota(call) {
		dispatcher.throttler.Charge(call.plan.account)
	}
}
