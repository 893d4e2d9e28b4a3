// Package keeper decides which endpoint of a pool takes the next request. A
// [Keeper] counts the slots of the endpoints that one home hands out, and
// judges each endpoint by the answers that come back: how slow it is, whether
// it fails, sheds load, drains or has just started.
//
// A Keeper does no I/O, reads no clock and is not safe for concurrent use;
// package router owns one for each pool and guards it.
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
	// DefaultLongShare is the part of the slots that long work may hold while
	// there is short work.
	DefaultLongShare = 0.3
	// peakHalfLife is how fast a peak of short work is forgotten, and
	// peakMargin what is kept free over it.
	peakHalfLife = 5 * time.Second
	peakMargin   = 1.5
)

// Keeper holds the slots of a set of endpoints. The zero value has none.
type Keeper struct {
	// Learner knows how long requests run.
	Learner
	// policy says how to choose; blind leaves the slots uncounted.
	policy Policy
	blind  bool
	// longShare is from 0 to 1; 0 stands for DefaultLongShare.
	longShare float64
	// endpoints are in the order of their names, without duplicates.
	endpoints []*endpoint
	// long is the sum of the endpoints' long.
	long int
	// peak is the most slots that short work held lately, faded since peakAt.
	peak   float64
	peakAt time.Time
	// started is true after the first SetEndpoints; endpoints that come later
	// begin cold.
	started bool
	random  rand.PCG
}

// Ticket is one slot taken.
type Ticket struct {
	endpoint *endpoint
	need     Need
	// start is when the slot was taken.
	start time.Time
}

// Endpoint returns the endpoint that the slot is on.
func (ticket *Ticket) Endpoint() definer.Endpoint { return ticket.endpoint.Endpoint }

// Need returns what the slot was taken for.
func (ticket *Ticket) Need() Need { return ticket.need }

// SetPolicy sets how to choose. A blind keeper does not count slots, as a
// balancer that knows only its own share of the requests must do.
func (keeper *Keeper) SetPolicy(policy Policy, blind bool) {
	keeper.policy = policy
	keeper.blind = blind
}

// SetLongShare sets the part of the slots that long work may hold.
func (keeper *Keeper) SetLongShare(share float64) { keeper.longShare = share }

// SetSeed makes the random choices of several keepers differ.
func (keeper *Keeper) SetSeed(seed uint64) { keeper.random.Seed(seed, seed) }

// SetEndpoints replaces the set of endpoints, and keeps what is known of those
// that stay. Endpoints that come after the first call begin cold.
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
	keeper.keepFloor(now)
}

// SetDraining names the endpoints that others say are draining, in place of
// those named before.
func (keeper *Keeper) SetDraining(now time.Time, names []string) {
	for _, endpoint := range keeper.endpoints {
		endpoint.told(slices.Contains(names, endpoint.Name()))
	}
	keeper.keepFloor(now)
}

// Len returns the number of endpoints.
func (keeper *Keeper) Len() int { return len(keeper.endpoints) }

// Usable reports whether any endpoint takes new work, now or when a slot frees
// or a pause ends.
func (keeper *Keeper) Usable(now time.Time) bool {
	return slices.ContainsFunc(keeper.endpoints, func(endpoint *endpoint) bool { return endpoint.serves(now) })
}

// Slots returns how many requests the endpoints that take work may run at once.
func (keeper *Keeper) Slots(now time.Time) int {
	slots := 0
	for _, endpoint := range keeper.endpoints {
		if endpoint.serves(now) {
			slots += endpoint.limit()
		}
	}
	return slots
}

// LongRunning returns how many slots long work holds.
func (keeper *Keeper) LongRunning() int { return keeper.long }

// LongCap returns how many slots long work may hold: its share, or what short
// work left free lately where that is more; never the last slot, but always
// one.
func (keeper *Keeper) LongCap(now time.Time) int {
	share := keeper.longShare
	if share == 0 {
		share = DefaultLongShare
	}
	slots := keeper.Slots(now)
	left := float64(slots) - peakMargin*keeper.fadedPeak(now)
	return max(1, min(int(max(share*float64(slots), left)), slots-1))
}

func (keeper *Keeper) fadedPeak(now time.Time) float64 {
	return keeper.peak * math.Exp2(-float64(now.Sub(keeper.peakAt))/float64(peakHalfLife))
}

// notePeak takes in how many slots short work holds now.
func (keeper *Keeper) notePeak(now time.Time) {
	short := -keeper.long
	for _, endpoint := range keeper.endpoints {
		short += len(endpoint.running)
	}
	keeper.peak = max(float64(short), keeper.fadedPeak(now))
	keeper.peakAt = now
}

// Take takes a slot for need, or returns nil where need should wait.
func (keeper *Keeper) Take(now time.Time, need Need) *Ticket {
	if need.lane == definer.Long && !keeper.blind && keeper.long >= keeper.LongCap(now) {
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
		keeper.notePeak(now)
	}
	return ticket
}

// Release gives the slot of ticket back and learns from result. A ticket is
// released once.
func (keeper *Keeper) Release(now time.Time, ticket *Ticket, result Result) {
	endpoint := ticket.endpoint
	endpoint.remove(ticket)
	if ticket.need.lane == definer.Long && keeper.holds(endpoint) {
		keeper.long--
	}
	keeper.learn(now, endpoint, ticket.need, result)
}

// Hear learns from the result of a request that held no slot of this keeper.
func (keeper *Keeper) Hear(now time.Time, name string, need Need, result Result) {
	for _, endpoint := range keeper.endpoints {
		if endpoint.Name() == name {
			keeper.learn(now, endpoint, need, result)
			return
		}
	}
	if result.outcome == Answered {
		keeper.observe(now, need, result.runTime)
	}
}

func (keeper *Keeper) learn(now time.Time, endpoint *endpoint, need Need, result Result) {
	ratio := keeper.ratio(need, result.runTime)
	if result.outcome == Answered {
		keeper.observe(now, need, result.runTime)
	}
	endpoint.learn(now, result, ratio, keeper.halfLife())
	keeper.keepFloor(now)
}

// holds reports whether endpoint is still in the set.
func (keeper *Keeper) holds(endpoint *endpoint) bool {
	return slices.Contains(keeper.endpoints, endpoint)
}

// keepFloor ends ejections, the oldest first, until at least half of the
// endpoints that do not drain are in use. It leaves them marked as slow.
func (keeper *Keeper) keepFloor(now time.Time) {
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
