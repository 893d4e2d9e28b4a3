package selector

import (
	"math/rand/v2"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Policy selects how an endpoint is chosen.
type Policy string

// The policies. All but Slots are baselines for measurements; TwoChoices also
// serves when no home is reachable.
const (
	// Slots counts slots and prefers fast endpoints; it is also the policy of
	// the empty string.
	Slots Policy = "slots"
	// Random chooses any endpoint.
	Random Policy = "random"
	// TwoChoices chooses, of two random endpoints, the one that runs fewer
	// requests of this host.
	TwoChoices Policy = "two-choices"
	// StaleReport chooses, of two random endpoints, the one whose last load
	// report has fewer requests in flight.
	StaleReport Policy = "stale-report"
)

// slowRatio is the slowness above which an endpoint counts as slow.
const slowRatio = 2.0

// queueWeight is the factor by which the expected wait for a fast endpoint is
// multiplied before it is compared with the slowness of a free endpoint. A
// request that takes a slow endpoint also shortens the wait of those behind it,
// so the threshold that is best for all is below the one that is best for the
// request itself.
const queueWeight = 4

// choose returns the endpoint for need, or nil if the request should wait.
func (selector *Selector) choose(now time.Time, need Need) *endpoint {
	candidates := selector.candidates(now, need)
	if len(candidates) == 0 {
		return nil
	}
	random := rand.New(&selector.random)
	one := candidates[random.IntN(len(candidates))]
	two := candidates[random.IntN(len(candidates))]
	switch selector.policy {
	case Random:
		return one
	case TwoChoices:
		if len(two.running) < len(one.running) {
			return two
		}
		return one
	case StaleReport:
		if two.reported < one.reported {
			return two
		}
		return one
	default:
		return selector.fastest(now, need, candidates)
	}
}

// candidates returns the endpoints that could run need now, limited to those
// nearest to its place. Endpoints to avoid are excluded while there is any
// other.
func (selector *Selector) candidates(now time.Time, need Need) []*endpoint {
	var avoided []*endpoint
	preferred := make([]*endpoint, 0, len(selector.endpoints))
	others := false
	for _, endpoint := range selector.endpoints {
		if !endpoint.usable(now) {
			continue
		}
		avoid := need.avoids(endpoint)
		others = others || !avoid
		if !selector.uncounted && !endpoint.free() {
			continue
		}
		if need.isolated && endpoint.isolated > 0 {
			continue
		}
		if avoid {
			avoided = append(avoided, endpoint)
		} else {
			preferred = append(preferred, endpoint)
		}
	}
	if len(preferred) == 0 && !others && !need.mayWait && !need.spare {
		preferred = avoided
	}
	return nearest(preferred, need.place)
}

// nearest returns the endpoints at place, or else those in its region, or else
// all.
func nearest(endpoints []*endpoint, place definer.Place) []*endpoint {
	if place == (definer.Place{}) {
		return endpoints
	}
	var sameCentre, sameRegion []*endpoint
	for _, endpoint := range endpoints {
		if endpoint.Place() == place {
			sameCentre = append(sameCentre, endpoint)
		}
		if endpoint.Place().Region() == place.Region() {
			sameRegion = append(sameRegion, endpoint)
		}
	}
	switch {
	case len(sameCentre) > 0:
		return sameCentre
	case len(sameRegion) > 0:
		return sameRegion
	default:
		return endpoints
	}
}

// fastest returns the candidate with the shortest expected run time, or nil if
// the request should wait for another endpoint.
func (selector *Selector) fastest(now time.Time, need Need, candidates []*endpoint) *endpoint {
	var best *endpoint
	var bestScore, bestSlowness float64
	for _, endpoint := range candidates {
		slowness := endpoint.slowness(now, &selector.Estimator)
		score := slowness * float64(len(endpoint.running)+1) / float64(endpoint.Slots())
		slow, bestSlow := slowness > slowRatio, bestSlowness > slowRatio
		if best == nil || (bestSlow && !slow) || (slow == bestSlow && score < bestScore) {
			best, bestScore, bestSlowness = endpoint, score, slowness
		}
	}
	if bestSlowness > slowRatio && !selector.acceptSlow(now, need, bestSlowness) {
		return nil
	}
	return best
}

// acceptSlow reports whether need should take a slow endpoint that is free.
// Short work does so only if the wait for a fast one would be longer. This is the threshold rule
// for servers of unequal speed (Lin and Kumar, 1984).
func (selector *Selector) acceptSlow(now time.Time, need Need, slowness float64) bool {
	if need.spare {
		return false
	}
	if need.lane == definer.Long {
		return true
	}
	fast := 0
	for _, endpoint := range selector.endpoints {
		if endpoint.usable(now) && endpoint.slowness(now, &selector.Estimator) <= slowRatio {
			fast += endpoint.limit() - endpoint.long
		}
	}
	if fast == 0 {
		return !need.mayWait
	}
	return 1+queueWeight*float64(need.waiting)/float64(fast) >= slowness
}
