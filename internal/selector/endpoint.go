package selector

import (
	"slices"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// endpoint is an endpoint with its taken slots, health and speed.
type endpoint struct {
	definer.Endpoint
	health
	speed
	// running holds the tickets in use, oldest first.
	running []*Ticket
	// long and isolated count the tickets of that kind in running.
	long     int
	isolated int
	// reported is the in-flight count of the last load report.
	reported int
}

// newEndpoint returns an endpoint without history. A cold one starts with a
// limit of 1.
func newEndpoint(definition definer.Endpoint, cold bool) *endpoint {
	endpoint := &endpoint{Endpoint: definition}
	endpoint.allowed = float64(definition.Slots())
	if cold {
		endpoint.allowed = 1
	}
	return endpoint
}

// redefine applies a changed definition. An endpoint that is no longer drained
// by operators starts cold.
func (endpoint *endpoint) redefine(definition definer.Endpoint) {
	wasWarm := endpoint.warm()
	if endpoint.Drained() && !definition.Drained() {
		wasWarm = false
		endpoint.allowed = 1
	}
	endpoint.Endpoint = definition
	if wasWarm {
		endpoint.allowed = float64(definition.Slots())
	}
}

// setDraining sets whether other hosts report that the endpoint is draining.
// One that no longer drains starts cold.
func (endpoint *endpoint) setDraining(draining bool) {
	if endpoint.reportedDraining && !draining {
		endpoint.allowed = 1
	}
	endpoint.reportedDraining = draining
}

// inService reports whether the endpoint accepts new work, now or after a
// pause.
func (endpoint *endpoint) inService(now time.Time) bool {
	return !endpoint.Drained() && !endpoint.draining(now) && !endpoint.ejected(now)
}

// usable reports whether the endpoint accepts new work now.
func (endpoint *endpoint) usable(now time.Time) bool {
	return endpoint.inService(now) && !endpoint.paused(now)
}

// readmit ends an ejection early. The endpoint is recorded as slow, so that it
// is chosen last.
func (endpoint *endpoint) readmit(now time.Time, halfLife time.Duration) {
	endpoint.ejectedUntil = time.Time{}
	endpoint.observe(now, failedRatio, halfLife)
}

// limit returns how many requests may run now; it is at least 1.
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

// record applies the result of one request, whose run time was ratio times the
// expected one.
func (endpoint *endpoint) record(now time.Time, result Result, ratio float64, halfLife time.Duration) {
	if result.reported {
		endpoint.reported = result.inFlight
	}
	switch result.outcome {
	case Answered:
		endpoint.observe(now, ratio, halfLife)
		endpoint.recordSuccess(endpoint.Slots())
	case Cancelled:
		if ratio > 1 {
			endpoint.observe(now, ratio, halfLife)
		}
	case Failed, Unreachable, Crashed:
		endpoint.observe(now, max(ratio, failedRatio), halfLife)
		endpoint.recordFailure(now, result.outcome)
	case Shed:
		endpoint.recordShed(now, len(endpoint.running))
	case Draining:
		endpoint.recordDrain(now)
	}
}

// slowness returns the estimated run time of a request here as a multiple of
// the expected one.
func (endpoint *endpoint) slowness(now time.Time, estimator *Estimator) float64 {
	overdue := 0.0
	for _, ticket := range endpoint.running {
		overdue += max(0, estimator.ratio(ticket.need, now.Sub(ticket.start))-1)
	}
	return endpoint.estimate(now, overdue, estimator.halfLife())
}
