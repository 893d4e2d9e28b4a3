// Package selector decides which endpoint of a pool takes the next request.
// Package router owns the selectors of each pool.
//
// A [Selector] counts the slots of a set of endpoints and tracks from the results
// of requests whether each is slow, fails, sheds load, drains or has just
// started. It does no I/O, starts no goroutines, reads no clock and is not safe
// for concurrent use.
package selector

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
	peakHalfLife = 5 * time.Second
	// peakMargin is the multiple of the peak that is kept free of long work.
	peakMargin = 1.5
)

// Selector manages the slots of a set of endpoints. The zero value has no
// endpoints.
type Selector struct {
	// Estimator estimates run times.
	Estimator
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

// SetPolicy sets how to choose. An uncounted selector does not limit requests to
// the slots, since a host that sees only its own share of the requests can't know
// which slots are free.
func (selector *Selector) SetPolicy(policy Policy, uncounted bool) {
	selector.policy = policy
	selector.uncounted = uncounted
}

// SetLongShare sets the share of the slots that long work may hold.
func (selector *Selector) SetLongShare(share float64) { selector.longShare = share }

// SetSeed seeds the random choices, so that several selectors choose differently.
func (selector *Selector) SetSeed(seed uint64) { selector.random.Seed(seed, seed) }

// SetEndpoints replaces the set of endpoints and keeps the state of those that
// remain. Endpoints added after the first call start cold.
func (selector *Selector) SetEndpoints(now time.Time, definitions []definer.Endpoint) {
	before := make(map[string]*endpoint, len(selector.endpoints))
	for _, endpoint := range selector.endpoints {
		before[endpoint.Name()] = endpoint
	}
	after := make([]*endpoint, 0, len(definitions))
	for _, definition := range definitions {
		kept := before[definition.Name()]
		if kept == nil {
			kept = newEndpoint(definition, selector.started)
		}
		kept.redefine(definition)
		after = append(after, kept)
	}
	slices.SortFunc(after, func(left, right *endpoint) int { return cmp.Compare(left.Name(), right.Name()) })
	selector.endpoints = after
	selector.started = selector.started || len(after) > 0
	selector.long = 0
	for _, endpoint := range after {
		selector.long += endpoint.long
	}
	selector.limitEjections(now)
}

// SetDraining replaces the list of endpoints that other hosts report as
// draining.
func (selector *Selector) SetDraining(now time.Time, names []string) {
	for _, endpoint := range selector.endpoints {
		endpoint.setDraining(slices.Contains(names, endpoint.Name()))
	}
	selector.limitEjections(now)
}

// Len returns the number of endpoints.
func (selector *Selector) Len() int { return len(selector.endpoints) }

// Usable reports whether any endpoint accepts new work, now or once a slot is
// free or a pause ends.
func (selector *Selector) Usable(now time.Time) bool {
	return slices.ContainsFunc(selector.endpoints, func(endpoint *endpoint) bool { return endpoint.inService(now) })
}

// Slots returns how many requests the endpoints in service may run at once.
func (selector *Selector) Slots(now time.Time) int {
	slots := 0
	for _, endpoint := range selector.endpoints {
		if endpoint.inService(now) {
			slots += endpoint.limit()
		}
	}
	return slots
}

// LongRunning returns how many slots long work holds.
func (selector *Selector) LongRunning() int { return selector.long }

// LongLimit returns how many slots long work may hold: its share, or the slots
// left free by the recent peak of short work if those are more. It leaves at
// least one slot to short work, but is at least 1.
func (selector *Selector) LongLimit(now time.Time) int {
	share := selector.longShare
	if share == 0 {
		share = DefaultLongShare
	}
	slots := selector.Slots(now)
	left := float64(slots) - peakMargin*selector.decayedPeak(now)
	return max(1, min(int(max(share*float64(slots), left)), slots-1))
}

func (selector *Selector) decayedPeak(now time.Time) float64 {
	return selector.peak * math.Exp2(-float64(now.Sub(selector.peakAt))/float64(peakHalfLife))
}

// recordPeak updates the peak with the slots that short work holds now.
func (selector *Selector) recordPeak(now time.Time) {
	short := -selector.long
	for _, endpoint := range selector.endpoints {
		short += len(endpoint.running)
	}
	selector.peak = max(float64(short), selector.decayedPeak(now))
	selector.peakAt = now
}

// Take takes a slot for need, or returns nil if the request should wait.
func (selector *Selector) Take(now time.Time, need Need) *Ticket {
	if need.lane == definer.Long && !selector.uncounted && selector.long >= selector.LongLimit(now) {
		return nil
	}
	endpoint := selector.choose(now, need)
	if endpoint == nil {
		return nil
	}
	ticket := &Ticket{endpoint: endpoint, need: need, start: now}
	endpoint.add(ticket)
	if need.lane == definer.Long {
		selector.long++
	} else {
		selector.recordPeak(now)
	}
	return ticket
}

// Release frees the slot of ticket and records result. It must be called once
// for each ticket.
func (selector *Selector) Release(now time.Time, ticket *Ticket, result Result) {
	endpoint := ticket.endpoint
	endpoint.remove(ticket)
	if ticket.need.lane == definer.Long && selector.contains(endpoint) {
		selector.long--
	}
	selector.record(now, endpoint, ticket.need, result)
}

// ObserveResult records the result of a request that held no slot of this selector.
func (selector *Selector) ObserveResult(now time.Time, name string, need Need, result Result) {
	for _, endpoint := range selector.endpoints {
		if endpoint.Name() == name {
			selector.record(now, endpoint, need, result)
			return
		}
	}
	if result.outcome == Answered {
		selector.observe(now, need, result.runTime)
	}
}

func (selector *Selector) record(now time.Time, endpoint *endpoint, need Need, result Result) {
	ratio := selector.ratio(need, result.runTime)
	if result.outcome == Answered {
		selector.observe(now, need, result.runTime)
	}
	endpoint.record(now, result, ratio, selector.halfLife())
	selector.limitEjections(now)
}

// contains reports whether endpoint is still in the set.
func (selector *Selector) contains(endpoint *endpoint) bool {
	return slices.Contains(selector.endpoints, endpoint)
}

// limitEjections ends ejections, the earliest to expire first, until at least
// half of the endpoints that do not drain are in use. The readmitted endpoints
// are recorded as slow.
func (selector *Selector) limitEjections(now time.Time) {
	for {
		inUse, ejected := 0, 0
		var first *endpoint
		for _, endpoint := range selector.endpoints {
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
		first.readmit(now, selector.halfLife())
	}
}
