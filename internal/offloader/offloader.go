// Package offloader decides when requests leave a host's own data centre, for package
// placer: whether an endpoint elsewhere is worth its round trip and the price of its
// bytes, and which share of the requests that find the own data centre crowded or slow
// may use it.
//
// The package does no I/O, starts no goroutines and reads no clock. It is designed for
// data centres with some 20 hosts that decide independently and see the same free slots,
// and for hosts that send a service as little as one request per second.
package offloader

import (
	"math"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Distance is the distance of an endpoint from the host.
type Distance int

// The distances.
const (
	// Own is the host's data centre.
	Own Distance = iota
	// Near is another data centre of the host's region.
	Near
	// Far is another region.
	Far
	distances
)

// String returns the name of the distance in metrics and logs.
func (distance Distance) String() string {
	return [...]string{Own: "own", Near: "data-centre", Far: "region", distances: "none"}[distance]
}

// The default prices of a byte, as the delay that it is worth: 100 kB between data
// centres weigh as much as 80 ms, between regions as 150 ms.
const (
	DefaultNearBytePrice = 800 * time.Nanosecond
	DefaultFarBytePrice  = 1500 * time.Nanosecond
)

// Limits of what reports tell.
const (
	// smoothing is the time constant of observed costs. It is above the time between the
	// steps of noise (150 ms) and about as long as a request and its report.
	smoothing = time.Second
	// maxWeight bounds the weight of one observation, so that a host with one request per
	// second does not decide by a single one.
	maxWeight = 0.2
	// staleTime is the time after which observations no longer count.
	staleTime = 3 * time.Second
	// forgetTime is the time without requests after which a service is dropped.
	forgetTime = 10 * time.Minute
	// crowdedFactor is the cost of a run at a crowded endpoint, where a request delays the
	// others by as much as it runs.
	crowdedFactor = 2
	// maxCost bounds an observed cost, and is that of a place where no endpoint answers.
	maxCost = 4
)

// Journal logs changes of what leaves the data centre.
type Journal interface {
	Change(message string, details ...any)
}

// discardJournal is the default journal.
type discardJournal struct{}

// Change does nothing.
func (discardJournal) Change(string, ...any) {}

// Offloader decides for one host. Make one with New. It is safe for concurrent use.
type Offloader struct {
	place definer.Place
	// bytePrices holds the price of a byte in nanoseconds by distance; set before the
	// first use.
	bytePrices [distances]float64
	// byCost is true if shares of the requests leave where that costs less. Otherwise
	// requests leave only for what they need themselves; set before the first use.
	byCost  bool
	journal Journal
	meters  meters
	// mu guards the fields below.
	mu sync.Mutex
	// roundTrips holds the round trip to each data centre that was reached.
	roundTrips map[definer.Place]*roundTrip
	services   map[string]*service
}

// New returns an offloader of a host at place, with the default prices.
func New(place definer.Place) *Offloader {
	offloader := &Offloader{
		place: place, journal: discardJournal{},
		roundTrips: make(map[definer.Place]*roundTrip), services: make(map[string]*service),
	}
	offloader.SetBytePrices(DefaultNearBytePrice, DefaultFarBytePrice)
	return offloader
}

// SetByCost sets whether shares of the requests leave the data centre where that costs
// less. Call it before the first use.
func (offloader *Offloader) SetByCost(byCost bool) { offloader.byCost = byCost }

// ByCost reports whether shares of the requests leave where that costs less.
func (offloader *Offloader) ByCost() bool { return offloader.byCost }

// SetBytePrices sets the delays that a byte between data centres of a region and between
// regions is worth. Call it before the first use.
func (offloader *Offloader) SetBytePrices(near, far time.Duration) {
	offloader.bytePrices[Near], offloader.bytePrices[Far] = float64(near), float64(far)
}

// SetJournal sets the log of changes. Call it before the first use.
func (offloader *Offloader) SetJournal(journal Journal) { offloader.journal = journal }

// Distance returns the distance of place.
func (offloader *Offloader) Distance(place definer.Place) Distance {
	switch {
	case place == offloader.place:
		return Own
	case place.Region() == offloader.place.Region():
		return Near
	}
	return Far
}

// Request holds the properties of a request that the decision depends on.
type Request struct {
	service string
	// bytes is the size of the request and its answer.
	bytes float64
	// normalRun is the run time at normal speed, above 0.
	normalRun time.Duration
}

// NewRequest returns a request to service that normally runs for normalRun and is, with
// its answer, of so many bytes.
func NewRequest(service string, bytes float64, normalRun time.Duration) Request {
	return Request{service: service, bytes: max(bytes, 0), normalRun: max(normalRun, time.Millisecond)}
}

// sizeClass returns the class of the request's size: up to 1 kB, 4 kB, 16 kB and so on.
func (request Request) sizeClass() int {
	return int(math.Ceil(math.Log2(max(request.bytes/1024, 1)) / 2))
}

// Sample is what the probes of a place told for one request.
type Sample struct {
	place definer.Place
	// run is the expected run time at the best endpoint; 0 if none answered.
	run time.Duration
	// crowded is true if the request would delay others there.
	crowded bool
	// unknown is true if the place has endpoints but was not probed.
	unknown bool
}

// NewSample returns what the probes of place told; run is 0 if no endpoint answered.
func NewSample(place definer.Place, run time.Duration, crowded bool) Sample {
	return Sample{place: place, run: run, crowded: crowded}
}

// NewUnknownSample returns the sample of a place with endpoints that were not probed.
func NewUnknownSample(place definer.Place) Sample { return Sample{place: place, unknown: true} }

// Run returns the expected run time at the best endpoint, or 0 if none answered.
func (sample Sample) Run() time.Duration { return sample.run }

// cost returns the cost of running the request there as a multiple of normalRun.
func (sample Sample) cost(normalRun time.Duration) float64 {
	if sample.run <= 0 {
		return maxCost
	}
	cost := float64(sample.run) / float64(normalRun)
	if sample.crowded {
		cost *= crowdedFactor
	}
	return min(cost, maxCost)
}

// service is the state of one service.
type service struct {
	observed [distances]observation
	shares   map[shareKey]*share
	// logged is the share last logged by distance.
	logged [distances]float64
}

// shareKey identifies a share of a service.
type shareKey struct {
	distance Distance
	size     int
}

// observation is the smoothed cost of running a request at a distance, as a multiple of
// its run time at normal speed. The zero value is stale.
type observation struct {
	cost float64
	at   time.Time
	// place is that of the latest sample.
	place definer.Place
}

// isFresh reports whether the observation still counts.
func (observation *observation) isFresh(now time.Time) bool {
	return !observation.at.IsZero() && now.Sub(observation.at) <= staleTime
}

// add adds the cost of a sample. A stale observation starts again from the normal speed.
func (observation *observation) add(now time.Time, sample Sample, cost float64) {
	weight := maxWeight
	if observation.isFresh(now) {
		weight = min(1-math.Exp(-float64(now.Sub(observation.at))/float64(smoothing)), maxWeight)
	} else {
		observation.cost = 1
	}
	observation.cost += weight * (cost - observation.cost)
	observation.at, observation.place = now, sample.place
}

// Observe records what the probes for request told, one sample for each distance with
// endpoints, the nearest first, and moves the shares of its service and size.
func (offloader *Offloader) Observe(now time.Time, request Request, samples []Sample) {
	offloader.mu.Lock()
	defer offloader.mu.Unlock()
	service := offloader.service(request.service)
	least := float64(maxCost)
	for _, sample := range samples {
		if sample.unknown {
			continue
		}
		// The request goes to the best of the places probed.
		least = min(least, sample.cost(request.normalRun))
		service.observed[offloader.Distance(sample.place)].add(now, sample, least)
	}
	for _, sample := range samples {
		distance := offloader.Distance(sample.place)
		if distance == Own {
			continue
		}
		gain, known := offloader.gain(now, service, request, distance)
		if !known {
			continue
		}
		key := shareKey{distance: distance, size: request.sizeClass()}
		found, ok := service.shares[key]
		if !ok {
			found = &share{}
			service.shares[key] = found
		}
		found.step(now, gain)
		offloader.report(now, request.service, service, distance)
	}
}

// gain returns how much cheaper the request is at distance than at the nearer ones, as a
// share of its normal run time, and whether any nearer one is known. A place that was not
// observed lately is taken to run at normal speed, so that a few requests try it again.
func (offloader *Offloader) gain(now time.Time, service *service, request Request, distance Distance) (gain float64, known bool) {
	nearer, away := math.Inf(1), 0.0
	for each := Own; each <= distance; each++ {
		observed := &service.observed[each]
		cost := 1.0
		if observed.isFresh(now) {
			cost = observed.cost
		} else if each < distance {
			continue
		}
		cost += float64(offloader.networkCost(each, observed.place, request.bytes)) / float64(request.normalRun)
		if each < distance {
			nearer = min(nearer, cost)
		} else {
			away = cost
		}
	}
	return nearer - away, !math.IsInf(nearer, 1)
}

// MayLeave reports whether the request may use endpoints at distance although it could be
// answered in time at a nearer one. The draw, a random number from 0 to 1 that belongs to
// the request, decides whether it is one of the share.
func (offloader *Offloader) MayLeave(now time.Time, request Request, distance Distance, draw float64) bool {
	if distance == Own {
		return true
	}
	offloader.mu.Lock()
	defer offloader.mu.Unlock()
	found, ok := offloader.service(request.service).shares[shareKey{distance: distance, size: request.sizeClass()}]
	return ok && draw < found.at(now)
}

// RecordSent counts a request that was sent to an endpoint of service at place.
func (offloader *Offloader) RecordSent(service string, place definer.Place) {
	offloader.meters.sent(service, offloader.Distance(place))
}

// service returns the state of a service, and adds it if it is new; mu is held.
func (offloader *Offloader) service(name string) *service {
	found, ok := offloader.services[name]
	if !ok {
		found = &service{shares: make(map[shareKey]*share)}
		offloader.services[name] = found
	}
	return found
}

// Sweep updates the metrics of shares that no request has moved lately, and drops services
// without requests.
func (offloader *Offloader) Sweep(now time.Time) {
	offloader.mu.Lock()
	defer offloader.mu.Unlock()
	for name, service := range offloader.services {
		used := false
		for distance := range distances {
			used = used || now.Sub(service.observed[distance].at) < forgetTime
		}
		if !used {
			delete(offloader.services, name)
			offloader.meters.forget(name)
			continue
		}
		offloader.report(now, name, service, Near)
		offloader.report(now, name, service, Far)
	}
}
