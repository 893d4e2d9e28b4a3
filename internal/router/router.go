// Package router decides where the requests of one entry host run. For the
// endpoints that the host is the home of it hands out slots, counted exactly
// by package keeper; when all are taken a request waits in a bounded queue and
// the host borrows slots of other homes meanwhile. A host that is no home asks
// one, and where none is in reach it places by its own counts.
//
// Each pool has its own mutex, so pools don't wait for each other. A request
// waits in its caller's goroutine; the only goroutines of a router's own keep
// wants at other homes, one for each home and lane while requests wait.
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
	"github.com/chivespool/chivespool/internal/keeper"
	"github.com/chivespool/chivespool/internal/locator"
	"github.com/chivespool/chivespool/internal/refuser"
)

// DefaultQueueLength is how many requests of a pool wait at most.
const DefaultQueueLength = 256

// Router places the requests of one entry host. The zero value knows no pool
// and refuses all requests; it is safe for concurrent use.
type Router struct {
	// mu guards settings, draining, closed and the change of pools.
	mu       sync.Mutex
	settings settings
	draining []string
	closed   bool
	// pools is replaced, never changed.
	pools  atomic.Pointer[map[string]*pool]
	lender atomic.Pointer[Lender]
	meter  meter
	// loans holds the loans to others by id.
	loans    sync.Map
	lastLoan atomic.Uint64
	// sweptAt is when overdue loans were last looked for, in nanoseconds.
	sweptAt atomic.Int64
	// tasks counts the borrowings that run.
	tasks sync.WaitGroup
}

// settings are what a setter may change; the zero value stands for defaults.
type settings struct {
	queueLength int
	longShare   float64
	policy      keeper.Policy
}

// SetLender gives the router a way to other homes.
func (router *Router) SetLender(lender Lender) { router.lender.Store(&lender) }

// SetQueueLength bounds how many requests of a pool wait.
func (router *Router) SetQueueLength(length int) {
	router.set(func(settings *settings) { settings.queueLength = length })
}

// SetLongShare sets the part of a pool's slots that long work may hold, from 0
// to 1.
func (router *Router) SetLongShare(share float64) {
	router.set(func(settings *settings) { settings.longShare = share })
}

// SetPolicy sets how endpoints are chosen: keeper.Slots, or a baseline.
func (router *Router) SetPolicy(policy keeper.Policy) {
	router.set(func(settings *settings) { settings.policy = policy })
}

// SetRegionBudget bounds the bytes a second that loans from each other region
// may cost, with the requests and answers that they carry.
func (router *Router) SetRegionBudget(bytesPerSecond int64) { router.meter.setBudget(bytesPerSecond) }

func (router *Router) set(change func(settings *settings)) {
	router.mu.Lock()
	defer router.mu.Unlock()
	change(&router.settings)
	for _, pool := range router.snapshot() {
		pool.set(router.settings)
	}
}

// SetDraining names the endpoints that get no new work because others said
// that they drain, in place of those named before.
func (router *Router) SetDraining(endpoints []string) {
	router.mu.Lock()
	defer router.mu.Unlock()
	router.draining = slices.Clone(endpoints)
	for _, pool := range router.snapshot() {
		pool.setDraining(time.Now(), router.draining)
	}
}

// Update takes in the configuration in force and the entry hosts, self among
// them. Pools that are no more refuse their requests.
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
	pool.everywhere.SetSeed(seed + 1)
	pool.set(router.settings)
	return pool
}

// Acquire waits for a slot for request. Its error is always a
// *refuser.Refusal that says not run.
func (router *Router) Acquire(ctx context.Context, request Request) (*Slot, error) {
	pool := router.snapshot()[request.pool]
	if pool == nil {
		detail := "there is no pool " + request.pool
		return nil, refuser.New(refuser.KindNoEndpoint, refuser.NotRun, detail)
	}
	return pool.acquire(ctx, request)
}

// Close refuses all requests that wait, ends the borrowings and waits for
// their end. Slots that are out may still be released.
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

// snapshot returns the pools by name, not to be changed.
func (router *Router) snapshot() map[string]*pool {
	pools := router.pools.Load()
	if pools == nil {
		return nil
	}
	return *pools
}

// sorted returns the pools in the order of their names.
func (router *Router) sorted() []*pool {
	pools := router.snapshot()
	ordered := make([]*pool, 0, len(pools))
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		ordered = append(ordered, pools[name])
	}
	return ordered
}

func (router *Router) canBorrow() bool { return router.lender.Load() != nil }

func (router *Router) currentLender() Lender { return *router.lender.Load() }
