package offloader

import (
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// The first guesses of the extra round trip to other data centres and regions, for places
// to which none has been measured.
const (
	firstNearRoundTrip = 2 * time.Millisecond
	firstFarRoundTrip  = 24 * time.Millisecond
)

// Round trips are smoothed minima: delays in the host and the endpoint only add to them.
const (
	// windowTime is the time whose shortest round trip counts as one measurement, and
	// windowSamples how many round trips it must contain at least, since a single one may
	// include a wait for a processor.
	windowTime    = 5 * time.Second
	windowSamples = 4
	// windowWeight is the weight of the newest window if its shortest round trip is longer
	// than the estimate. A shorter one counts at once.
	windowWeight = 0.5
)

// roundTrip is the estimated round trip to a data centre. The zero value has none.
type roundTrip struct {
	// estimate is 0 before the first window is complete.
	estimate time.Duration
	// shortest is that of the current window, which began at beganAt and has count
	// samples.
	shortest time.Duration
	beganAt  time.Time
	count    int
}

// add adds a measured round trip, and reports whether the estimate changed.
func (roundTrip *roundTrip) add(now time.Time, measured time.Duration) bool {
	if roundTrip.count == 0 {
		roundTrip.beganAt, roundTrip.shortest = now, measured
	}
	roundTrip.count++
	roundTrip.shortest = min(roundTrip.shortest, measured)
	former := roundTrip.estimate
	if former > 0 && measured < former {
		roundTrip.estimate = measured
	}
	complete := roundTrip.count >= windowSamples && (former == 0 || now.Sub(roundTrip.beganAt) >= windowTime)
	if !complete {
		return roundTrip.estimate != former
	}
	switch {
	case former == 0:
		roundTrip.estimate = roundTrip.shortest
	case roundTrip.shortest > roundTrip.estimate:
		roundTrip.estimate += time.Duration(windowWeight * float64(roundTrip.shortest-roundTrip.estimate))
	}
	roundTrip.count = 0
	return roundTrip.estimate != former
}

// RecordRoundTrip records a measured round trip to an endpoint at place: the time to
// connect, or that of a health check on an open connection.
func (offloader *Offloader) RecordRoundTrip(now time.Time, place definer.Place, measured time.Duration) {
	offloader.mu.Lock()
	defer offloader.mu.Unlock()
	found, ok := offloader.roundTrips[place]
	if !ok {
		found = &roundTrip{}
		offloader.roundTrips[place] = found
	}
	first := found.estimate == 0
	if !found.add(now, measured) {
		return
	}
	offloader.meters.roundTrip(place, found.estimate)
	if first {
		offloader.journal.Change("measured the round trip to a data centre", "place", place.String(), "round-trip", found.estimate)
	}
}

// extraRoundTrip returns the round trip to place beyond that within the own data centre;
// mu is held.
func (offloader *Offloader) extraRoundTrip(distance Distance, place definer.Place) time.Duration {
	if measured, ok := offloader.roundTrips[place]; ok && measured.estimate > 0 {
		extra := measured.estimate
		if own, ok := offloader.roundTrips[offloader.place]; ok {
			extra -= own.estimate
		}
		return max(extra, 0)
	}
	if distance == Far {
		return firstFarRoundTrip
	}
	return firstNearRoundTrip
}

// networkCost returns the cost of bytes to place and back as a delay; mu is held. The
// zero place is one of which nothing is known but the distance.
func (offloader *Offloader) networkCost(distance Distance, place definer.Place, bytes float64) time.Duration {
	if distance == Own {
		return 0
	}
	return offloader.extraRoundTrip(distance, place) + time.Duration(bytes*offloader.bytePrices[distance])
}

// NetworkCost returns the cost of the network path to place, as a delay, for a request
// that is, with its answer, of so many bytes.
func (offloader *Offloader) NetworkCost(place definer.Place, bytes float64) time.Duration {
	offloader.mu.Lock()
	defer offloader.mu.Unlock()
	return offloader.networkCost(offloader.Distance(place), place, bytes)
}
