package router

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/chivespool/chivespool/internal/refuser"
)

// errNoHome reports that no home could be reached.
var errNoHome = errors.New("no home is reachable; wait until the hosts reach each other again")

// directHomes returns the homes that a request borrows from without a queue at
// this host: the nearest tier first, and within it the least loaded. It returns
// none if this host is a home of the pool or must place requests by its own
// counts.
func (pool *pool) directHomes(now time.Time) []*otherHome {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.own.Len() > 0 || pool.baseline() || pool.closed || !pool.router.canBorrow() {
		return nil
	}
	var homes []*otherHome
	for _, otherHome := range pool.homes {
		if !now.Before(otherHome.retryAt) {
			homes = append(homes, otherHome)
		}
	}
	slices.SortStableFunc(homes, func(left, right *otherHome) int {
		return cmp.Or(cmp.Compare(left.tier(), right.tier()), cmp.Compare(left.load(), right.load()))
	})
	return homes
}

// borrowDirect asks homes one after another in the caller's goroutine. At each
// home the request queues like a request of that home. The error is errNoHome
// or a refusal.
func (pool *pool) borrowDirect(ctx context.Context, request Request, homes []*otherHome) (*Slot, error) {
	last := errNoHome
	for _, otherHome := range homes {
		if !otherHome.sameRegion && !pool.router.meter.allows(time.Now(), otherHome.region) {
			continue
		}
		slot, err := pool.borrowFromHome(ctx, request, otherHome)
		if err == nil {
			return slot, nil
		}
		if ctx.Err() != nil {
			return nil, pool.contextRefusal(ctx.Err())
		}
		// A host that is not yet, or no longer, a home counts as unreachable.
		var refusal *refuser.Refusal
		if errors.As(err, &refusal) && refusal.Kind() != refuser.KindUnreachable {
			last = refusal
		}
	}
	return nil, last
}

// borrowFromHome borrows a slot for request from home.
func (pool *pool) borrowFromHome(ctx context.Context, request Request, otherHome *otherHome) (*Slot, error) {
	pool.addOutstanding(otherHome.name, 1)
	pool.router.meter.count(otherHome.region, borrowBytes)
	loan, err := pool.router.currentLender().Borrow(ctx, otherHome.name, NewBorrowRequest(request, false))
	if err == nil && ctx.Err() == nil && pool.hasEndpoint(loan.endpoint) {
		return pool.slot(&waiter{request: request, lane: request.lane}, decision{home: otherHome.name, loan: loan}), nil
	}
	if err == nil {
		pool.router.returnLoan(pool, otherHome.name, loan, NewResult(Unused, 0))
		return nil, errNoHome
	}
	pool.addOutstanding(otherHome.name, -1)
	var refusal *refuser.Refusal
	if ctx.Err() == nil && !errors.As(err, &refusal) {
		pool.mu.Lock()
		otherHome.markDown(time.Now())
		pool.mu.Unlock()
	}
	return nil, err
}

// addOutstanding adds change to the number of this host's requests that wait at
// the home called name or run on its slots.
func (pool *pool) addOutstanding(name string, change int) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, otherHome := range pool.homes {
		if otherHome.name == name {
			otherHome.outstanding = max(0, otherHome.outstanding+change)
		}
	}
}

// hasEndpoint reports whether the pool's configuration contains endpoint.
func (pool *pool) hasEndpoint(endpoint string) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	_, ok := pool.endpoints[endpoint]
	return ok
}

// contextRefusal returns the refusal of a request whose context ended with cause.
// Unlike refuseEnded, it locks the pool.
func (pool *pool) contextRefusal(cause error) *refuser.Refusal {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.refuseEnded(cause).refusal
}
