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
	// owner gets the slot when it is released.
	owner slotOwner
}

// slotOwner takes back a slot that it granted.
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

// slot returns the slot of a grant.
func (pool *pool) slot(waiter *waiter, granted grant) *Slot {
	if granted.ticket != nil {
		return &Slot{endpoint: granted.ticket.Endpoint(), owner: &ownGrant{pool: pool, grant: granted}}
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	endpoint := pool.endpoints[granted.loan.endpoint]
	return &Slot{endpoint: endpoint, owner: &loanGrant{pool: pool, grant: granted, waiter: waiter}}
}

// ownGrant is a local slot in use by a request.
type ownGrant struct {
	pool *pool
	grant
}

func (ownGrant *ownGrant) takeBack(result Result) {
	ownGrant.pool.release(time.Now(), ownGrant.grant, result)
}

// release returns the slot of a ticket to its selector, and passes result to both
// selectors.
func (pool *pool) release(now time.Time, granted grant, result Result) {
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

// loanGrant is a borrowed slot in use by a request of this host.
type loanGrant struct {
	pool *pool
	grant
	waiter *waiter
}

func (loanGrant *loanGrant) takeBack(result Result) {
	loanGrant.pool.observe(time.Now(), loanGrant.loan.endpoint, loanGrant.waiter, result)
	loanGrant.pool.router.giveBack(loanGrant.pool, loanGrant.home, loanGrant.loan, result)
}

// observe passes the result of a request on a borrowed slot to both selectors.
func (pool *pool) observe(now time.Time, endpoint string, waiter *waiter, result Result) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.own.ObserveResult(now, endpoint, waiter.need(0, false), result)
	pool.allEndpoints.ObserveResult(now, endpoint, waiter.need(0, false), result)
}
