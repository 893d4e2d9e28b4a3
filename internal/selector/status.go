package selector

import (
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// EndpointStatus is a snapshot of an endpoint for operators.
type EndpointStatus struct {
	endpoint definer.Endpoint
	inFlight int
	limit    int
	slowness float64
	state    string
}

// Endpoint returns the definition of the endpoint.
func (endpointStatus EndpointStatus) Endpoint() definer.Endpoint { return endpointStatus.endpoint }

// InFlight returns how many slots are taken.
func (endpointStatus EndpointStatus) InFlight() int { return endpointStatus.inFlight }

// Limit returns how many slots may be taken now.
func (endpointStatus EndpointStatus) Limit() int { return endpointStatus.limit }

// Slowness returns the run time of a request as a multiple of the expected one.
func (endpointStatus EndpointStatus) Slowness() float64 { return endpointStatus.slowness }

// State returns the reason why the endpoint gets little or no work, or ready.
// The reasons are drained (by operators), draining, ejected, paused, slow and
// cold.
func (endpointStatus EndpointStatus) State() string { return endpointStatus.state }

// Status returns a snapshot of the endpoints in order of name.
func (selector *Selector) Status(now time.Time) []EndpointStatus {
	statuses := make([]EndpointStatus, 0, len(selector.endpoints))
	for _, endpoint := range selector.endpoints {
		slowness := endpoint.slowness(now, &selector.Estimator)
		statuses = append(statuses, EndpointStatus{
			endpoint: endpoint.Endpoint, inFlight: len(endpoint.running), limit: endpoint.limit(),
			slowness: slowness, state: endpoint.state(now, slowness),
		})
	}
	return statuses
}

func (endpoint *endpoint) state(now time.Time, slowness float64) string {
	switch {
	case endpoint.Drained():
		return "drained"
	case endpoint.draining(now):
		return "draining"
	case endpoint.ejected(now):
		return "ejected"
	case endpoint.paused(now):
		return "paused"
	case slowness > slowRatio:
		return "slow"
	case !endpoint.warm():
		return "cold"
	default:
		return "ready"
	}
}
