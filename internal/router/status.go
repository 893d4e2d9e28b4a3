package router

import (
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/keeper"
)

// Status is a snapshot of what a router knows, for operators.
type Status struct {
	pools   []PoolStatus
	regions []RegionStatus
}

// Pools returns the pools by name.
func (status Status) Pools() []PoolStatus { return status.pools }

// Regions returns what loans from each region cost, by name.
func (status Status) Regions() []RegionStatus { return status.regions }

// PoolStatus is a snapshot of one pool.
type PoolStatus struct {
	name      string
	homes     []string
	endpoints []keeper.EndpointStatus
	queued    [lanes]int
	expected  [lanes]time.Duration
	counters  counters
}

// Name returns the pool's name.
func (poolStatus PoolStatus) Name() string { return poolStatus.name }

// Homes returns the other homes of the pool, those of our region first.
func (poolStatus PoolStatus) Homes() []string { return poolStatus.homes }

// Endpoints returns the endpoints that this host is the home of, by name; it
// is empty where the host is no home of the pool.
func (poolStatus PoolStatus) Endpoints() []keeper.EndpointStatus { return poolStatus.endpoints }

// Queued returns how many requests of lane wait.
func (poolStatus PoolStatus) Queued(lane definer.Lane) int { return poolStatus.queued[lane] }

// Expected returns the mean run time of lane, or 0 where none is known.
func (poolStatus PoolStatus) Expected(lane definer.Lane) time.Duration {
	return poolStatus.expected[lane]
}

// Granted returns how many slots of our own were given out.
func (poolStatus PoolStatus) Granted() uint64 { return poolStatus.counters.granted }

// Borrowed returns how many slots of other homes were used.
func (poolStatus PoolStatus) Borrowed() uint64 { return poolStatus.counters.borrowed }

// Lent returns how many slots were lent to others.
func (poolStatus PoolStatus) Lent() uint64 { return poolStatus.counters.lent }

// Unused returns how many of the slots lent came back without use.
func (poolStatus PoolStatus) Unused() uint64 { return poolStatus.counters.unused }

// Refused returns how many requests were refused.
func (poolStatus PoolStatus) Refused() uint64 { return poolStatus.counters.refused }

// Status returns a snapshot for operators.
func (router *Router) Status() Status {
	status := Status{regions: router.meter.status()}
	for _, pool := range router.sorted() {
		status.pools = append(status.pools, pool.status(time.Now()))
	}
	return status
}

func (pool *pool) status(now time.Time) PoolStatus {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	status := PoolStatus{
		name: pool.name, endpoints: pool.own.Status(now), queued: pool.queue.counts, counters: pool.counters,
	}
	for _, home := range pool.homes {
		status.homes = append(status.homes, home.name)
	}
	for lane := range status.expected {
		status.expected[lane], _ = pool.own.Expect(now, "", definer.Lane(lane))
	}
	return status
}
