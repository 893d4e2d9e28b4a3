package placer

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// emulatedClass is a class of requests in an emulated deployment.
type emulatedClass struct {
	name, service string
	work, target  time.Duration
	// deadline is that of the caller, from its first attempt; timeout limits one attempt.
	deadline, timeout time.Duration
	perSecond, worth  float64
	rank              int
	// bytes is the size of a request without its answer.
	bytes int64
	// account is that of the callers; nil if there is none.
	account *definer.Account
	// group names the class at the placers, if it isn't name.
	group string
}

// emulatedService is a service in an emulated deployment.
type emulatedService struct {
	name             string
	endpoints, slots int
	// queue is the number of requests that an endpoint queues; it never answers another
	// one. 0 is for any number.
	queue int
	// broken is the number of endpoints that are slowed down brokenSlowdown times.
	broken         int
	brokenSlowdown float64
}

// deployment is an emulated deployment: hosts place requests at endpoints whose
// machines change their speed every noiseInterval.
type deployment struct {
	hosts    int
	services []emulatedService
	classes  []emulatedClass
	// noiseShare of the machines are slowed down noiseSlowdown times.
	noiseShare, noiseSlowdown float64
	// crowdedSlowdown is the slowdown of an endpoint with more than 0.8 of its slots in
	// use.
	crowdedSlowdown float64
	// load returns the factor of the number of requests at a time; nil for 1.
	load func(now time.Duration) float64
	// returnDelay is the delay of callers that ignore Retry-After; 0 if they heed it.
	returnDelay time.Duration
}

const (
	noiseInterval = 150 * time.Millisecond
	emulationStep = time.Millisecond
)

// work is a request at an endpoint.
type work struct {
	left float64 // left is the rest of its work in seconds.
	job  *job
}

// emulatedEndpoint runs up to its slots of work at once and queues the rest.
type emulatedEndpoint struct {
	endpoint         definer.Endpoint
	slots, queue     int
	fixed, noise     float64
	running, waiting []work
}

func (emulatedEndpoint *emulatedEndpoint) report() definer.Report {
	return definer.NewReport(true, len(emulatedEndpoint.running), len(emulatedEndpoint.waiting),
		emulatedEndpoint.slots, max(emulatedEndpoint.noise, emulatedEndpoint.fixed))
}

// job is one request of a caller.
type job struct {
	class *emulatedClass
	host  int
	// first is when the caller sent its first attempt, and arrived when this one arrived
	// at its host.
	first, arrived time.Duration
	retried        bool
	started        time.Duration
	// draw decides whether the request is one of the share that may leave.
	draw     float64
	forecast Forecast
	// tiers are those of the current round, of which probed were probed.
	tiers  []Tier
	probed int
}

// event is a step of a job at a time.
type event struct {
	at  time.Duration
	run func()
}

// events is a heap of events by time.
type events []event

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (events events) Len() int           { return len(events) }
func (events events) Less(i, j int) bool { return events[i].at < events[j].at }
func (events events) Swap(i, j int)      { events[i], events[j] = events[j], events[i] }
func (events *events) Push(item any)     { *events = append(*events, item.(event)) }
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// emulation plays a deployment.
type emulation struct {
	deployment
	random    *rand.Rand
	now       time.Duration
	events    events
	endpoints map[string][]*emulatedEndpoint
	byName    map[string]*emulatedEndpoint
	placers   []*Placer
	// judge decides on choices.
	judge func(choice Choice, candidates []Candidate, waited time.Duration) Verdict
	// nextHost returns the host that a caller refused by host returns to.
	nextHost func(host int) int
	// probes counts probes, and inTime, late, refused and lost requests by class.
	probes              int
	asked, inTime, late map[string]int
	refused, lost       map[string]int
	// returned counts the requests that were refused once, by class.
	returned map[string]int
	// hung counts the requests that reached a full queue.
	hung int
}

var emulatedPlaces = []definer.Place{
	definer.NewPlace("k", "k-a"), definer.NewPlace("k", "k-b"), definer.NewPlace("m", "m-a"),
	definer.NewPlace("m", "m-b"), definer.NewPlace("v", "v-a"), definer.NewPlace("v", "v-b"),
}

func newEmulation(deployment deployment, seed uint64) *emulation {
	emulation := &emulation{
		deployment: deployment, random: rand.New(rand.NewPCG(seed, 1)),
		endpoints: make(map[string][]*emulatedEndpoint), byName: make(map[string]*emulatedEndpoint),
		asked: make(map[string]int), inTime: make(map[string]int), late: make(map[string]int),
		refused: make(map[string]int), lost: make(map[string]int), returned: make(map[string]int),
		judge: func(choice Choice, _ []Candidate, waited time.Duration) Verdict { return Judge(choice, waited) },
	}
	emulation.nextHost = func(int) int { return emulation.random.IntN(emulation.hosts) }
	for host := range deployment.hosts {
		emulation.placers = append(emulation.placers, New(emulatedPlaces[host%len(emulatedPlaces)], seed+uint64(host)))
	}
	for _, service := range deployment.services {
		for index := range service.endpoints {
			place := emulatedPlaces[index%len(emulatedPlaces)]
			name := fmt.Sprint(service.name, index)
			added := &emulatedEndpoint{
				endpoint: definer.NewEndpoint(name, service.name, "10.0.0.1:1", place, service.slots),
				slots:    service.slots, queue: service.queue, fixed: 1, noise: 1,
			}
			if index < service.broken {
				added.fixed = service.brokenSlowdown
			}
			emulation.endpoints[service.name] = append(emulation.endpoints[service.name], added)
			emulation.byName[name] = added
		}
	}
	return emulation
}

func (emulation *emulation) schedule(after time.Duration, run func()) {
	heap.Push(&emulation.events, event{at: emulation.now + after, run: run})
}

// play plays the deployment for a time.
func (emulation *emulation) play(length time.Duration) {
	for index := range emulation.classes {
		emulation.scheduleArrival(&emulation.classes[index], length)
	}
	nextNoise := time.Duration(0)
	for ; emulation.now < length+5*time.Second; emulation.now += emulationStep {
		if emulation.now >= nextNoise {
			emulation.changeNoise()
			nextNoise += noiseInterval
		}
		for len(emulation.events) > 0 && emulation.events[0].at <= emulation.now {
			heap.Pop(&emulation.events).(event).run()
		}
		for _, service := range emulation.services {
			for _, endpoint := range emulation.endpoints[service.name] {
				emulation.advance(endpoint)
			}
		}
	}
}

func (emulation *emulation) changeNoise() {
	for _, service := range emulation.services {
		for _, endpoint := range emulation.endpoints[service.name] {
			endpoint.noise = 1
			if emulation.random.Float64() < emulation.noiseShare {
				endpoint.noise = emulation.noiseSlowdown
			}
		}
	}
}

func (emulation *emulation) scheduleArrival(class *emulatedClass, length time.Duration) {
	perSecond := class.perSecond
	if emulation.load != nil {
		perSecond *= emulation.load(emulation.now)
	}
	wait := time.Duration(emulation.random.ExpFloat64() / perSecond * float64(time.Second))
	if emulation.now+wait > length {
		return
	}
	emulation.schedule(wait, func() {
		emulation.asked[class.name]++
		emulation.place(&job{
			class: class, host: emulation.random.IntN(emulation.hosts), first: emulation.now, arrived: emulation.now,
		}, 0)
		emulation.scheduleArrival(class, length)
	})
}

// advance runs an endpoint for one step.
func (emulation *emulation) advance(endpoint *emulatedEndpoint) {
	for len(endpoint.running) < endpoint.slots && len(endpoint.waiting) > 0 {
		endpoint.running = append(endpoint.running, endpoint.waiting[0])
		endpoint.waiting = endpoint.waiting[1:]
	}
	slowdown := max(endpoint.fixed, endpoint.noise)
	if float64(len(endpoint.running)) > 0.8*float64(endpoint.slots) {
		slowdown *= emulation.crowdedSlowdown
	}
	kept := endpoint.running[:0]
	for _, work := range endpoint.running {
		work.left -= emulationStep.Seconds() / slowdown
		if work.left <= 0 {
			emulation.finish(endpoint, work.job)
		} else if emulation.left(work.job) > 0 {
			kept = append(kept, work)
		} else {
			emulation.giveUp(endpoint, work.job)
		}
	}
	endpoint.running = kept
	queued := endpoint.waiting[:0]
	for _, work := range endpoint.waiting {
		if emulation.left(work.job) > 0 {
			queued = append(queued, work)
		} else {
			emulation.giveUp(endpoint, work.job)
		}
	}
	endpoint.waiting = queued
}

func (emulation *emulation) finish(endpoint *emulatedEndpoint, job *job) {
	class := job.class
	if emulation.now-job.first <= class.target {
		emulation.inTime[class.name]++
	} else {
		emulation.late[class.name]++
	}
	placer := emulation.placers[job.host]
	placer.RecordEnd(endpoint.endpoint.Name())
	placer.RecordAnswer(emulation.time(), endpoint.endpoint.Name(), emulation.request(job), emulation.now-job.started, job.forecast, 400)
}

func (emulation *emulation) giveUp(endpoint *emulatedEndpoint, job *job) {
	emulation.lost[job.class.name]++
	placer := emulation.placers[job.host]
	placer.RecordEnd(endpoint.endpoint.Name())
	placer.RecordFailure(emulation.time(), endpoint.endpoint.Name(), 0.3)
}

func (emulation *emulation) time() time.Time { return time.Unix(1, 0).Add(emulation.now) }

func (emulation *emulation) request(job *job) Request {
	name := job.class.name
	if job.class.group != "" {
		name = job.class.group
	}
	return NewRequest(name, emulation.left(job), job.class.target, nil).
		WithCallerTime(job.class.deadline - (emulation.now - job.first)).WithPriority(-job.class.rank).
		WithDraw(job.draw).WithBytes(job.class.bytes).
		WithAccount(job.class.account).WithWaited(emulation.now - job.arrived)
}

// left returns the time until an attempt ends without an answer.
func (emulation *emulation) left(job *job) time.Duration {
	return min(job.class.timeout-(emulation.now-job.arrived), job.class.deadline-(emulation.now-job.first))
}

// emulatedRoundTrips are the round-trip times to endpoints by distance.
var emulatedRoundTrips = [...]time.Duration{time.Millisecond, 3 * time.Millisecond, 25 * time.Millisecond, 25 * time.Millisecond}

// place probes tier by tier, as package assigner does.
func (emulation *emulation) place(job *job, waited time.Duration) {
	placer := emulation.placers[job.host]
	var endpoints []definer.Endpoint
	for _, endpoint := range emulation.endpoints[job.class.service] {
		endpoints = append(endpoints, endpoint.endpoint)
	}
	if waited == 0 {
		placer.RecordArrival(emulation.time(), job.class.service, emulation.request(job))
	}
	tiers := placer.Tiers(emulation.time(), endpoints, emulation.request(job))
	job.tiers, job.probed = tiers, 0
	emulation.probe(job, waited, tiers, nil, Choice{})
}

func (emulation *emulation) probe(job *job, waited time.Duration, tiers []Tier, candidates []Candidate, choice Choice) {
	if len(tiers) == 0 || !tiers[0].Needed(choice) {
		emulation.decide(job, waited, candidates, choice)
		return
	}
	placer := emulation.placers[job.host]
	job.probed++
	roundTrip := time.Duration(0)
	for _, endpoint := range tiers[0].Endpoints() {
		emulation.probes++
		roundTrip = max(roundTrip, emulatedRoundTrips[placer.distance(endpoint)])
	}
	emulation.schedule(roundTrip/2, func() {
		for _, endpoint := range tiers[0].Endpoints() {
			candidates = append(candidates, NewCandidate(endpoint, emulation.byName[endpoint.Name()].report()))
		}
		emulation.schedule(roundTrip/2, func() {
			choice = placer.Choose(emulation.time(), candidates, emulation.request(job))
			emulation.probe(job, waited+roundTrip, tiers[1:], candidates, choice)
		})
	})
}

func (emulation *emulation) decide(job *job, waited time.Duration, candidates []Candidate, choice Choice) {
	placer := emulation.placers[job.host]
	placer.RecordRound(emulation.time(), job.tiers, job.probed, candidates, emulation.request(job))
	verdict := emulation.judge(choice, candidates, waited)
	if verdict == Wait {
		pause := ProbeInterval/2 + time.Duration(emulation.random.Int64N(int64(ProbeInterval)))
		emulation.schedule(pause, func() { emulation.place(job, waited+pause) })
		return
	}
	placer.RecordVerdict(emulation.time(), job.class.service, emulation.request(job), verdict == Serve)
	if waited > ProbeInterval && !choice.Standing().HeldBack() {
		placer.RecordWait(emulation.request(job), choice.HasCapacity())
	}
	if verdict == Refuse {
		emulation.refuse(job, choice)
		return
	}
	endpoint := emulation.byName[choice.Endpoint().Name()]
	placer.RecordStart(endpoint.endpoint.Name())
	placer.RecordSent(choice)
	job.started, job.forecast = emulation.now, choice.Forecast()
	amount := job.class.work.Seconds() * math.Exp(0.3*emulation.random.NormFloat64())
	if emulation.random.Float64() < 0.03 {
		amount *= 7
	}
	emulation.schedule(emulatedRoundTrips[placer.distance(endpoint.endpoint)]/2, func() {
		if endpoint.queue > 0 && len(endpoint.running) >= endpoint.slots && len(endpoint.waiting) >= endpoint.queue {
			emulation.hung++
			emulation.schedule(emulation.left(job), func() { emulation.giveUp(endpoint, job) })
			return
		}
		endpoint.waiting = append(endpoint.waiting, work{left: amount, job: job})
	})
}

// credit returns the share of the worth of all requests that was earned: a late answer
// earns a tenth.
func (emulation *emulation) credit() float64 {
	earned, owed := 0.0, 0.0
	for _, class := range emulation.classes {
		owed += class.worth * float64(emulation.asked[class.name])
		earned += class.worth * (float64(emulation.inTime[class.name]) + 0.1*float64(emulation.late[class.name]))
	}
	return earned / owed
}

// describe lists the outcomes by class.
func (emulation *emulation) describe() string {
	text, total := fmt.Sprintf("credit %.3f;", emulation.credit()), 0
	for _, class := range emulation.classes {
		asked := emulation.asked[class.name]
		total += asked
		share := func(count int) float64 { return float64(count) / float64(asked) }
		text += fmt.Sprintf(" %s %.2f in time, %.2f late, %.2f refused, %.2f lost;", class.name, share(emulation.inTime[class.name]),
			share(emulation.late[class.name]), share(emulation.refused[class.name]), share(emulation.lost[class.name]))
	}
	return text + fmt.Sprintf(" %.1f probes", float64(emulation.probes)/float64(total))
}
