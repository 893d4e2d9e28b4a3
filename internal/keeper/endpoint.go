package keeper

import (
	"slices"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// endpoint is an endpoint with the slots taken and what is known of it.
type endpoint struct {
	definer.Endpoint
	health
	speed
	// running holds the tickets out, oldest first.
	running []*Ticket
	// long and isolated count the tickets in running of that sort.
	long     int
	isolated int
	// reported is the in-flight count of the last load report.
	reported int
}

// newEndpoint returns an endpoint that nothing is known of.
func newEndpoint(definition definer.Endpoint, cold bool) *endpoint {
	endpoint := &endpoint{Endpoint: definition}
	endpoint.allowed = float64(definition.Slots())
	if cold {
		endpoint.allowed = 1
	}
	return endpoint
}

// redefine takes in what operators changed.
func (endpoint *endpoint) redefine(definition definer.Endpoint) {
	full := endpoint.warm()
	if endpoint.Drained() && !definition.Drained() {
		full = false
		endpoint.allowed = 1
	}
	endpoint.Endpoint = definition
	if full {
		endpoint.allowed = float64(definition.Slots())
	}
}

// told takes in whether others say that the endpoint is draining.
func (endpoint *endpoint) told(draining bool) {
	if endpoint.held && !draining {
		endpoint.allowed = 1
	}
	endpoint.held = draining
}

// serves reports whether the endpoint takes new work, now or after a pause.
func (endpoint *endpoint) serves(now time.Time) bool {
	return !endpoint.Drained() && !endpoint.draining(now) && !endpoint.ejected(now)
}

// usable reports whether the endpoint takes new work now.
func (endpoint *endpoint) usable(now time.Time) bool {
	return endpoint.serves(now) && !endpoint.paused(now)
}

// readmit ends an ejection before its time. The endpoint counts as slow, so
// that it comes last.
func (endpoint *endpoint) readmit(now time.Time, halfLife time.Duration) {
	endpoint.ejectedUntil = time.Time{}
	endpoint.observe(now, failedRatio, halfLife)
}

// limit returns how many requests may run now, at least 1.
func (endpoint *endpoint) limit() int { return max(1, min(endpoint.Slots(), int(endpoint.allowed))) }

// warm reports whether all slots may be used.
func (endpoint *endpoint) warm() bool { return endpoint.limit() == endpoint.Slots() }

// free reports whether a slot is free.
func (endpoint *endpoint) free() bool { return len(endpoint.running) < endpoint.limit() }

func (endpoint *endpoint) add(ticket *Ticket) {
	endpoint.running = append(endpoint.running, ticket)
	endpoint.count(ticket, 1)
}

func (endpoint *endpoint) remove(ticket *Ticket) {
	index := slices.Index(endpoint.running, ticket)
	if index < 0 {
		return
	}
	endpoint.running = slices.Delete(endpoint.running, index, index+1)
	endpoint.count(ticket, -1)
}

func (endpoint *endpoint) count(ticket *Ticket, change int) {
	if ticket.need.lane == definer.Long {
		endpoint.long += change
	}
	if ticket.need.isolated {
		endpoint.isolated += change
	}
}

// learn takes in the result of one request, whose run time was ratio times the
// expected.
func (endpoint *endpoint) learn(now time.Time, result Result, ratio float64, halfLife time.Duration) {
	if result.reported {
		endpoint.reported = result.inFlight
	}
	switch result.outcome {
	case Answered:
		endpoint.observe(now, ratio, halfLife)
		endpoint.succeed(endpoint.Slots())
	case Cancelled:
		if ratio > 1 {
			endpoint.observe(now, ratio, halfLife)
		}
	case Failed, Unreachable, Crashed:
		endpoint.observe(now, max(ratio, failedRatio), halfLife)
		endpoint.fail(now, result.outcome)
	case Shed:
		endpoint.shed(now, len(endpoint.running))
	case Draining:
		endpoint.drain(now)
	}
}

// slowness returns how many times its expected time a request takes here.
func (endpoint *endpoint) slowness(now time.Time, learner *Learner) float64 {
	overdue := 0.0
	for _, ticket := range endpoint.running {
		overdue += max(0, learner.ratio(ticket.need, now.Sub(ticket.start))-1)
	}
	return endpoint.estimate(now, overdue, learner.halfLife())
}
