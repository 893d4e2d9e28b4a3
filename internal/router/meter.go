package router

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// wantBytes and returnBytes are about what a want with its answer and the
	// return of a loan take on the wire.
	wantBytes   = 160
	returnBytes = 80
	// DefaultRegionBudget is how many bytes a second loans from each other
	// region may cost.
	DefaultRegionBudget = 256 << 10
	// budgetBurst is how long an unused budget adds up.
	budgetBurst = time.Second
)

// meter counts what loans cost for each region that lends, and keeps those
// between regions within a budget. The zero value has the default budget.
type meter struct {
	// mu guards all fields below.
	mu     sync.Mutex
	region string
	budget int64
	links  map[string]*link
}

// link is the traffic with homes of one region.
type link struct {
	calls int64
	bytes int64
	// debt is what of the budget is used up; it shrinks with time.
	debt   float64
	paidAt time.Time
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

// rate returns the budget in bytes a second.
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

func (meter *meter) link(region string) *link {
	if meter.links == nil {
		meter.links = make(map[string]*link)
	}
	if meter.links[region] == nil {
		meter.links[region] = &link{}
	}
	return meter.links[region]
}

// allows reports whether the budget has room for one more loan from region.
func (meter *meter) allows(now time.Time, region string) bool {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	link := meter.link(region)
	rate := meter.rate()
	link.debt = max(0, link.debt-rate*now.Sub(link.paidAt).Seconds())
	link.paidAt = now
	return link.debt+wantBytes+returnBytes <= rate*budgetBurst.Seconds()
}

// count adds a call of size bytes to region.
func (meter *meter) count(region string, size int64) { meter.charge(region, size, 0) }

// charge adds a call of size bytes to region, and the payload of a request
// and its answer to what the budget pays for.
func (meter *meter) charge(region string, size, payload int64) {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	link := meter.link(region)
	link.calls++
	link.bytes += size
	link.debt += float64(size + payload)
}

// RegionStatus is what loans between two regions cost so far.
type RegionStatus struct {
	from, to     string
	calls, bytes int64
}

// From returns our own region.
func (regionStatus RegionStatus) From() string { return regionStatus.from }

// To returns the region that was asked.
func (regionStatus RegionStatus) To() string { return regionStatus.to }

// Calls returns how many calls were made.
func (regionStatus RegionStatus) Calls() int64 { return regionStatus.calls }

// Bytes returns about how many bytes the calls took.
func (regionStatus RegionStatus) Bytes() int64 { return regionStatus.bytes }

func (meter *meter) status() []RegionStatus {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	statuses := make([]RegionStatus, 0, len(meter.links))
	for region, link := range meter.links {
		statuses = append(statuses, RegionStatus{from: meter.region, to: region, calls: link.calls, bytes: link.bytes})
	}
	slices.SortFunc(statuses, func(left, right RegionStatus) int { return cmp.Compare(left.to, right.to) })
	return statuses
}
