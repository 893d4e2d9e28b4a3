package router

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// borrowBytes and returnBytes are the approximate sizes on the wire of a
	// borrow request with its reply and of the return of a loan.
	borrowBytes = 160
	returnBytes = 80
	// DefaultRegionBudget is the bytes per second that loans from each other
	// region may use.
	DefaultRegionBudget = 256 << 10
	// budgetBurst is the period over which unused budget accumulates.
	budgetBurst = time.Second
)

// meter counts the traffic of loans for each lending region and keeps the
// traffic between regions within a budget. The zero value has the default
// budget.
type meter struct {
	// mu guards all fields below.
	mu     sync.Mutex
	region string
	// budget is in bytes per second; 0 stands for the default, and a negative
	// value forbids loans.
	budget  int64
	traffic map[string]*regionTraffic
}

// regionTraffic is the traffic with homes of one region.
type regionTraffic struct {
	calls int64
	bytes int64
	// used is the part of the budget in use; it shrinks with time.
	used      float64
	updatedAt time.Time
}

func (meter *meter) setRegion(region string) {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	meter.region = region
}

func (meter *meter) setBudget(bytesPerSecond int64) {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	meter.budget = bytesPerSecond
	if bytesPerSecond == 0 {
		meter.budget = -1
	}
}

// rate returns the budget in bytes per second.
func (meter *meter) rate() float64 {
	switch {
	case meter.budget == 0:
		return DefaultRegionBudget
	case meter.budget < 0:
		return 0
	default:
		return float64(meter.budget)
	}
}

func (meter *meter) trafficOf(region string) *regionTraffic {
	if meter.traffic == nil {
		meter.traffic = make(map[string]*regionTraffic)
	}
	if meter.traffic[region] == nil {
		meter.traffic[region] = &regionTraffic{}
	}
	return meter.traffic[region]
}

// allows reports whether the budget has room for another loan from region.
func (meter *meter) allows(now time.Time, region string) bool {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	regionTraffic := meter.trafficOf(region)
	rate := meter.rate()
	regionTraffic.used = max(0, regionTraffic.used-rate*now.Sub(regionTraffic.updatedAt).Seconds())
	regionTraffic.updatedAt = now
	return regionTraffic.used+borrowBytes+returnBytes <= rate*budgetBurst.Seconds()
}

// count records a call of size bytes to region.
func (meter *meter) count(region string, size int64) { meter.charge(region, size, 0) }

// charge records a call of size bytes to region, and charges the budget for it
// and for payload, the bytes of a request and its answer.
func (meter *meter) charge(region string, size, payload int64) {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	regionTraffic := meter.trafficOf(region)
	regionTraffic.calls++
	regionTraffic.bytes += size
	regionTraffic.used += float64(size + payload)
}

// RegionStatus is the traffic of loans between two regions since the start.
type RegionStatus struct {
	from, to     string
	calls, bytes int64
}

// From returns this host's region.
func (regionStatus RegionStatus) From() string { return regionStatus.from }

// To returns the lending region.
func (regionStatus RegionStatus) To() string { return regionStatus.to }

// Calls returns the number of calls.
func (regionStatus RegionStatus) Calls() int64 { return regionStatus.calls }

// Bytes returns the approximate size of the calls.
func (regionStatus RegionStatus) Bytes() int64 { return regionStatus.bytes }

func (meter *meter) status() []RegionStatus {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	statuses := make([]RegionStatus, 0, len(meter.traffic))
	for region, regionTraffic := range meter.traffic {
		statuses = append(statuses,
			RegionStatus{from: meter.region, to: region, calls: regionTraffic.calls, bytes: regionTraffic.bytes})
	}
	slices.SortFunc(statuses, func(left, right RegionStatus) int { return cmp.Compare(left.to, right.to) })
	return statuses
}
