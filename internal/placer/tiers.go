package placer

import (
	"slices"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// The number of endpoints probed at one distance.
const (
	// firstProbes is the size of the first tier at a distance. Without overload,
	// three quarters of the endpoints run at normal speed, so two mostly suffice.
	firstProbes = 2
	// maxProbes bounds the probes at one distance. The best of four endpoints is
	// seldom among the slow quarter of a service (1 in 256).
	maxProbes = 4
	// normalRunShare bounds the expected run time that counts as normal speed, as
	// a multiple of the run time at normal speed.
	normalRunShare = 1.2
)

// Tiers returns the endpoints to probe, in the order of probing: all endpoints
// of a tier at once, the next tier only where it is needed.
func (placer *Placer) Tiers(now time.Time, endpoints []definer.Endpoint, request Request) []Tier {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	groups := make([][]definer.Endpoint, distanceCount+1)
	for _, endpoint := range endpoints {
		distance := placer.distance(endpoint)
		if slices.Contains(request.avoid, endpoint.Name()) || placer.isEjected(now, endpoint.Name()) {
			distance = distanceCount
		}
		groups[distance] = append(groups[distance], endpoint)
	}
	var tiers []Tier
	for distance, group := range groups {
		placer.sortByFailures(now, group)
		placer.prefer(now, group, distance)
	}
	for distance, group := range groups[:distanceFar] {
		first := min(firstProbes, len(group))
		if first > 0 {
			tiers = append(tiers, Tier{endpoints: group[:first], group: group, distance: distance})
		}
		if len(group) > first {
			tiers = append(tiers, Tier{endpoints: group[first:min(maxProbes, len(group))], additional: true})
		}
	}
	if far := groups[distanceFar]; len(far) > 0 {
		tiers = append(tiers, Tier{endpoints: far[:min(maxProbes, len(far))], group: far, far: true, distance: distanceFar})
	}
	rest := groups[distanceCount]
	if len(tiers) > 0 {
		// Endpoints tried already are tried again only where there are no others.
		rest = slices.DeleteFunc(rest, func(endpoint definer.Endpoint) bool { return slices.Contains(request.avoid, endpoint.Name()) })
	}
	if len(rest) > 0 {
		tiers = append(tiers, Tier{endpoints: rest[:min(maxProbes, len(rest))], lastResort: true})
	}
	return tiers
}

// Tier is a set of endpoints that are probed at once.
type Tier struct {
	endpoints []definer.Endpoint
	// group holds all endpoints at the tier's distance if the tier is the first there.
	group []definer.Endpoint
	// distance is that of the endpoints of a tier that is not the last resort.
	distance int
	// far is true for endpoints in other regions.
	far bool
	// lastResort is true for endpoints that are ejected or were tried already.
	lastResort bool
	// additional is true where an earlier tier is at the same distance.
	additional bool
}

// Endpoints returns the endpoints to probe.
func (tier Tier) Endpoints() []definer.Endpoint { return tier.endpoints }

// Needed reports whether the tier is to be probed, given the choice among the
// tiers before it. More endpoints at the same distance are probed unless the
// chosen one has capacity and runs at normal speed: a probe within the region
// costs less than a slow run. Endpoints that are ejected or were tried already
// are probed only where no other answers. Other data centres and regions are probed
// where no nearer endpoint can serve in time or the request would be refused, and for the
// share of the other requests that package offloader lets leave a place that is crowded or
// slow.
func (tier Tier) Needed(choice Choice) bool {
	switch {
	case tier.lastResort:
		return !choice.found
	case !choice.found:
		return true
	case tier.additional:
		return !choice.fastEnough || !choice.normalSpeed
	case choice.expectedRun > choice.timeBudget || choice.expectedRun > choice.remaining:
		return true
	case choice.fastEnough && !choice.forecast.crowded:
		return false
	}
	return choice.mayLeave[tier.distance] || choice.byCost && Judge(choice, choice.waited) == Refuse
}

// Distances of an endpoint from the host: the same data centre, the same region,
// or another region. Tiers puts endpoints that are ejected or were tried already
// into the group distanceCount.
const (
	distanceCentre = iota
	distanceRegion
	distanceFar
	distanceCount
)

func (placer *Placer) distance(endpoint definer.Endpoint) int {
	switch {
	case endpoint.Place() == placer.place:
		return distanceCentre
	case endpoint.Place().Region() == placer.place.Region():
		return distanceRegion
	}
	return distanceFar
}

// sortByFailures orders endpoints by failure score, rounded down, and at random among
// those with the same score; mu is held.
func (placer *Placer) sortByFailures(now time.Time, endpoints []definer.Endpoint) {
	placer.random.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	slices.SortStableFunc(endpoints, func(a, b definer.Endpoint) int {
		return int(placer.failureScore(now, a.Name())) - int(placer.failureScore(now, b.Name()))
	})
}
