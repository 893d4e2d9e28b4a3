package router

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/chivespool/chivespool/internal/refuser"
)

// errNoHome says that no home was in reach.
var errNoHome = errors.New("no home is in reach; wait until the hosts reach each other again")

// direct returns the homes that a host which is none itself asks, best first,
// or none where it places by itself.
func (pool *pool) direct(now time.Time) []*otherHome {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.own.Len() > 0 || pool.baseline() || pool.closed || !pool.router.canBorrow() {
		return nil
	}
	var homes []*otherHome
	for _, home := range pool.homes {
		if !now.Before(home.downUntil) {
			homes = append(homes, home)
		}
	}
	slices.SortStableFunc(homes, func(left, right *otherHome) int {
		return cmp.Or(cmp.Compare(left.tier(), right.tier()), cmp.Compare(left.load(), right.load()))
	})
	return homes
}

// borrowDirect asks homes in turn, in the caller's task, and waits there like
// a request of the home's own. Its error is errNoHome or a refusal.
func (pool *pool) borrowDirect(ctx context.Context, request Request, homes []*otherHome) (*Slot, error) {
	last := errNoHome
	for _, home := range homes {
		if !home.near && !pool.router.meter.allows(time.Now(), home.region) {
			continue
		}
		slot, err := pool.borrowFromHome(ctx, request, home)
		if err == nil {
			return slot, nil
		}
		if ctx.Err() != nil {
			return nil, pool.ended(ctx.Err())
		}
		// A host that isn't a home yet, or no longer, is as good as out of reach.
		var refusal *refuser.Refusal
		if errors.As(err, &refusal) && refusal.Kind() != refuser.KindUnreachable {
			last = refusal
		}
	}
	return nil, last
}

// borrowFromHome asks one home.
func (pool *pool) borrowFromHome(ctx context.Context, request Request, home *otherHome) (*Slot, error) {
	pool.asked(home.name, 1)
	pool.router.meter.count(home.region, wantBytes)
	loan, err := pool.router.currentLender().Borrow(ctx, home.name, NewWant(request, false))
	if err == nil && ctx.Err() == nil && pool.knows(loan.endpoint) {
		return pool.slot(&waiter{request: request, lane: request.lane}, grant{home: home.name, loan: loan}), nil
	}
	if err == nil {
		pool.router.giveBack(pool, home.name, loan, NewResult(Unused, 0))
		return nil, errNoHome
	}
	pool.asked(home.name, -1)
	var refusal *refuser.Refusal
	if ctx.Err() == nil && !errors.As(err, &refusal) {
		pool.mu.Lock()
		home.down(time.Now())
		pool.mu.Unlock()
	}
	return nil, err
}

// asked counts the requests of ours that wait at home or run on its slots.
func (pool *pool) asked(name string, change int) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, home := range pool.homes {
		if home.name == name {
			home.asked = max(0, home.asked+change)
		}
	}
}

// knows reports whether the configuration here holds endpoint.
func (pool *pool) knows(endpoint string) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	_, ok := pool.endpoints[endpoint]
	return ok
}

// ended returns the refusal of a request whose context ended.
func (pool *pool) ended(cause error) *refuser.Refusal {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.refuseEnded(cause).refusal
}
