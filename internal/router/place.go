package router

import (
	"slices"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// pump gives free slots to those who wait, until no more can be given.
func (pool *pool) pump(now time.Time) {
	for pool.grantOne(now) {
		continue
	}
	kept := pool.wants[:0]
	for _, want := range pool.wants {
		if granted, ok := pool.take(now, want, 0); ok {
			want.ready <- granted
		} else {
			kept = append(kept, want)
		}
	}
	pool.wants = kept
	pool.borrow(now)
}

// grantOne places one waiter and reports whether it could.
func (pool *pool) grantOne(now time.Time) bool {
	for _, lane := range pool.lanesInTurn(now) {
		for _, waiter := range pool.queue.first(lane, lookahead) {
			if pool.hopeless(now, waiter) {
				pool.drop(waiter, pool.refuseHopeless(waiter))
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

// deliver takes waiter out of the queue and gives it granted.
func (pool *pool) deliver(now time.Time, waiter *waiter, granted grant) {
	pool.queue.remove(waiter)
	pool.paces[waiter.lane].grant(now)
	waiter.ready <- granted
}

// lanesInTurn returns short before long, but for long work that waited long
// and holds no slot.
func (pool *pool) lanesInTurn(now time.Time) [lanes]definer.Lane {
	first := pool.queue.first(definer.Long, 1)
	if len(first) == 1 && pool.own.LongRunning() == 0 && now.Sub(first[0].since) > longPatience {
		return [lanes]definer.Lane{definer.Long, definer.Short}
	}
	return [lanes]definer.Lane{definer.Short, definer.Long}
}

// take takes a slot for waiter while count requests wait in its lane.
func (pool *pool) take(now time.Time, waiter *waiter, count int) (grant, bool) {
	patient := pool.patient(now, waiter)
	need := waiter.need(count, patient)
	source := &pool.own
	switch {
	case pool.baseline():
		source = &pool.everywhere
	case waiter.borrower != "" || pool.own.Usable(now):
	case pool.inReach(now):
		return grant{}, false
	default:
		source = &pool.everywhere
		need = need.Near(pool.place)
	}
	ticket := source.Take(now, need)
	if ticket == nil {
		return grant{}, false
	}
	if source == &pool.everywhere && !pool.baseline() && !pool.affords(now, ticket.Endpoint()) {
		source.Release(now, ticket, NewResult(Unused, 0))
		return grant{}, false
	}
	pool.counters.granted++
	return grant{keeper: source, ticket: ticket}, true
}

// affords reports whether the budget allows to use endpoint with no loan.
func (pool *pool) affords(now time.Time, endpoint definer.Endpoint) bool {
	region := endpoint.Place().Region()
	return region == pool.place.Region() || pool.router.meter.allows(now, region)
}

// inReach reports whether another home may have a slot to lend.
func (pool *pool) inReach(now time.Time) bool {
	return pool.router.canBorrow() &&
		slices.ContainsFunc(pool.homes, func(home *otherHome) bool { return !now.Before(home.downUntil) })
}

// patient reports whether waiter may still hope for another home's slot.
func (pool *pool) patient(now time.Time, waiter *waiter) bool {
	if waiter.borrower != "" || now.Sub(waiter.since) >= patience || !pool.router.canBorrow() {
		return false
	}
	return slices.ContainsFunc(pool.homes, func(home *otherHome) bool {
		return home.near && !now.Before(home.downUntil)
	})
}
