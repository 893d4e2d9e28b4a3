package keeper

import (
	"math/rand/v2"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Policy is a way to choose an endpoint.
type Policy string

// The policies. All but Slots are baselines to measure against; TwoChoices
// also serves where no home is in reach.
const (
	// Slots counts slots and prefers fast endpoints; the empty policy is Slots.
	Slots Policy = "slots"
	// Random takes any endpoint.
	Random Policy = "random"
	// TwoChoices takes the one of two that runs fewer of our own requests.
	TwoChoices Policy = "two-choices"
	// StaleReport takes the one of two that last reported fewer requests.
	StaleReport Policy = "stale-report"
)

// slowRatio is the slowness from which an endpoint counts as slow.
const slowRatio = 2.0

// queueWeight is how much more than its own share of the wait a request counts
// before it takes a slow endpoint: one that does so also spares those behind
// it, so the best threshold for all is below the one for itself.
const queueWeight = 4

// choose returns the endpoint for need, or nil where need should wait.
func (keeper *Keeper) choose(now time.Time, need Need) *endpoint {
	candidates := keeper.candidates(now, need)
	if len(candidates) == 0 {
		return nil
	}
	random := rand.New(&keeper.random)
	one := candidates[random.IntN(len(candidates))]
	two := candidates[random.IntN(len(candidates))]
	switch keeper.policy {
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
		return keeper.fastest(now, need, candidates)
	}
}

// candidates returns the endpoints that could run need now, those nearest to
// need's place. An endpoint to avoid is left out while there is another.
func (keeper *Keeper) candidates(now time.Time, need Need) []*endpoint {
	var avoided []*endpoint
	wanted := make([]*endpoint, 0, len(keeper.endpoints))
	others := false
	for _, endpoint := range keeper.endpoints {
		if !endpoint.usable(now) {
			continue
		}
		avoid := need.avoids(endpoint)
		others = others || !avoid
		if !keeper.blind && !endpoint.free() {
			continue
		}
		if need.isolated && endpoint.isolated > 0 {
			continue
		}
		if avoid {
			avoided = append(avoided, endpoint)
		} else {
			wanted = append(wanted, endpoint)
		}
	}
	if len(wanted) == 0 && !others && !need.patient && !need.spare {
		wanted = avoided
	}
	return nearest(wanted, need.place)
}

// nearest returns the endpoints at place, or else those in its region, or all.
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

// fastest returns the candidate that should answer first, or nil where need
// does better to wait for another.
func (keeper *Keeper) fastest(now time.Time, need Need, candidates []*endpoint) *endpoint {
	var best *endpoint
	var bestScore, bestSlowness float64
	for _, endpoint := range candidates {
		slowness := endpoint.slowness(now, &keeper.Learner)
		score := slowness * float64(len(endpoint.running)+1) / float64(endpoint.Slots())
		slow, bestSlow := slowness > slowRatio, bestSlowness > slowRatio
		if best == nil || (bestSlow && !slow) || (slow == bestSlow && score < bestScore) {
			best, bestScore, bestSlowness = endpoint, score, slowness
		}
	}
	if bestSlowness > slowRatio && !keeper.acceptSlow(now, need, bestSlowness) {
		return nil
	}
	return best
}

// acceptSlow decides whether need takes a slow endpoint that is free: only
// where the queue for the others would take longer. This is the threshold rule
// for servers of unequal speed (Lin and Kumar, 1984).
func (keeper *Keeper) acceptSlow(now time.Time, need Need, slowness float64) bool {
	if need.spare {
		return false
	}
	if need.lane == definer.Long {
		return true
	}
	fast := 0
	for _, endpoint := range keeper.endpoints {
		if endpoint.usable(now) && endpoint.slowness(now, &keeper.Learner) <= slowRatio {
			fast += endpoint.limit() - endpoint.long
		}
	}
	if fast == 0 {
		return !need.patient
	}
	return 1+queueWeight*float64(need.waiting)/float64(fast) >= slowness
}
