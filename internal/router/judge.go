package router

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/refuser"
)

// leastRetryAfter is the least wait that a caller is asked for at overload.
const leastRetryAfter = 50 * time.Millisecond

// judge refuses a request that can't be answered in time, or that finds the
// queue full; it returns nil where the request may wait.
func (pool *pool) judge(now time.Time, waiter *waiter) *refuser.Refusal {
	if !pool.usable(now) {
		return pool.refuseEmpty().refusal
	}
	if pool.baseline() {
		return nil
	}
	ahead := pool.queue.ahead(waiter.lane, waiter.request.priority)
	wait := pool.expectedWait(now, waiter.lane, ahead)
	if refusal := pool.judgeDeadline(now, waiter, wait); refusal != nil {
		return refusal
	}
	bound := pool.queueLength
	if waiter.lane == definer.Long {
		bound = (bound + 1) / 2
	}
	if pool.queue.len() < pool.queueLength && pool.queue.counts[waiter.lane] < bound {
		return nil
	}
	if victim := pool.queue.below(waiter.lane, waiter.request.priority); victim != nil {
		pool.drop(victim, pool.refuseOverloaded(victim, "requests of higher priority fill the queue"))
		return nil
	}
	detail := fmt.Sprintf("%d requests of pool %s wait already", pool.queue.len(), pool.name)
	return pool.refuse(refuser.KindOverloaded, detail, wait).refusal
}

// judgeDeadline refuses a request whose deadline comes before its answer.
func (pool *pool) judgeDeadline(now time.Time, waiter *waiter, wait time.Duration) *refuser.Refusal {
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

// expectedWait estimates how long a request waits that comes after ahead
// others of its lane.
func (pool *pool) expectedWait(now time.Time, lane definer.Lane, ahead int) time.Duration {
	if ahead == 0 {
		return 0
	}
	if wait, ok := pool.paces[lane].wait(ahead + 1); ok {
		return wait
	}
	slots := pool.own.Slots(now)
	if lane == definer.Long {
		slots = pool.own.LongCap(now)
	}
	mean, _ := pool.own.Expect(now, "", lane)
	return time.Duration(ahead+1) * mean / time.Duration(max(1, slots))
}

// hopeless reports whether waiter's deadline comes before an answer that
// begins now.
func (pool *pool) hopeless(now time.Time, waiter *waiter) bool {
	deadline := waiter.request.deadline
	if deadline.IsZero() {
		return false
	}
	mean, _ := pool.own.Expect(now, waiter.request.class, waiter.lane)
	return now.Add(mean).After(deadline)
}

// usable reports whether any endpoint takes new work, for all that is known.
func (pool *pool) usable(now time.Time) bool {
	return pool.own.Usable(now) || pool.everywhere.Usable(now)
}

// drop takes waiter out of the queue and gives it a refusal.
func (pool *pool) drop(waiter *waiter, refused grant) {
	pool.queue.remove(waiter)
	waiter.ready <- refused
}

// refuseHopeless makes the grant of a waiter whose deadline came too near.
func (pool *pool) refuseHopeless(waiter *waiter) grant {
	return pool.refuseOverloaded(waiter, "the wait left too little time before the deadline")
}

// refuseOverloaded makes the grant of a waiter that others go before.
func (pool *pool) refuseOverloaded(waiter *waiter, detail string) grant {
	wait, _ := pool.paces[waiter.lane].wait(pool.queue.counts[waiter.lane])
	return pool.refuse(refuser.KindOverloaded, detail, wait)
}

// refuseEmpty makes the grant of a request whose pool has no endpoint.
func (pool *pool) refuseEmpty() grant {
	return pool.refuse(refuser.KindNoEndpoint, "pool "+pool.name+" has no endpoint that takes work", 0)
}

// refuse makes the grant of a refusal.
func (pool *pool) refuse(kind refuser.Kind, detail string, wait time.Duration) grant {
	pool.counters.refused++
	refusal := refuser.New(kind, refuser.NotRun, detail)
	if kind == refuser.KindOverloaded {
		refusal = refusal.WithRetryAfter(max(wait, leastRetryAfter))
	}
	return grant{refusal: refusal}
}

// refuseEnded makes the grant of a request whose context ended for cause.
func (pool *pool) refuseEnded(cause error) grant {
	if errors.Is(cause, context.DeadlineExceeded) {
		return pool.refuse(refuser.KindDeadline, "no slot came free before the deadline", 0)
	}
	return pool.refuse(refuser.KindCancelled, "cancelled while it waited for a slot", 0)
}
