package selector

import (
	"slices"

	"github.com/chivespool/chivespool/internal/definer"
)

// Need is the set of requirements of a request on its endpoint.
type Need struct {
	lane     definer.Lane
	class    string
	isolated bool
	avoid    []string
	// place, if set, restricts the choice to the nearest endpoints that are
	// free.
	place definer.Place
	// waiting is how many requests wait in the lane, this one included.
	waiting int
	// mayWait is true while another home may still lend a better slot.
	mayWait bool
	// spare is true if the need may take only a slot that the home's own requests
	// don't need.
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

// Queued returns a copy with the number of requests that wait in its lane. If
// mayWait is set, the request waits rather than take an endpoint to avoid.
func (need Need) Queued(waiting int, mayWait bool) Need {
	need.waiting = waiting
	need.mayWait = mayWait
	return need
}

// Spare returns a copy that takes only a slot that the home's own requests don't
// need, on an endpoint that is neither slow nor to be avoided.
func (need Need) Spare() Need {
	need.spare = true
	return need
}

// avoids reports whether endpoint is to be used only if there is no other.
func (need Need) avoids(endpoint *endpoint) bool {
	return slices.Contains(need.avoid, endpoint.Name())
}
