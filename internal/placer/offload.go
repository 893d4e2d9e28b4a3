package placer

import (
	"math"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/offloader"
)

// networkCost returns the cost of the network path to an endpoint, in nanoseconds.
func (placer *Placer) networkCost(endpoint definer.Endpoint, class *class, request Request) float64 {
	return float64(placer.offloader.NetworkCost(endpoint.Place(), class.answerBytes+float64(request.bytes)))
}

// offloaded returns the properties of a request to pool for the offloader.
func offloaded(pool string, class *class, request Request) offloader.Request {
	return offloader.NewRequest(pool, class.answerBytes+float64(request.bytes), time.Duration(class.normalRun))
}

// mayLeave returns, by distance, whether a request may use endpoints there although it
// can be answered in time at a nearer one. One that may go to another region may also go
// to another data centre, which is probed first. mu is held.
func (placer *Placer) mayLeave(now time.Time, pool string, class *class, request Request) [distanceCount]bool {
	if !placer.offloader.ByCost() {
		return [distanceCount]bool{distanceCentre: true, distanceRegion: true}
	}
	properties := offloaded(pool, class, request)
	far := placer.offloader.MayLeave(now, properties, offloader.Far, request.draw)
	near := far || placer.offloader.MayLeave(now, properties, offloader.Near, request.draw)
	return [distanceCount]bool{distanceCentre: true, distanceRegion: near, distanceFar: far}
}

// preferServed returns the cheapest candidate outside the data centre that can serve the
// request if the best choice would have it refused: the price of its bytes is worth less
// than an answer. mu is held.
func (placer *Placer) preferServed(now time.Time, best Choice, candidates []Candidate, class *class, request Request) Choice {
	if !placer.offloader.ByCost() || !best.found || Judge(best, request.waited) != Refuse {
		return best
	}
	served, least := best, math.Inf(1)
	for _, candidate := range candidates {
		if placer.distance(candidate.endpoint) == distanceCentre {
			continue
		}
		choice := best
		choice.endpoint, choice.forecast = candidate.endpoint, placer.forecast(candidate, class)
		choice.expectedRun = time.Duration(choice.forecast.run)
		cost := (choice.forecast.run + placer.networkCost(candidate.endpoint, class, request)) * placer.penalty(now, candidate, request)
		if cost < least && Judge(choice, request.waited) == Serve {
			served, least = choice, cost
		}
	}
	return served
}

// RecordRound records a round of probes for a request: its tiers, of which the first
// probed were probed, and the endpoints that answered and may get the request.
func (placer *Placer) RecordRound(now time.Time, tiers []Tier, probed int, candidates []Candidate, request Request) {
	if !placer.offloader.ByCost() {
		return
	}
	placer.mu.Lock()
	defer placer.mu.Unlock()
	class, ok := placer.classes[request.class]
	if !ok || probed == 0 {
		return
	}
	var bests [distanceCount]offloader.Sample
	for _, candidate := range candidates {
		distance, forecast := placer.distance(candidate.endpoint), placer.forecast(candidate, class)
		if best := bests[distance].Run(); best == 0 || time.Duration(forecast.run) < best {
			bests[distance] = offloader.NewSample(candidate.endpoint.Place(), time.Duration(forecast.run), forecast.crowded)
		}
	}
	var samples []offloader.Sample
	for index, tier := range tiers {
		if tier.additional || tier.lastResort {
			continue
		}
		best := bests[tier.distance]
		switch {
		case index >= probed:
			best = offloader.NewUnknownSample(tier.endpoints[0].Place())
		case best.Run() == 0:
			best = offloader.NewSample(tier.endpoints[0].Place(), 0, true)
		}
		samples = append(samples, best)
	}
	placer.offloader.Observe(now, offloaded(tiers[0].endpoints[0].Pool(), class, request), samples)
}

// RecordSent counts a request that is sent to the chosen endpoint.
func (placer *Placer) RecordSent(choice Choice) {
	placer.offloader.RecordSent(choice.endpoint.Pool(), choice.endpoint.Place())
}
