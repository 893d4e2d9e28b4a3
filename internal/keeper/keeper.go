// Package keeper decides which endpoint of a pool takes the next request. A
// [Keeper] counts the slots of a set of endpoints and judges each endpoint by
// its answers: whether it is slow, fails, sheds load, drains or has just
// started.
//
// A Keeper does no I/O, reads no clock and is not safe for concurrent use;
// package router owns the keepers of each pool and guards them.
package keeper

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

const (
	// DefaultLongShare is the share of the slots that long work may hold while
	// there is short work.
	DefaultLongShare = 0.3
	// peakHalfLife is the half-life of a recorded peak of short work.
	// peakMargin is the multiple of the peak that is kept free of long work.
	peakHalfLife = 5 * time.Second
	peakMargin   = 1.5
)

// Keeper manages the slots of a set of endpoints. The zero value has no
// endpoints.
type Keeper struct {
	// Learner estimates run times.
	Learner
	// policy selects how to choose; uncounted ignores the slot limits.
	policy    Policy
	uncounted bool
	// longShare is from 0 to 1; 0 stands for DefaultLongShare.
	longShare float64
	// endpoints are in order of name, without duplicates.
	endpoints []*endpoint
	// long is the number of slots that long work holds on endpoints.
	long int
	// peak is the most slots that short work held recently, decayed since
	// peakAt.
	peak   float64
	peakAt time.Time
	// started is true after the first SetEndpoints with endpoints; those added
	// later start cold.
	started bool
	random  rand.PCG
}

// Ticket is a taken slot.
type Ticket struct {
	endpoint *endpoint
	need     Need
	// start is when the slot was taken.
	start time.Time
}

// Endpoint returns the endpoint of the slot.
func (ticket *Ticket) Endpoint() definer.Endpoint { return ticket.endpoint.Endpoint }

// Need returns the need that the slot was taken for.
func (ticket *Ticket) Need() Need { return ticket.need }

// SetPolicy sets how to choose. An uncounted keeper does not limit requests to
// the slots, as a balancer that sees only its own share of the requests must
// do.
func (keeper *Keeper) SetPolicy(policy Policy, uncounted bool) {
	keeper.policy = policy
	keeper.uncounted = uncounted
}

// SetLongShare sets the share of the slots that long work may hold.
func (keeper *Keeper) SetLongShare(share float64) { keeper.longShare = share }

// SetSeed seeds the random choices, so that several keepers choose differently.
func (keeper *Keeper) SetSeed(seed uint64) { keeper.random.Seed(seed, seed) }

// SetEndpoints replaces the set of endpoints and keeps the state of those that
// remain. Endpoints added after the first call start cold.
func (keeper *Keeper) SetEndpoints(now time.Time, definitions []definer.Endpoint) {
	before := make(map[string]*endpoint, len(keeper.endpoints))
	for _, endpoint := range keeper.endpoints {
		before[endpoint.Name()] = endpoint
	}
	after := make([]*endpoint, 0, len(definitions))
	for _, definition := range definitions {
		kept := before[definition.Name()]
		if kept == nil {
			kept = newEndpoint(definition, keeper.started)
		}
		kept.redefine(definition)
		after = append(after, kept)
	}
	slices.SortFunc(after, func(left, right *endpoint) int { return cmp.Compare(left.Name(), right.Name()) })
	keeper.endpoints = after
	keeper.started = keeper.started || len(after) > 0
	keeper.long = 0
	for _, endpoint := range after {
		keeper.long += endpoint.long
	}
	keeper.limitEjections(now)
}

// SetDraining replaces the list of endpoints that other hosts report as
// draining.
func (keeper *Keeper) SetDraining(now time.Time, names []string) {
	for _, endpoint := range keeper.endpoints {
		endpoint.setDraining(slices.Contains(names, endpoint.Name()))
	}
	keeper.limitEjections(now)
}

// Len returns the number of endpoints.
func (keeper *Keeper) Len() int { return len(keeper.endpoints) }

// Usable reports whether any endpoint accepts new work, now or once a slot is
// free or a pause ends.
func (keeper *Keeper) Usable(now time.Time) bool {
	return slices.ContainsFunc(keeper.endpoints, func(endpoint *endpoint) bool { return endpoint.inService(now) })
}

// Slots returns how many requests the endpoints in service may run at once.
func (keeper *Keeper) Slots(now time.Time) int {
	slots := 0
	for _, endpoint := range keeper.endpoints {
		if endpoint.inService(now) {
			slots += endpoint.limit()
		}
	}
	return slots
}

// LongRunning returns how many slots long work holds.
func (keeper *Keeper) LongRunning() int { return keeper.long }

// LongCap returns how many slots long work may hold: its share, or the slots
// left free by the recent peak of short work if those are more. It leaves at
// least one slot to short work, but is never less than 1.
func (keeper *Keeper) LongCap(now time.Time) int {
	share := keeper.longShare
	if share == 0 {
		share = DefaultLongShare
	}
	slots := keeper.Slots(now)
	left := float64(slots) - peakMargin*keeper.decayedPeak(now)
	return max(1, min(int(max(share*float64(slots), left)), slots-1))
}

func (keeper *Keeper) decayedPeak(now time.Time) float64 {
	return keeper.peak * math.Exp2(-float64(now.Sub(keeper.peakAt))/float64(peakHalfLife))
}

// recordPeak updates the peak with the slots that short work holds now.
func (keeper *Keeper) recordPeak(now time.Time) {
	short := -keeper.long
	for _, endpoint := range keeper.endpoints {
		short += len(endpoint.running)
	}
	keeper.peak = max(float64(short), keeper.decayedPeak(now))
	keeper.peakAt = now
}

// Take takes a slot for need, or returns nil if the request should wait.
func (keeper *Keeper) Take(now time.Time, need Need) *Ticket {
	if need.lane == definer.Long && !keeper.uncounted && keeper.long >= keeper.LongCap(now) {
		return nil
	}
	endpoint := keeper.choose(now, need)
	if endpoint == nil {
		return nil
	}
	ticket := &Ticket{endpoint: endpoint, need: need, start: now}
	endpoint.add(ticket)
	if need.lane == definer.Long {
		keeper.long++
	} else {
		keeper.recordPeak(now)
	}
	return ticket
}

// Release frees the slot of ticket and records result. It must be called once
// for each ticket.
func (keeper *Keeper) Release(now time.Time, ticket *Ticket, result Result) {
	endpoint := ticket.endpoint
	endpoint.remove(ticket)
	if ticket.need.lane == definer.Long && keeper.contains(endpoint) {
		keeper.long--
	}
	keeper.record(now, endpoint, ticket.need, result)
}

// ObserveResult records the result of a request that held no slot of this keeper.
func (keeper *Keeper) ObserveResult(now time.Time, name string, need Need, result Result) {
	for _, endpoint := range keeper.endpoints {
		if endpoint.Name() == name {
			keeper.record(now, endpoint, need, result)
			return
		}
	}
	if result.outcome == Answered {
		keeper.observe(now, need, result.runTime)
	}
}

func (keeper *Keeper) record(now time.Time, endpoint *endpoint, need Need, result Result) {
	ratio := keeper.ratio(need, result.runTime)
	if result.outcome == Answered {
		keeper.observe(now, need, result.runTime)
	}
	endpoint.record(now, result, ratio, keeper.halfLife())
	keeper.limitEjections(now)
}

// contains reports whether endpoint is still in the set.
func (keeper *Keeper) contains(endpoint *endpoint) bool {
	return slices.Contains(keeper.endpoints, endpoint)
}

// limitEjections ends ejections, the earliest to expire first, until at least
// half of the endpoints that do not drain are in use. The readmitted endpoints
// are recorded as slow.
func (keeper *Keeper) limitEjections(now time.Time) {
	for {
		inUse, ejected := 0, 0
		var first *endpoint
		for _, endpoint := range keeper.endpoints {
			switch {
			case endpoint.Drained() || endpoint.draining(now):
			case !endpoint.ejected(now):
				inUse++
			default:
				ejected++
				if first == nil || endpoint.ejectedUntil.Before(first.ejectedUntil) {
					first = endpoint
				}
			}
		}
		if ejected <= inUse {
			return
		}
		first.readmit(now, keeper.halfLife())
	}
}
