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
	// owner takes the slot back.
	owner slotOwner
}

// slotOwner takes back a slot that it gave out.
type slotOwner interface {
	takeBack(result Result)
}

// Endpoint returns the endpoint that the request may run on.
func (slot *Slot) Endpoint() definer.Endpoint { return slot.endpoint }

// Release ends the use of the slot. Only the first call has an effect.
func (slot *Slot) Release(result Result) {
	if slot.released.CompareAndSwap(false, true) {
		slot.owner.takeBack(result)
	}
}

// slot makes a slot of a grant.
func (pool *pool) slot(waiter *waiter, granted grant) *Slot {
	if granted.ticket != nil {
		return &Slot{endpoint: granted.ticket.Endpoint(), owner: &ownHold{pool: pool, grant: granted}}
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	endpoint := pool.endpoints[granted.loan.endpoint]
	return &Slot{endpoint: endpoint, owner: &loanHold{pool: pool, grant: granted, waiter: waiter}}
}

// ownHold is a slot of one of our keepers while a request uses it.
type ownHold struct {
	pool *pool
	grant
}

func (ownHold *ownHold) takeBack(result Result) {
	ownHold.pool.release(time.Now(), ownHold.grant, result)
}

// release gives the slot of a ticket back, and lets both keepers learn.
func (pool *pool) release(now time.Time, granted grant, result Result) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if result.Outcome() == Unused {
		pool.counters.unused++
	}
	endpoint := granted.ticket.Endpoint()
	granted.keeper.Release(now, granted.ticket, result)
	other := &pool.own
	if granted.keeper == other {
		other = &pool.everywhere
	} else if region := endpoint.Place().Region(); region != pool.place.Region() {
		pool.router.meter.charge(region, 0, result.Bytes())
	}
	other.Hear(now, endpoint.Name(), granted.ticket.Need(), result)
	pool.pump(now)
}

// loanHold is a slot of another home while a request of ours uses it.
type loanHold struct {
	pool *pool
	grant
	waiter *waiter
}

func (loanHold *loanHold) takeBack(result Result) {
	loanHold.pool.hear(time.Now(), loanHold.loan.endpoint, loanHold.waiter, result)
	loanHold.pool.router.giveBack(loanHold.pool, loanHold.home, loanHold.loan, result)
}

// hear lets both keepers learn from a request on a borrowed slot.
func (pool *pool) hear(now time.Time, endpoint string, waiter *waiter, result Result) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.own.Hear(now, endpoint, waiter.need(0, false), result)
	pool.everywhere.Hear(now, endpoint, waiter.need(0, false), result)
}
