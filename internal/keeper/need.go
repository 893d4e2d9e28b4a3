package keeper

import (
	"slices"

	"github.com/chivespool/chivespool/internal/definer"
)

// Need is what a request needs of the endpoint that it runs on.
type Need struct {
	lane     definer.Lane
	class    string
	isolated bool
	avoid    []string
	// place, where set, keeps the choice to endpoints near it while any is free.
	place definer.Place
	// waiting is how many requests wait in the lane, this one among them.
	waiting int
	// patient is true while a better slot may come from elsewhere.
	patient bool
	// spare is true where only a slot that nobody here misses will do.
	spare bool
}

// NewNeed returns the need of a request of class in lane.
func NewNeed(lane definer.Lane, class string, isolated bool, avoid []string) Need {
	return Need{lane: lane, class: class, isolated: isolated, avoid: avoid}
}

// Near returns a copy that prefers endpoints near place.
func (need Need) Near(place definer.Place) Need {
	need.place = place
	return need
}

// Queued returns a copy that knows that waiting requests wait in its lane. A
// patient need would rather wait than take an endpoint to avoid.
func (need Need) Queued(waiting int, patient bool) Need {
	need.waiting = waiting
	need.patient = patient
	return need
}

// Spare returns a copy that takes only a good slot that is not missed here.
func (need Need) Spare() Need {
	need.spare = true
	return need
}

func (need Need) avoids(endpoint *endpoint) bool {
	return slices.Contains(need.avoid, endpoint.Name())
}
