// Package router decides where the requests of one entry host run; package
// dispatcher acquires a slot for each attempt.
//
// A host grants the slots of the endpoints that it is the home of, which package
// selector counts exactly, and borrows from other homes while requests wait in
// its bounded queue. A host that is not a home borrows from one; if none is
// reachable, it chooses by its own counts. Requests wait in their callers'
// goroutines. A router starts goroutines only to borrow, one for each home and
// lane, and does no other I/O.
package router

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/locator"
	"github.com/chivespool/chivespool/internal/refuser"
	"github.com/chivespool/chivespool/internal/selector"
)

// DefaultQueueLength bounds how many requests of a pool wait.
const DefaultQueueLength = 256

// Router places the requests of one entry host. The zero value has no pools and
// refuses all requests. A Router is safe for concurrent use; each pool has its
// own mutex, so that pools don't contend with each other.
type Router struct {
	// mu guards settings, draining, closed and the replacement of pools.
	mu       sync.Mutex
	settings settings
	draining []string
	closed   bool
	// pools points to a map that is replaced, never modified.
	pools  atomic.Pointer[map[string]*pool]
	lender atomic.Pointer[Lender]
	meter  meter
	// loans holds the loans to other hosts by id.
	loans    sync.Map
	lastLoan atomic.Uint64
	// sweptAt is the time of the last search for overdue loans, in nanoseconds.
	sweptAt atomic.Int64
	// tasks tracks the running borrowings.
	tasks sync.WaitGroup
}

// settings are the values that setters change; a zero field stands for its
// default.
type settings struct {
	queueLength int
	longShare   float64
	policy      selector.Policy
}

// SetLender sets how the router borrows from other homes.
func (router *Router) SetLender(lender Lender) { router.lender.Store(&lender) }

// SetQueueLength bounds how many requests of a pool wait.
func (router *Router) SetQueueLength(length int) {
	router.applySettings(func(settings *settings) { settings.queueLength = length })
}

// SetLongShare sets the share of a pool's slots that long work may hold, from 0
// to 1.
func (router *Router) SetLongShare(share float64) {
	router.applySettings(func(settings *settings) { settings.longShare = share })
}

// SetPolicy sets how endpoints are chosen: selector.Slots or a baseline policy.
func (router *Router) SetPolicy(policy selector.Policy) {
	router.applySettings(func(settings *settings) { settings.policy = policy })
}

// SetRegionBudget bounds the bytes per second that loans from each other region
// may use, including the requests and answers on borrowed slots. 0 forbids such
// loans.
func (router *Router) SetRegionBudget(bytesPerSecond int64) { router.meter.setBudget(bytesPerSecond) }

func (router *Router) applySettings(change func(settings *settings)) {
	router.mu.Lock()
	defer router.mu.Unlock()
	change(&router.settings)
	for _, pool := range router.snapshot() {
		pool.applySettings(router.settings)
	}
}

// SetDraining replaces the list of endpoints that get no new work because other
// hosts report that they drain.
func (router *Router) SetDraining(endpoints []string) {
	router.mu.Lock()
	defer router.mu.Unlock()
	router.draining = slices.Clone(endpoints)
	for _, pool := range router.snapshot() {
		pool.setDraining(time.Now(), router.draining)
	}
}

// Update applies the configuration in force and the list of entry hosts, which
// includes self. Pools that are removed refuse their requests.
func (router *Router) Update(configuration *definer.Configuration, self definer.Host, hosts []definer.Host) {
	router.mu.Lock()
	defer router.mu.Unlock()
	if router.closed {
		return
	}
	router.meter.setRegion(self.Place().Region())
	before := router.snapshot()
	after := make(map[string]*pool)
	for _, name := range configuration.Pools() {
		pool := before[name]
		if pool == nil {
			pool = router.newPool(name, self)
		}
		homes := locator.Homes(configuration, hosts, name)
		pool.update(time.Now(), self, homes, configuration.EndpointsOf(name), router.draining)
		after[name] = pool
	}
	router.pools.Store(&after)
	for name, pool := range before {
		if after[name] == nil {
			pool.close()
		}
	}
}

func (router *Router) newPool(name string, self definer.Host) *pool {
	pool := &pool{name: name, router: router}
	seed := xxhash.Sum64String(self.Name() + "\x00" + name)
	pool.own.SetSeed(seed)
	pool.allEndpoints.SetSeed(seed + 1)
	pool.applySettings(router.settings)
	return pool
}

// Acquire waits for a slot for request. Its error is always a *refuser.Refusal
// marked as not run.
func (router *Router) Acquire(ctx context.Context, request Request) (*Slot, error) {
	pool := router.snapshot()[request.pool]
	if pool == nil {
		detail := "there is no pool " + request.pool
		return nil, refuser.New(refuser.KindNoEndpoint, refuser.NotRun, detail)
	}
	return pool.acquire(ctx, request)
}

// Close refuses all waiting requests, and stops the borrowings and waits for
// them. Slots in use may still be released.
func (router *Router) Close() error {
	router.mu.Lock()
	router.closed = true
	for _, pool := range router.snapshot() {
		pool.close()
	}
	router.mu.Unlock()
	router.tasks.Wait()
	return nil
}

// snapshot returns the pools by name. The map must not be modified.
func (router *Router) snapshot() map[string]*pool {
	pools := router.pools.Load()
	if pools == nil {
		return nil
	}
	return *pools
}

// sortedPools returns the pools in order of name.
func (router *Router) sortedPools() []*pool {
	pools := router.snapshot()
	ordered := make([]*pool, 0, len(pools))
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		ordered = append(ordered, pools[name])
	}
	return ordered
}

func (router *Router) canBorrow() bool { return router.lender.Load() != nil }

func (router *Router) currentLender() Lender { return *router.lender.Load() }
