package router

import (
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/selector"
)

// Status is a snapshot of a router for operators.
type Status struct {
	pools   []PoolStatus
	regions []RegionStatus
}

// Pools returns the pools in order of name.
func (status Status) Pools() []PoolStatus { return status.pools }

// Regions returns the loan traffic with each region, in order of name.
func (status Status) Regions() []RegionStatus { return status.regions }

// PoolStatus is a snapshot of one pool.
type PoolStatus struct {
	name      string
	homes     []string
	endpoints []selector.EndpointStatus
	queued    [lanes]int
	expected  [lanes]time.Duration
	counters  counters
}

// Name returns the pool's name.
func (poolStatus PoolStatus) Name() string { return poolStatus.name }

// Homes returns the other homes of the pool, those in this host's region first.
func (poolStatus PoolStatus) Homes() []string { return poolStatus.homes }

// Endpoints returns the endpoints that this host is the home of, in order of
// name. It is empty if the host is not a home of the pool.
func (poolStatus PoolStatus) Endpoints() []selector.EndpointStatus { return poolStatus.endpoints }

// Queued returns how many requests of lane wait.
func (poolStatus PoolStatus) Queued(lane definer.Lane) int { return poolStatus.queued[lane] }

// Expected returns the mean run time of lane, or 0 if it is unknown.
func (poolStatus PoolStatus) Expected(lane definer.Lane) time.Duration {
	return poolStatus.expected[lane]
}

// Granted returns how many slots this host granted from its own counts.
func (poolStatus PoolStatus) Granted() uint64 { return poolStatus.counters.granted }

// Borrowed returns how many slots of other homes were used.
func (poolStatus PoolStatus) Borrowed() uint64 { return poolStatus.counters.borrowed }

// Lent returns how many slots were lent to other hosts.
func (poolStatus PoolStatus) Lent() uint64 { return poolStatus.counters.lent }

// Unused returns how many of the granted slots were released without use.
func (poolStatus PoolStatus) Unused() uint64 { return poolStatus.counters.unused }

// Refused returns how many requests were refused.
func (poolStatus PoolStatus) Refused() uint64 { return poolStatus.counters.refused }

// Status returns a snapshot of the router.
func (router *Router) Status() Status {
	status := Status{regions: router.meter.status()}
	for _, pool := range router.sortedPools() {
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
	for _, otherHome := range pool.homes {
		status.homes = append(status.homes, otherHome.name)
	}
	for lane := range status.expected {
		status.expected[lane], _ = pool.own.Expect(now, "", definer.Lane(lane))
	}
	return status
}
