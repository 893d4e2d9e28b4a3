package router

import (
	"sync/atomic"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Slot is the right to run one request on an endpoint.
type Slot struct {
	endpoint definer.Endpoint
	released atomic.Bool
	releaser slotReleaser
}

// slotReleaser ends the use of a slot and records the result.
type slotReleaser interface {
	release(result Result)
}

// Endpoint returns the endpoint that the request may run on.
func (slot *Slot) Endpoint() definer.Endpoint { return slot.endpoint }

// Release ends the use of the slot. Only the first call has an effect.
func (slot *Slot) Release(result Result) {
	if slot.released.CompareAndSwap(false, true) {
		slot.releaser.release(result)
	}
}

// slot returns the slot that was granted to waiter.
func (pool *pool) slot(waiter *waiter, granted decision) *Slot {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if granted.ticket != nil {
		return &Slot{endpoint: granted.ticket.Endpoint(), releaser: &localSlot{pool: pool, decision: granted}}
	}
	endpoint := pool.endpoints[granted.loan.endpoint]
	return &Slot{endpoint: endpoint, releaser: &borrowedSlot{pool: pool, decision: granted, waiter: waiter}}
}

// localSlot is a slot, counted by this host, that a request uses.
type localSlot struct {
	pool *pool
	decision
}

func (localSlot *localSlot) release(result Result) {
	localSlot.pool.release(time.Now(), localSlot.decision, result)
}

// release returns a local slot to its selector, and passes result to both
// selectors.
func (pool *pool) release(now time.Time, granted decision, result Result) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if result.Outcome() == Unused {
		pool.counters.unused++
	}
	endpoint := granted.ticket.Endpoint()
	granted.selector.Release(now, granted.ticket, result)
	other := &pool.own
	if granted.selector == other {
		other = &pool.allEndpoints
	} else if region := endpoint.Place().Region(); region != pool.place.Region() {
		pool.router.meter.charge(region, 0, result.Bytes())
	}
	other.ObserveResult(now, endpoint.Name(), granted.ticket.Need(), result)
	pool.grantAll(now)
}

// borrowedSlot is a slot of another home that a request of this host uses.
type borrowedSlot struct {
	pool *pool
	decision
	waiter *waiter
}

func (borrowedSlot *borrowedSlot) release(result Result) {
	borrowedSlot.pool.observe(time.Now(), borrowedSlot.loan.endpoint, borrowedSlot.waiter, result)
	borrowedSlot.pool.router.returnLoan(borrowedSlot.pool, borrowedSlot.home, borrowedSlot.loan, result)
}

// observe passes the result of a request on a borrowed slot to both selectors.
func (pool *pool) observe(now time.Time, endpoint string, waiter *waiter, result Result) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.own.ObserveResult(now, endpoint, waiter.need(0, false), result)
	pool.allEndpoints.ObserveResult(now, endpoint, waiter.need(0, false), result)
}
