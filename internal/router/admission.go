package router

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/refuser"
)

// minRetryAfter is the shortest retry delay sent to a caller under overload.
const minRetryAfter = 50 * time.Millisecond

// checkAdmission returns the refusal of a request that can't be answered before
// its deadline or finds the queue full, or nil if the request may wait. If the
// queue is full, a waiter of lower priority is refused to make room.
func (pool *pool) checkAdmission(now time.Time, waiter *waiter) *refuser.Refusal {
	if !pool.usable(now) {
		return pool.refuseNoEndpoint().refusal
	}
	if pool.baseline() {
		return nil
	}
	ahead := pool.queue.ahead(waiter.lane, waiter.request.priority)
	wait := pool.expectedWait(now, waiter.lane, ahead)
	if refusal := pool.checkDeadline(now, waiter, wait); refusal != nil {
		return refusal
	}
	bound := pool.queueLength
	if waiter.lane == definer.Long {
		bound = (bound + 1) / 2
	}
	if pool.queue.len() < pool.queueLength && pool.queue.counts[waiter.lane] < bound {
		return nil
	}
	if displaced := pool.queue.below(waiter.lane, waiter.request.priority); displaced != nil {
		pool.drop(displaced, pool.refuseOverloaded(displaced, "requests of higher priority fill the queue"))
		return nil
	}
	detail := fmt.Sprintf("%d requests of pool %s wait already", pool.queue.len(), pool.name)
	return pool.refuse(refuser.KindOverloaded, detail, wait).refusal
}

// checkDeadline returns the refusal of a request whose answer would miss its
// deadline, or nil.
func (pool *pool) checkDeadline(now time.Time, waiter *waiter, wait time.Duration) *refuser.Refusal {
	deadline := waiter.request.deadline
	if deadline.IsZero() {
		return nil
	}
	left := deadline.Sub(now)
	mean, late := pool.own.Expect(now, waiter.request.class, waiter.lane)
	if left <= 0 || mean > left {
		detail := fmt.Sprintf("the answer takes about %v and the deadline is in %v", mean, left)
		return pool.refuse(refuser.KindDeadline, detail, 0).refusal
	}
	if wait > 0 && wait+late > left {
		detail := fmt.Sprintf("the wait is about %v and the deadline is in %v", wait, left)
		return pool.refuse(refuser.KindOverloaded, detail, wait).refusal
	}
	return nil
}

// expectedWait estimates the wait of a request with ahead others before it in
// its lane.
func (pool *pool) expectedWait(now time.Time, lane definer.Lane, ahead int) time.Duration {
	if ahead == 0 {
		return 0
	}
	if wait, ok := pool.grantRates[lane].wait(ahead + 1); ok {
		return wait
	}
	slots := pool.own.Slots(now)
	if lane == definer.Long {
		slots = pool.own.LongLimit(now)
	}
	mean, _ := pool.own.Expect(now, "", lane)
	return time.Duration(ahead+1) * mean / time.Duration(max(1, slots))
}

// missesDeadline reports whether a request that starts now is expected to end
// after waiter's deadline.
func (pool *pool) missesDeadline(now time.Time, waiter *waiter) bool {
	deadline := waiter.request.deadline
	if deadline.IsZero() {
		return false
	}
	mean, _ := pool.own.Expect(now, waiter.request.class, waiter.lane)
	return now.Add(mean).After(deadline)
}

// usable reports whether any endpoint of the pool accepts new work, now or once a
// slot is free or a pause ends.
func (pool *pool) usable(now time.Time) bool {
	return pool.own.Usable(now) || pool.allEndpoints.Usable(now)
}

// drop removes waiter from the queue and delivers refused to it.
func (pool *pool) drop(waiter *waiter, refused decision) {
	pool.queue.remove(waiter)
	waiter.ready <- refused
}

// refuseLate returns the decision that refuses a waiter with too little time left
// before its deadline.
func (pool *pool) refuseLate(waiter *waiter) decision {
	return pool.refuseOverloaded(waiter, "the wait left too little time before the deadline")
}

// refuseOverloaded returns the decision that refuses waiter because of overload.
func (pool *pool) refuseOverloaded(waiter *waiter, detail string) decision {
	wait, _ := pool.grantRates[waiter.lane].wait(pool.queue.counts[waiter.lane])
	return pool.refuse(refuser.KindOverloaded, detail, wait)
}

// refuseNoEndpoint returns the decision that refuses a request whose pool has no
// usable endpoint.
func (pool *pool) refuseNoEndpoint() decision {
	return pool.refuse(refuser.KindNoEndpoint, "pool "+pool.name+" has no endpoint that takes work", 0)
}

// refuse counts a refusal and returns it as a decision.
func (pool *pool) refuse(kind refuser.Kind, detail string, wait time.Duration) decision {
	pool.counters.refused++
	refusal := refuser.New(kind, refuser.NotRun, detail)
	if kind == refuser.KindOverloaded {
		refusal = refusal.WithRetryAfter(max(wait, minRetryAfter))
	}
	return decision{refusal: refusal}
}

// refuseEnded returns the decision that refuses a request whose context ended with
// cause.
func (pool *pool) refuseEnded(cause error) decision {
	if errors.Is(cause, context.DeadlineExceeded) {
		return pool.refuse(refuser.KindDeadline, "no slot came free before the deadline", 0)
	}
	return pool.refuse(refuser.KindCancelled, "cancelled while it waited for a slot", 0)
}
