// Package placer decides which endpoint runs a request, for package assigner.
// Load changes faster than periodic reports can show, so endpoints are probed
// when a request arrives.
//
// Tiers returns the endpoints to probe, nearest first, Choose picks the one with
// the least cost, and Judge decides whether it serves the request.
//
// The package does no I/O, starts no goroutines and reads no clock. It assumes
// endpoints whose speed changes several times during one request: run times of
// earlier requests predict little, but an endpoint that has just failed requests
// is likely to fail the next one.
package placer

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/offloader"
	"github.com/chivespool/chivespool/internal/sharer"
)

// The model of an endpoint.
const (
	// avoidedFactor multiplies the cost of an endpoint that was tried already, or
	// that reports itself as unhealthy, which some do falsely.
	avoidedFactor = 8
	// failureFactor is the share by which each recent failure raises the cost.
	failureFactor = 1.5
	// failureHalfLife is the half-life of the failure score.
	failureHalfLife = 3 * time.Second
	// maxFailureScore bounds the failure score of an endpoint.
	maxFailureScore = 6
	// minEjection and maxEjection bound the time for which an unreachable
	// endpoint is ejected; the time doubles with each failure.
	minEjection = 250 * time.Millisecond
	maxEjection = 4 * time.Second
)

// The model of a class of requests.
const (
	// learningRate is the weight of the newest request.
	learningRate = 0.1
	// deadlineDecay is the share of the difference by which a shorter deadline lowers the
	// longest one.
	deadlineDecay = 0.05
	// priorityMemory is the time for which a class counts as one of a higher priority after
	// a request of that priority. On one host some seconds pass between two of them.
	priorityMemory = 5 * time.Second
	// initialRunShare is the run time assumed for a class before its first
	// answer, as a share of the target time.
	initialRunShare = 1.0 / 3
	// initialRun is the run time assumed for a class without a target time.
	initialRun = 100 * time.Millisecond
)

// Placer places the requests of one host. The zero value has no location; make
// one with New. It is safe for concurrent use.
type Placer struct {
	place definer.Place
	// offloader decides which requests may leave the data centre; set before the first use.
	offloader *offloader.Offloader
	// mu guards the fields below.
	mu sync.Mutex
	// records holds the record of each endpoint by name.
	records map[string]*record
	// classes holds the classes of requests by name.
	classes map[string]*class
	// pools holds the effects of the reports of each pool's endpoints.
	pools  map[string]*effects
	random *rand.Rand
	// connections is nil if nothing is known of connections.
	connections Connections
	// subset holds the endpoints that the host prefers.
	subset subset
	// sharer orders requests by account under pressure.
	sharer sharer.Sharer
}

// record is the recent history of an endpoint.
type record struct {
	// failureScore is the decayed count of failed requests, as of scoredAt.
	failureScore float64
	scoredAt     time.Time
	// ejectedUntil is the end of the endpoint's ejection; connectFailures counts
	// the failures in a row to reach the endpoint.
	ejectedUntil    time.Time
	connectFailures int
	// running counts this host's requests that the endpoint runs.
	running int
	// seenAt is when the endpoint's report was last compared.
	seenAt time.Time
	// troubledAt is when the endpoint was last found crowded, slow, cold or unhealthy; zero
	// if it was not the last time.
	troubledAt time.Time
}

// class holds estimates for a class of requests.
type class struct {
	// normalRun is the run time at normal speed, in nanoseconds; answerBytes is the
	// size of an answer.
	normalRun   float64
	answerBytes float64
	// longestDeadline is the longest time until its caller's deadline that a request of
	// the class has had lately. The difference to a request's own time estimates how long
	// its caller has been retrying.
	longestDeadline time.Duration
	// waitSuccessRate is the share of recent waits that found capacity.
	waitSuccessRate float64
	// pool is the pool that requests of the class were last placed in.
	pool string
	// priority is the highest of a request within priorityMemory, or that of the latest,
	// as of priorityAt: requests of a class differ in the rank of their accounts.
	priority   int
	priorityAt time.Time
	// tail tells how much longer than expected requests of the class run.
	tail sharer.Tail
}

// recordPriority records the priority of a request.
func (class *class) recordPriority(now time.Time, priority int) {
	if priority >= class.priority || now.Sub(class.priorityAt) > priorityMemory {
		class.priority, class.priorityAt = priority, now
	}
}

// recordDeadline records the time until the deadline of a request's caller. A longer
// time than those of other callers is forgotten after some hundred requests.
func (class *class) recordDeadline(left time.Duration) {
	if left < class.longestDeadline {
		left = class.longestDeadline - time.Duration(deadlineDecay*float64(class.longestDeadline-left))
	}
	class.longestDeadline = left
}

// New returns a placer for a host at place. The same seed and history give the
// same choices.
func New(place definer.Place, seed uint64) *Placer {
	return &Placer{
		place: place, offloader: offloader.New(place), records: make(map[string]*record), classes: make(map[string]*class),
		pools:  make(map[string]*effects),
		random: rand.New(rand.NewPCG(seed, seed)),
	}
}

// SetOffloader replaces the offloader, which has the default prices. Call it before the
// first use.
func (placer *Placer) SetOffloader(offloader *offloader.Offloader) { placer.offloader = offloader }

// Request holds the properties of a request that its placement depends on.
type Request struct {
	class string
	// remaining is the time until the deadline; target is the time within which
	// an answer is of full use, or 0.
	remaining time.Duration
	target    time.Duration
	// callerTime is the time until the caller's own deadline, which is not before the
	// request's; 0 if it is not known.
	callerTime time.Duration
	// priority is higher for requests that matter more.
	priority int
	// avoid names endpoints that were tried already.
	avoid []string
	// bytes is the size of the request without its answer.
	bytes int64
	// draw is a random number from 0 to 1 by which the request is one of the share that
	// may leave the data centre.
	draw float64
	// account is that of the caller; nil if there is none.
	account *definer.Account
	// waited is the time for which the request has waited on this host.
	waited time.Duration
}

// NewRequest returns the properties of a request of class.
func NewRequest(class string, remaining, target time.Duration, avoid []string) Request {
	return Request{class: class, remaining: remaining, target: target, avoid: avoid}
}

// WithCallerTime returns a copy with the time until the caller's own deadline.
func (request Request) WithCallerTime(callerTime time.Duration) Request {
	request.callerTime = callerTime
	return request
}

// WithPriority returns a copy with a priority; requests with a higher one matter more.
func (request Request) WithPriority(priority int) Request {
	request.priority = priority
	return request
}

// WithBytes returns a copy with the size of the request; negative if it is unknown.
func (request Request) WithBytes(bytes int64) Request {
	request.bytes = max(bytes, 0)
	return request
}

// WithDraw returns a copy with the random number, from 0 to 1, that decides whether the
// request is one of the share that may leave the data centre.
func (request Request) WithDraw(draw float64) Request {
	request.draw = draw
	return request
}

// Candidate is an endpoint with the report of its load.
type Candidate struct {
	endpoint definer.Endpoint
	report   definer.Report
}

// NewCandidate returns an endpoint with the report that answered its probe.
func NewCandidate(endpoint definer.Endpoint, report definer.Report) Candidate {
	return Candidate{endpoint: endpoint, report: report}
}

// Choice is the result of Choose.
type Choice struct {
	endpoint definer.Endpoint
	// found is false where no endpoint answered.
	found bool
	// expectedRun is the expected run time at endpoint.
	expectedRun time.Duration
	// fastEnough is false where more probes may find a better endpoint.
	fastEnough bool
	// normalSpeed is true where the endpoint has capacity and runs at about normal
	// speed.
	normalSpeed bool
	// forecast is that of the endpoint.
	forecast Forecast
	// yields is true while requests of a higher priority find no capacity.
	yields bool
	// explores is true if a crowded endpoint may be used to learn what that costs.
	explores bool
	// pressure is the share of recent choices in the pool that were crowded.
	pressure float64
	// normalRun is the run time of the request at normal speed.
	normalRun time.Duration
	// timeBudget is the time left in which an answer is of full use; below 0 where
	// it is too late for that.
	timeBudget time.Duration
	// remaining is the time until the deadline.
	remaining time.Duration
	// waitSuccessRate is the share of recent waits that found capacity.
	waitSuccessRate float64
	// mayLeave holds, by distance, whether the request may leave the data centre although
	// it can be answered in time there; waited is the time for which it has waited.
	mayLeave [distanceCount]bool
	// byCost is true if a request that would be refused in its own data centre may leave it.
	byCost bool
	waited time.Duration
	// callerLeft is the time until the caller's own deadline.
	callerLeft time.Duration
	// standing is the request's place among others under pressure.
	standing sharer.Standing
}

// Endpoint returns the chosen endpoint.
func (choice Choice) Endpoint() definer.Endpoint { return choice.endpoint }

// Found reports whether an endpoint answered.
func (choice Choice) Found() bool { return choice.found }

// ExpectedRun returns the expected run time at the endpoint.
func (choice Choice) ExpectedRun() time.Duration { return choice.expectedRun }

// Forecast returns the expected run time and what it was computed from.
func (choice Choice) Forecast() Forecast { return choice.forecast }

// IsIdle reports whether the endpoint can run another request without slowing down.
func (choice Choice) IsIdle() bool { return choice.found && !choice.forecast.busy }

// HasCapacity reports whether the endpoint does more work with the request.
func (choice Choice) HasCapacity() bool { return choice.found && !choice.forecast.crowded }

// costJitter is the largest random addition to the expected run time, as a share
// of it, by the endpoint's distance. It keeps hosts that see the same free
// endpoint from all choosing it. It is larger for other regions, whose reports
// are older when they arrive.
var costJitter = [...]float64{distanceCentre: 0.1, distanceRegion: 0.1, distanceFar: 0.4, distanceCount: 0.4}

// concurrentArrivals is the number of other hosts' requests that are assumed to
// arrive at an endpoint between its report and this request, by the endpoint's
// distance.
var concurrentArrivals = [...]int{distanceCentre: 0, distanceRegion: 0, distanceFar: 1, distanceCount: 1}

// fastEnoughShare is the share of the target time up to which an expected run
// time ends the search for a better endpoint.
const fastEnoughShare = 0.6

// Choose picks the endpoint with the least expected cost.
func (placer *Placer) Choose(now time.Time, candidates []Candidate, request Request) Choice {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	class := placer.class(request)
	best, least := Choice{}, math.Inf(1)
	for _, candidate := range candidates {
		forecast := placer.forecast(candidate, class)
		placer.recordTrouble(now, candidate, forecast)
		cost := forecast.run*(1+placer.random.Float64()*costJitter[placer.distance(candidate.endpoint)]) + placer.networkCost(candidate.endpoint, class, request)
		cost *= placer.penalty(now, candidate, request)
		if cost < least {
			least = cost
			best = Choice{endpoint: candidate.endpoint, found: true, forecast: forecast, expectedRun: time.Duration(forecast.run)}
		}
	}
	best.normalRun = time.Duration(class.normalRun)
	best.remaining, best.callerLeft = request.remaining, max(request.callerTime, request.remaining)
	best.timeBudget = class.timeBudget(request)
	best.waitSuccessRate = class.waitSuccessRate
	best.waited = request.waited
	if best.found {
		best.mayLeave = placer.mayLeave(now, best.forecast.pool, class, request)
		best.byCost = placer.offloader.ByCost()
		class.pool = best.forecast.pool
		class.recordPriority(now, request.priority)
		best.pressure = placer.effects(best.forecast.pool).recordChoice(now, best.forecast.crowded)
		best.explores = placer.random.Float64() < exploreShare
		best.standing = placer.sharer.Standing(now, best.forecast.pool, best.pressure, class.claim(request))
		best.yields = best.pressure >= yieldPressure && placer.isOutranked(best.forecast.pool, request)
	}
	best = placer.preferServed(now, best, candidates, class, request)
	best.normalSpeed = best.found && !best.forecast.busy && float64(best.expectedRun) <= normalRunShare*class.normalRun
	best.fastEnough = best.found && float64(best.expectedRun) <= fastEnoughShare*float64(min(max(request.target, 0), request.remaining))
	return best
}

// penalty returns the factor by which failures, bad health and earlier attempts
// raise the cost of an endpoint. It does not raise the expected run time: an
// endpoint that failed other requests may still answer this one in time. mu is
// held.
func (placer *Placer) penalty(now time.Time, candidate Candidate, request Request) float64 {
	penalty := 1 + failureFactor*placer.failureScore(now, candidate.Name())
	if !candidate.report.Healthy() {
		penalty *= avoidedFactor
	}
	if slices.Contains(request.avoid, candidate.Name()) {
		penalty *= avoidedFactor
	}
	return penalty
}

// class returns the class of a request, and adds it if it is new; mu is held.
func (placer *Placer) class(request Request) *class {
	found, ok := placer.classes[request.class]
	if !ok {
		normalRun := float64(initialRun)
		if request.target > 0 {
			normalRun = initialRunShare * float64(request.target)
		}
		found = &class{normalRun: normalRun, waitSuccessRate: 1}
		placer.classes[request.class] = found
	}
	found.recordDeadline(max(request.remaining, request.callerTime))
	return found
}

// record returns the record of an endpoint, and adds it if it is new; mu is held.
func (placer *Placer) record(name string) *record {
	found, ok := placer.records[name]
	if !ok {
		found = &record{}
		placer.records[name] = found
	}
	return found
}

// failureScore returns the decayed failure score of an endpoint; mu is held.
func (placer *Placer) failureScore(now time.Time, name string) float64 {
	record, ok := placer.records[name]
	if !ok || record.failureScore == 0 {
		return 0
	}
	return record.failureScore * math.Exp2(-float64(now.Sub(record.scoredAt))/float64(failureHalfLife))
}

// isEjected reports whether an endpoint is ejected at now; mu is held.
func (placer *Placer) isEjected(now time.Time, name string) bool {
	record, ok := placer.records[name]
	return ok && now.Before(record.ejectedUntil)
}

// Endpoint returns the endpoint.
func (candidate Candidate) Endpoint() definer.Endpoint { return candidate.endpoint }

// Name returns the name of the endpoint.
func (candidate Candidate) Name() string { return candidate.endpoint.Name() }

// Report returns the endpoint's report of its load.
func (candidate Candidate) Report() definer.Report { return candidate.report }
