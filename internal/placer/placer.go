// Package placer decides which endpoint runs a request. Load shifts faster
// than any report travels, so the load is asked for at the moment of the
// choice: Rings says which endpoints to ask, nearest first, and Choose picks
// one by what they said, or says that none can serve in time.
//
// The package does no I/O and reads no clock. The load it answers: many
// endpoints whose pace changes several times within one request's run, so that
// what an earlier answer told is worth little, while an endpoint that broke
// requests a moment ago is likely to break the next one.
package placer

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// What a choice costs beside the run, as time.
const (
	// regionTrip is what a request between regions takes longer, there and back.
	regionTrip = 24 * time.Millisecond
	// centreTrip is what a request between data centres of a region takes longer.
	centreTrip = 2 * time.Millisecond
	// regionByte and centreByte weigh a byte that crosses billed links: 100 kB
	// between regions weigh as much as 150 ms, between data centres as 80 ms.
	regionByte = 1500 * time.Nanosecond
	centreByte = 800 * time.Nanosecond
)

// What is assumed of endpoints.
const (
	// crowding is the share of slots in use from which work slows down.
	crowding = 0.8
	// crowdedPace is how many times as long it takes then.
	crowdedPace = 1.7
	// coldPace is how many times as long work takes just after a start.
	coldPace = 2
	// unhealthyPace weighs an endpoint that says it is ill; some lie.
	unhealthyPace = 8
	// troublePace is how many times longer work is taken to be for each request
	// that an endpoint broke lately.
	troublePace = 1.5
	// troubleHalf is the time in which half of the trouble is forgotten.
	troubleHalf = 3 * time.Second
	// troubleMost bounds the trouble that is remembered of an endpoint.
	troubleMost = 6
	// outLeast and outMost bound the time for which an endpoint that can't be
	// reached is left alone; it doubles with each failure.
	outLeast = 250 * time.Millisecond
	outMost  = 4 * time.Second
)

// What is learned of a class of requests.
const (
	// learningShare is the weight of the newest request.
	learningShare = 0.1
	// firstWorkShare is the part of the time to answer that a request of a class
	// is taken to run for before one has been seen.
	firstWorkShare = 1.0 / 3
	// firstWork is the same for a class that has no such time.
	firstWork = 100 * time.Millisecond
)

// Placer places the requests of one host. The zero value stands nowhere; make
// one with New. It is safe for concurrent use.
type Placer struct {
	place definer.Place
	// mu guards the fields below.
	mu sync.Mutex
	// records holds what is remembered of each endpoint by name.
	records map[string]*record
	// classes holds what is learned of each class of requests.
	classes map[string]*class
	random  *rand.Rand
}

// record is what is remembered of an endpoint.
type record struct {
	// trouble counts the requests that the endpoint broke, fading with time.
	trouble   float64
	troubleAt time.Time
	// out is until when the endpoint is left alone, and failures how often in a
	// row it could not be reached.
	out      time.Time
	failures int
	// running counts this host's requests there.
	running int
}

// class is what is learned of a class of requests.
type class struct {
	// work is the run time at the usual pace; bytes is the size of an answer.
	work  float64
	bytes float64
	// longest is the longest deadline that a request of the class came with: how
	// much less another one has tells for how long its caller has tried already.
	longest time.Duration
	// luck is the share of the waits for room that found some lately.
	luck float64
}

// New returns a placer for a host at place. Requests with the same seed and
// history are placed alike.
func New(place definer.Place, seed uint64) *Placer {
	return &Placer{
		place: place, records: make(map[string]*record), classes: make(map[string]*class),
		random: rand.New(rand.NewPCG(seed, seed)),
	}
}

// Want is what a placer has to know of a request.
type Want struct {
	class string
	// left is the time until the deadline; target is that within which an answer
	// is of full use, or 0.
	left   time.Duration
	target time.Duration
	// avoid names endpoints that were tried already.
	avoid []string
}

// NewWant returns a request of class with left until its deadline.
func NewWant(class string, left, target time.Duration, avoid []string) Want {
	return Want{class: class, left: left, target: target, avoid: avoid}
}

// Asked is an endpoint with what it said of itself.
type Asked struct {
	endpoint definer.Endpoint
	report   definer.Report
}

// NewAsked returns an endpoint that was asked and answered.
func NewAsked(endpoint definer.Endpoint, report definer.Report) Asked {
	return Asked{endpoint: endpoint, report: report}
}

// Choice is the outcome of a choice.
type Choice struct {
	endpoint definer.Endpoint
	// found is false where no endpoint answered.
	found bool
	// run is how long the request is expected to take there.
	run time.Duration
	// good is false where a search in the region may find a better endpoint.
	good bool
	// usual is true where the endpoint has room and works about as fast as usual.
	usual bool
	// crowded is true where one more request would slow the endpoint down or wait.
	crowded bool
	// saturated is true where that holds for all endpoints that were asked.
	saturated bool
	// work is how long the request takes on an endpoint at rest.
	work time.Duration
	// inTime is how long the request may take to be of full use; below 0 where
	// it is too late for that.
	inTime time.Duration
	// left is the time until the deadline.
	left time.Duration
	// luck is the share of the waits for room that found some lately.
	luck float64
}

// Endpoint returns the endpoint that was chosen.
func (choice Choice) Endpoint() definer.Endpoint { return choice.endpoint }

// Found reports whether there is an endpoint at all.
func (choice Choice) Found() bool { return choice.found }

// Run returns how long the request is expected to take.
func (choice Choice) Run() time.Duration { return choice.run }

// Roomy reports whether the endpoint takes another request without slowing
// down.
func (choice Choice) Roomy() bool { return choice.found && !choice.crowded }

// spread is by how much of a run a choice varies at random, by the distance of
// the endpoint: hosts that saw the same free endpoint do not all go there. What
// comes from another region is older when it arrives.
var spread = [...]float64{tierCentre: 0.1, tierRegion: 0.1, tierFar: 0.4, tierCount: 0.4}

// others is how many requests of other hosts are taken to arrive at an endpoint
// between its answer and this one, by its distance.
var others = [...]int{tierCentre: 0, tierRegion: 0, tierFar: 1, tierCount: 1}

// goodShare is the part of the time to answer within which an expected run is
// good enough to look no further.
const goodShare = 0.6

// Choose picks the endpoint with the least expected cost.
func (placer *Placer) Choose(now time.Time, asked []Asked, want Want) Choice {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	learned := placer.class(want)
	best, least := Choice{}, math.Inf(1)
	saturated := true
	for _, candidate := range asked {
		run, crowded := placer.expect(candidate, learned)
		saturated = saturated && crowded
		cost := run*(1+placer.random.Float64()*spread[placer.tier(candidate.endpoint)]) + placer.distance(candidate.endpoint, learned)
		cost *= placer.distrust(now, candidate, want)
		if cost < least {
			least = cost
			best = Choice{endpoint: candidate.endpoint, found: true, run: time.Duration(run), crowded: crowded}
		}
	}
	best.saturated = saturated
	best.work = time.Duration(learned.work)
	best.left = want.left
	best.inTime = want.left
	if want.target > 0 {
		best.inTime = want.target - (learned.longest - want.left)
	}
	best.luck = learned.luck
	best.usual = best.found && !best.crowded && float64(best.run) <= usualShare*learned.work
	best.good = float64(best.run) <= goodShare*float64(min(max(want.target, 0), want.left))
	return best
}

// distrust returns by how much an endpoint's cost is raised for what is known of
// it beside its load. It has no say in whether a request can be served in time:
// an endpoint that broke others may still answer this one. mu is held.
func (placer *Placer) distrust(now time.Time, asked Asked, want Want) float64 {
	distrust := 1 + troublePace*placer.trouble(now, asked.Name())
	if !asked.report.Healthy() {
		distrust *= unhealthyPace
	}
	if slices.Contains(want.avoid, asked.Name()) {
		distrust *= unhealthyPace
	}
	return distrust
}

// expect returns how long a request is expected to take, in nanoseconds, and
// whether it would crowd the endpoint; mu is held.
func (placer *Placer) expect(asked Asked, learned *class) (run float64, crowded bool) {
	report := asked.report
	pace := report.Slowdown()
	if pace <= 0 {
		pace = 1
	}
	if asked.endpoint.WarmupLeft() > 0 {
		pace *= coldPace
	}
	slots := report.Slots()
	if slots == 0 {
		slots = asked.endpoint.Slots()
	}
	running := report.Running() + others[placer.tier(asked.endpoint)]
	if report.Slots() == 0 {
		running = placer.record(asked.endpoint.Name()).running
	}
	if crowded = float64(running+1) > crowding*float64(slots) && slots > 1; crowded {
		pace *= crowdedPace
	}
	run = learned.work * pace
	if running >= slots {
		// On average the first slot comes free after an even part of a run.
		run += learned.work * pace * float64(report.Waiting()+1) / float64(slots)
	}
	return run, crowded
}

// distance returns what the way to an endpoint costs, in nanoseconds.
func (placer *Placer) distance(endpoint definer.Endpoint, learned *class) float64 {
	switch placer.tier(endpoint) {
	case tierCentre:
		return 0
	case tierRegion:
		return float64(centreTrip) + learned.bytes*float64(centreByte)
	}
	return float64(regionTrip) + learned.bytes*float64(regionByte)
}

func (placer *Placer) class(want Want) *class {
	found, ok := placer.classes[want.class]
	if !ok {
		work := float64(firstWork)
		if want.target > 0 {
			work = firstWorkShare * float64(want.target)
		}
		found = &class{work: work, luck: 1}
		placer.classes[want.class] = found
	}
	found.longest = max(found.longest, want.left)
	return found
}

func (placer *Placer) record(name string) *record {
	found, ok := placer.records[name]
	if !ok {
		found = &record{}
		placer.records[name] = found
	}
	return found
}

// trouble returns what is left of the trouble with an endpoint; mu is held.
func (placer *Placer) trouble(now time.Time, name string) float64 {
	found, ok := placer.records[name]
	if !ok || found.trouble == 0 {
		return 0
	}
	return found.trouble * math.Exp2(-float64(now.Sub(found.troubleAt))/float64(troubleHalf))
}

func (placer *Placer) isOut(now time.Time, name string) bool {
	found, ok := placer.records[name]
	return ok && now.Before(found.out)
}

// Name returns the name of the endpoint that was asked.
func (asked Asked) Name() string { return asked.endpoint.Name() }

// Report returns what the endpoint said of itself.
func (asked Asked) Report() definer.Report { return asked.report }
