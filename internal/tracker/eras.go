package tracker

import (
	"maps"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Times for which a view keeps what it knows from an earlier era of the store, counted
// from the first view of the new era.
const (
	// eraGrace is the time for which evacuations and entry hosts that the older copy
	// lacks are kept, and endpoints that it brings back are not used. An entry host has
	// its registration back after 9 s: it looks every 2.5 s, spreads its write over 5 s
	// and retries after 1.2 s; another host knows of it within an apply bound of 3 s.
	// No interval is known for operators, who get the same time.
	eraGrace = 12 * time.Second
	// eraEndpointGrace is the time for which endpoints that the older copy lacks are
	// kept. Endpoints write their entries about every 1.5 s, of which one write may
	// fail, and another host knows of it within an apply bound of 3 s. A longer time
	// would cost more attempts at endpoints that have ended.
	eraEndpointGrace = 6 * time.Second
	// departureMemory is the time for which endpoints that left are remembered. It is
	// longer than the age of the copies, which are some seconds old, and an outage of
	// the store before one is used.
	departureMemory = time.Minute
)

// departure is an endpoint that left.
type departure struct {
	// startedAt is the start time of the endpoint's process; 0 for unknown.
	startedAt int64
	at        time.Time
}

// eras decides what a builder's views keep from an earlier era of the store, whose older
// copy has lost some entries and brings others back. The zero value knows no era.
type eras struct {
	// point is the point of the last view.
	point definer.Point
	// first is the revision of the first view of the era: entries after it were written
	// in this era, others may be from the older copy.
	first uint64
	// began is the time of the first view of the era.
	began time.Time
	// open is true until the first view after eraGrace; false in the first era.
	open bool
	// departed holds the endpoints that left within departureMemory, by name.
	departed map[string]departure
	// heldBack holds the names of endpoints that the older copy brings back and that
	// are not used until their entries are written again.
	heldBack map[string]bool
}

// enter notes that a view of point is made at now. It reports whether the view is the
// first of a later era than that of the views before.
func (eras *eras) enter(now time.Time, point definer.Point) bool {
	before := eras.point
	eras.point = point
	if before.Revision() == 0 || point.Era() == before.Era() {
		if eras.open && now.Sub(eras.began) >= eraGrace {
			eras.open = false
			clear(eras.heldBack)
		}
		if !eras.open {
			maps.DeleteFunc(eras.departed, func(_ string, departure departure) bool { return now.Sub(departure.at) > departureMemory })
		}
		return false
	}
	eras.first, eras.began, eras.open = point.Revision(), now, true
	eras.heldBack = make(map[string]bool)
	return true
}

// keeps reports whether an entry that is missing now is kept, since it was last read in
// an earlier era and may be written again.
func (eras *eras) keeps(readIn uint64) bool { return eras.open && readIn < eras.point.Era() }

// depart remembers that the endpoint called name left, whose process started at startedAt.
func (eras *eras) depart(now time.Time, name string, startedAt int64) {
	if eras.departed == nil {
		eras.departed = make(map[string]departure)
	}
	eras.departed[name] = departure{startedAt: startedAt, at: now}
}

// isOutdated reports whether item, which decodes to endpoint, comes from the older copy
// of the store while known is newer: known is of a later process, or it drains and the
// endpoint does not, or the endpoint has left. An entry that was written in this era is
// never outdated.
func (eras *eras) isOutdated(item Item, endpoint definer.Endpoint, known decoded[definer.Endpoint]) bool {
	if !eras.open || item.revision > eras.first {
		return false
	}
	if departure, ok := eras.departed[endpoint.Name()]; ok && endpoint.StartedAt() <= departure.startedAt {
		return true
	}
	if !known.usable || known.point.Era() >= eras.point.Era() {
		return false
	}
	drains := known.value.Drained() && !endpoint.Drained()
	return endpoint.StartedAt() < known.value.StartedAt() || drains && endpoint.StartedAt() == known.value.StartedAt()
}
