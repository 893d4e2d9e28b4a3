package placer

import (
	"slices"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// How many endpoints are asked at one distance.
const (
	// firstSize is how many are asked at first: on a calm day three quarters work
	// at their usual pace, so that two mostly do.
	firstSize = 2
	// ringSize is how many are asked in all. The best of four is seldom among the
	// slow quarter of a service (1 in 256).
	ringSize = 4
	// usualShare is how many times longer than usual a run may take on an endpoint
	// that is taken without asking more.
	usualShare = 1.2
)

// Rings returns the endpoints to ask, in the order of asking: each ring at
// once, the next one only where it is needed.
func (placer *Placer) Rings(now time.Time, endpoints []definer.Endpoint, want Want) []Ring {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	tiers := make([][]definer.Endpoint, tierCount+1)
	for _, endpoint := range endpoints {
		tier := placer.tier(endpoint)
		if slices.Contains(want.avoid, endpoint.Name()) || placer.isOut(now, endpoint.Name()) {
			tier = tierCount
		}
		tiers[tier] = append(tiers[tier], endpoint)
	}
	var rings []Ring
	for _, tier := range tiers {
		placer.shuffle(now, tier)
	}
	for _, tier := range tiers[:tierFar] {
		first := min(firstSize, len(tier))
		if first > 0 {
			rings = append(rings, Ring{endpoints: tier[:first]})
		}
		if len(tier) > first {
			rings = append(rings, Ring{endpoints: tier[first:min(ringSize, len(tier))], again: true})
		}
	}
	if far := tiers[tierFar]; len(far) > 0 {
		rings = append(rings, Ring{endpoints: far[:min(ringSize, len(far))], far: true})
	}
	rest := tiers[tierCount]
	if len(rings) > 0 {
		// What was tried already is tried again only where there is nothing else.
		rest = slices.DeleteFunc(rest, func(endpoint definer.Endpoint) bool { return slices.Contains(want.avoid, endpoint.Name()) })
	}
	if len(rest) > 0 {
		rings = append(rings, Ring{endpoints: rest[:min(ringSize, len(rest))], last: true})
	}
	return rings
}

// Ring is a number of endpoints that are asked at once.
type Ring struct {
	endpoints []definer.Endpoint
	// far is true where they stand in other regions.
	far bool
	// last is true where they were out of reach lately or tried already.
	last bool
	// again is true where others at this distance were asked before.
	again bool
}

// Endpoints returns the endpoints to ask.
func (ring Ring) Endpoints() []definer.Endpoint { return ring.endpoints }

// Needed reports whether the ring is to be asked, given the choice among those
// before. More of the same distance are asked unless one has room and works at
// its usual pace: a question costs little there, and less than a slow run.
// Endpoints that were out of reach are asked where no other answers. Another
// region is asked only where the own one can't serve in time: the way
// costs, and what comes back over it is old.
func (ring Ring) Needed(choice Choice) bool {
	switch {
	case ring.last:
		return !choice.found
	case ring.far:
		return !choice.found || choice.run > choice.inTime || choice.run > choice.left
	case ring.again:
		return !choice.good || !choice.usual
	}
	return !choice.good
}

// tiers of distance.
const (
	tierCentre = iota
	tierRegion
	tierFar
	tierCount
)

func (placer *Placer) tier(endpoint definer.Endpoint) int {
	switch {
	case endpoint.Place() == placer.place:
		return tierCentre
	case endpoint.Place().Region() == placer.place.Region():
		return tierRegion
	}
	return tierFar
}

// shuffle orders endpoints at random, those with trouble last; mu is held.
func (placer *Placer) shuffle(now time.Time, endpoints []definer.Endpoint) {
	placer.random.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	slices.SortStableFunc(endpoints, func(a, b definer.Endpoint) int {
		return int(placer.trouble(now, a.Name())) - int(placer.trouble(now, b.Name()))
	})
}
