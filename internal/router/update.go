package router

import (
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/locator"
	"github.com/chivespool/chivespool/internal/refuser"
	"github.com/chivespool/chivespool/internal/selector"
)

// applySettings applies settings to the pool.
func (pool *pool) applySettings(settings settings) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.queueLength = settings.queueLength
	if pool.queueLength == 0 {
		pool.queueLength = DefaultQueueLength
	}
	pool.policy = settings.policy
	pool.own.SetLongShare(settings.longShare)
	pool.allEndpoints.SetLongShare(settings.longShare)
	if pool.baseline() {
		pool.allEndpoints.SetPolicy(pool.policy, true)
	} else {
		pool.allEndpoints.SetPolicy(selector.TwoChoices, false)
	}
}

// update applies the pool's homes and endpoints.
func (pool *pool) update(now time.Time, self definer.Host, homes []locator.Home, endpoints []definer.Endpoint, draining []string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.place = self.Place()
	pool.homes = otherHomes(homes, self, pool.homes)
	pool.endpoints = make(map[string]definer.Endpoint, len(endpoints))
	for _, endpoint := range endpoints {
		pool.endpoints[endpoint.Name()] = endpoint
	}
	var own []definer.Endpoint
	for _, home := range homes {
		if home.Host().Name() == self.Name() {
			own = home.Endpoints()
		}
	}
	pool.own.SetEndpoints(now, own)
	pool.allEndpoints.SetEndpoints(now, endpoints)
	pool.own.SetDraining(now, draining)
	pool.allEndpoints.SetDraining(now, draining)
	pool.grantAll(now)
}

// setDraining replaces the list of endpoints that other hosts report as
// draining.
func (pool *pool) setDraining(now time.Time, names []string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.own.SetDraining(now, names)
	pool.allEndpoints.SetDraining(now, names)
	pool.grantAll(now)
}

// close refuses all waiters and cancels the borrowings.
func (pool *pool) close() {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.closed = true
	waiters := append(pool.queue.all(), pool.spareWaiters...)
	pool.spareWaiters = nil
	for _, waiter := range waiters {
		pool.queue.remove(waiter)
		waiter.ready <- pool.refuse(refuser.KindLeaving, "the entry host stops or the pool is gone", 0)
	}
	for _, borrowing := range pool.borrowings {
		borrowing.cancel()
	}
}
