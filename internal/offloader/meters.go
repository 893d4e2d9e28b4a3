package offloader

import (
	"math"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chivespool/chivespool/internal/definer"
)

// logStep is the change of a share that is logged.
const logStep = 0.25

// meters holds the metrics. The zero value records nothing.
type meters struct {
	registry metrics.Registry
}

// SetRegistry registers the metrics in registry under names that begin with "offloader.",
// each when its value first changes. Call it before the first use.
func (offloader *Offloader) SetRegistry(registry metrics.Registry) {
	offloader.meters = meters{registry: registry}
}

// share updates the share of requests that may leave.
func (meters *meters) share(service string, distance Distance, value float64) {
	if meters.registry != nil {
		metrics.GetOrRegisterGaugeFloat64(shareName(service, distance), meters.registry).Update(value)
	}
}

func shareName(service string, distance Distance) string {
	return "offloader.share." + distance.String() + "." + service
}

func sentName(service string, distance Distance) string {
	return "offloader.sent." + distance.String() + "." + service
}

// sent counts a request sent to an endpoint of service. The share that left is the
// quotient of the counts by distance.
func (meters *meters) sent(service string, distance Distance) {
	if meters.registry != nil {
		metrics.GetOrRegisterCounter(sentName(service, distance), meters.registry).Inc(1)
	}
}

// roundTrip updates the measured round trip to a data centre, in nanoseconds.
func (meters *meters) roundTrip(place definer.Place, estimate time.Duration) {
	if meters.registry != nil {
		metrics.GetOrRegisterGauge("offloader.round-trip."+place.DataCentre(), meters.registry).Update(int64(estimate))
	}
}

// forget removes the metrics of a service.
func (meters *meters) forget(service string) {
	if meters.registry == nil {
		return
	}
	for distance := range distances {
		meters.registry.Unregister(shareName(service, distance))
		meters.registry.Unregister(sentName(service, distance))
	}
}

// report updates the metric of the largest share of a service at distance, and logs it
// when it reaches 0 or has changed by logStep; mu is held.
func (offloader *Offloader) report(now time.Time, name string, service *service, distance Distance) {
	largest := 0.0
	for key, share := range service.shares {
		if key.distance == distance {
			largest = max(largest, share.at(now))
		}
	}
	offloader.meters.share(name, distance, largest)
	logged := &service.logged[distance]
	if returned := largest == 0 && *logged > 0; !returned && math.Abs(largest-*logged) < logStep {
		return
	}
	*logged = largest
	offloader.journal.Change("share of requests that may leave the data centre changed", "service", name, "to", distance.String(),
		"share", largest, "cost-own", service.observed[Own].cost, "cost-there", service.observed[distance].cost)
}
