package router

import (
	"slices"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// grantAll grants free slots to waiters until no more can be granted.
func (pool *pool) grantAll(now time.Time) {
	for pool.grantOne(now) {
		continue
	}
	kept := pool.spareWaiters[:0]
	for _, waiter := range pool.spareWaiters {
		if granted, ok := pool.take(now, waiter, 0); ok {
			waiter.ready <- granted
		} else {
			kept = append(kept, waiter)
		}
	}
	pool.spareWaiters = kept
	pool.borrow(now)
}

// grantOne grants a slot to one waiter, or refuses one that would miss its
// deadline, and reports whether it did either.
func (pool *pool) grantOne(now time.Time) bool {
	for _, lane := range pool.laneOrder(now) {
		for _, waiter := range pool.queue.first(lane, lookahead) {
			if pool.missesDeadline(now, waiter) {
				pool.drop(waiter, pool.refuseLate(waiter))
				return true
			}
			granted, ok := pool.take(now, waiter, pool.queue.counts[lane])
			if !ok {
				continue
			}
			pool.deliver(now, waiter, granted)
			return true
		}
	}
	return false
}

// deliver removes waiter from the queue and delivers granted to it.
func (pool *pool) deliver(now time.Time, waiter *waiter, granted decision) {
	pool.queue.remove(waiter)
	pool.grantRates[waiter.lane].grant(now)
	waiter.ready <- granted
}

// laneOrder returns short before long, unless long work holds no slot and has
// waited for more than maxLongWait.
func (pool *pool) laneOrder(now time.Time) [lanes]definer.Lane {
	first := pool.queue.first(definer.Long, 1)
	if len(first) == 1 && pool.own.LongRunning() == 0 && now.Sub(first[0].since) > maxLongWait {
		return [lanes]definer.Lane{definer.Long, definer.Short}
	}
	return [lanes]definer.Lane{definer.Short, definer.Long}
}

// take takes a local slot for waiter, or a slot by this host's own counts if no
// home is reachable. count requests wait in the waiter's lane.
func (pool *pool) take(now time.Time, waiter *waiter, count int) (decision, bool) {
	mayWait := pool.mayAwaitLoan(now, waiter)
	need := waiter.need(count, mayWait)
	source := &pool.own
	switch {
	case pool.baseline():
		source = &pool.allEndpoints
	case waiter.borrower != "" || pool.own.Usable(now):
	case pool.homeReachable(now):
		return decision{}, false
	default:
		source = &pool.allEndpoints
		need = need.Near(pool.place)
	}
	ticket := source.Take(now, need)
	if ticket == nil {
		return decision{}, false
	}
	if source == &pool.allEndpoints && !pool.baseline() && !pool.withinBudget(now, ticket.Endpoint()) {
		source.Release(now, ticket, NewResult(Unused, 0))
		return decision{}, false
	}
	pool.counters.granted++
	return decision{selector: source, ticket: ticket}, true
}

// withinBudget reports whether the region budget allows use of endpoint without
// a loan.
func (pool *pool) withinBudget(now time.Time, endpoint definer.Endpoint) bool {
	region := endpoint.Place().Region()
	return region == pool.place.Region() || pool.router.meter.allows(now, region)
}

// homeReachable reports whether another home can be asked for a slot.
func (pool *pool) homeReachable(now time.Time) bool {
	return pool.router.canBorrow() &&
		slices.ContainsFunc(pool.homes, func(otherHome *otherHome) bool { return !now.Before(otherHome.retryAt) })
}

// mayAwaitLoan reports whether waiter may still get a slot of another home in
// the region.
func (pool *pool) mayAwaitLoan(now time.Time, waiter *waiter) bool {
	if waiter.borrower != "" || now.Sub(waiter.since) >= maxLoanWait || !pool.router.canBorrow() {
		return false
	}
	return slices.ContainsFunc(pool.homes, func(otherHome *otherHome) bool {
		return otherHome.sameRegion && !now.Before(otherHome.retryAt)
	})
}
