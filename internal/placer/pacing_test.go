package placer

import (
	"container/heap"
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/pacer"
)

// largeDeployment is a deployment of 17 hosts and 45 endpoints in each of six data centres;
// load is a factor of 450 requests a second.
func largeDeployment(load float64) deployment {
	return deployment{
		hosts: 102, noiseShare: 0.25, noiseSlowdown: 5, crowdedSlowdown: 1.7,
		services: []emulatedService{{name: "parcel", endpoints: 102, slots: 6}, {name: "tile", endpoints: 102, slots: 4}, {name: "filing", endpoints: 66, slots: 6}},
		classes: []emulatedClass{
			{name: "lookup", service: "parcel", work: 300 * ms, deadline: 2500 * ms, target: 900 * ms, timeout: 1500 * ms, perSecond: 170 * load, worth: 1},
			{name: "render", service: "tile", work: 190 * ms, deadline: 2000 * ms, target: 600 * ms, timeout: 1200 * ms, perSecond: 180 * load, worth: 1},
			{name: "file", service: "filing", work: 350 * ms, deadline: 3000 * ms, target: 1200 * ms, timeout: 2000 * ms, perSecond: 100 * load, worth: 2},
		},
	}
}

// emulatedIdleTime is the time for which an idle connection is kept.
const emulatedIdleTime = 8 * time.Second

// pacedEmulation plays a deployment with the decisions of package pacer and the hosts'
// subsets, as package assigner does.
type pacedEmulation struct {
	*emulation
	pacers []*pacer.Pacer
	hosts  []*pacedHost
	// dialed counts new connections, distant the probes beyond the host's data centre, and
	// served the requests by endpoint.
	dialed  int
	distant int
	served  map[string]int
}

// pacedHost is what a host keeps beside its placer and its pacer.
type pacedHost struct {
	emulation *pacedEmulation
	// idle holds the expiry times of idle connections by endpoint.
	idle map[string][]time.Duration
	// joined holds what waits for the probe under way by endpoint, and rounds the round of
	// each service.
	joined map[string][]func(pacer.Reading)
	rounds map[string]*emulatedRound
}

// HasIdle implements Connections.
func (pacedHost *pacedHost) HasIdle(endpoint definer.Endpoint) bool {
	list := pacedHost.idle[endpoint.Name()]
	return len(list) > 0 && list[len(list)-1] >= pacedHost.emulation.now
}

func (pacedHost *pacedHost) take(endpoint string) {
	list := pacedHost.idle[endpoint]
	if len(list) == 0 || list[len(list)-1] < pacedHost.emulation.now {
		pacedHost.emulation.dialed++
		return
	}
	pacedHost.idle[endpoint] = list[:len(list)-1]
}

func (pacedHost *pacedHost) put(endpoint string) {
	pacedHost.idle[endpoint] = append(pacedHost.idle[endpoint], pacedHost.emulation.now+emulatedIdleTime)
}

func newPacedEmulation(deployment deployment, seed uint64, rate float64) *pacedEmulation {
	paced := &pacedEmulation{emulation: newEmulation(deployment, seed), served: make(map[string]int)}
	var hosts []definer.Host
	for index := range deployment.hosts {
		hosts = append(hosts, definer.NewHost(fmt.Sprint("host-", index), "", "", emulatedPlaces[index%len(emulatedPlaces)], 1))
	}
	for index, host := range hosts {
		added := &pacedHost{emulation: paced, idle: make(map[string][]time.Duration), joined: make(map[string][]func(pacer.Reading)), rounds: make(map[string]*emulatedRound)}
		paced.hosts = append(paced.hosts, added)
		pacer := &pacer.Pacer{}
		pacer.SetRate(paced.time(), rate, len(paced.byName), len(hosts))
		paced.pacers = append(paced.pacers, pacer)
		paced.placers[index].SetHosts(host.Name(), hosts)
		paced.placers[index].SetConnections(added)
	}
	return paced
}

// play plays the deployment for a time.
func (paced *pacedEmulation) play(length time.Duration) {
	for index := range paced.classes {
		paced.arrive(&paced.classes[index], length)
	}
	for nextNoise := time.Duration(0); paced.now < length+5*time.Second; paced.now += emulationStep {
		if paced.now >= nextNoise {
			paced.changeNoise()
			nextNoise += noiseInterval
		}
		for len(paced.events) > 0 && paced.events[0].at <= paced.now {
			heap.Pop(&paced.events).(event).run()
		}
		for _, service := range paced.services {
			for _, endpoint := range paced.endpoints[service.name] {
				paced.step(endpoint)
			}
		}
	}
}

func (paced *pacedEmulation) arrive(class *emulatedClass, length time.Duration) {
	wait := time.Duration(paced.random.ExpFloat64() / class.perSecond * float64(time.Second))
	if paced.now+wait > length {
		return
	}
	paced.schedule(wait, func() {
		paced.asked[class.name]++
		paced.place(&job{class: class, host: paced.random.IntN(len(paced.hosts)), first: paced.now, arrived: paced.now}, 0, pacer.Arriving, nil)
		paced.arrive(class, length)
	})
}

// step runs an endpoint for one step and returns the connections of the requests that have
// ended; a request that was given up closes its own.
func (paced *pacedEmulation) step(endpoint *emulatedEndpoint) {
	before := slices.Concat(endpoint.running, endpoint.waiting)
	paced.advance(endpoint)
	if len(endpoint.running)+len(endpoint.waiting) == len(before) {
		return
	}
	for _, ended := range before {
		kept := func(other work) bool { return other.job == ended.job }
		if slices.ContainsFunc(endpoint.running, kept) || slices.ContainsFunc(endpoint.waiting, kept) {
			continue
		}
		if paced.left(ended.job) > 0 {
			paced.hosts[ended.job.host].put(endpoint.endpoint.Name())
			paced.pacers[ended.job.host].Record(paced.time(), endpoint.endpoint, endpoint.report())
			if round, ok := paced.hosts[ended.job.host].rounds[ended.job.class.service]; ok && endpoint.report().Running() < endpoint.slots {
				round.release(1, nil)
			}
		}
	}
}

// search is the search for an endpoint for one attempt.
type search struct {
	*Selection
	job    *job
	waited time.Duration
	// led is the round that the search leads; nil for none.
	led *emulatedRound
}

// emulatedRound is a round of waiting requests; each waits for a phase.
type emulatedRound struct {
	waiting []func(pacer.Phase, *emulatedRound)
}

// release ends the wait of up to count requests; they lead the round led unless it is nil.
func (emulatedRound *emulatedRound) release(count int, led *emulatedRound) {
	count = min(count, len(emulatedRound.waiting))
	released := emulatedRound.waiting[:count]
	emulatedRound.waiting = emulatedRound.waiting[count:]
	for _, search := range released {
		if led != nil {
			search(pacer.Leading, led)
		} else {
			search(pacer.Following, nil)
		}
	}
}

func (paced *pacedEmulation) place(job *job, waited time.Duration, phase pacer.Phase, led *emulatedRound) {
	var endpoints []definer.Endpoint
	for _, endpoint := range paced.endpoints[job.class.service] {
		endpoints = append(endpoints, endpoint.endpoint)
	}
	selection := paced.placers[job.host].Select(paced.time(), paced.pacers[job.host], nil, endpoints, paced.request(job), phase)
	paced.next(&search{Selection: selection, job: job, waited: waited, led: led})
}

// next probes the next tier if it is needed, and decides otherwise.
func (paced *pacedEmulation) next(search *search) {
	if !search.Next(paced.time()) {
		paced.decide(search)
		return
	}
	host, pending := paced.hosts[search.job.host], 1
	done := func() {
		if pending--; pending == 0 {
			search.Compare(paced.time())
			paced.next(search)
		}
	}
	for _, step := range search.Plan(paced.time()) {
		name := step.Endpoint().Name()
		switch step.Action() {
		case pacer.Probe:
			pending++
			paced.sendProbe(search, step.Endpoint(), done)
		case pacer.Join:
			pending++
			host.joined[name] = append(host.joined[name], func(reading pacer.Reading) {
				search.Add(step.Endpoint(), reading)
				done()
			})
		}
	}
	done()
}

func (paced *pacedEmulation) sendProbe(search *search, endpoint definer.Endpoint, done func()) {
	host, pace, name := paced.hosts[search.job.host], paced.pacers[search.job.host], endpoint.Name()
	paced.probes++
	if paced.placers[search.job.host].distance(endpoint) != distanceCentre {
		paced.distant++
	}
	host.take(name)
	ticket := pace.Begin(paced.time(), name)
	roundTrip := emulatedRoundTrips[paced.placers[search.job.host].distance(endpoint)]
	paced.schedule(roundTrip/2, func() {
		report := paced.byName[name].report()
		paced.schedule(roundTrip/2, func() {
			host.put(name)
			pace.End(paced.time(), ticket, report, true)
			reading, joined := pacer.NewReading(ticket, report), host.joined[name]
			delete(host.joined, name)
			search.Add(endpoint, reading)
			done()
			for _, join := range joined {
				join(reading)
			}
		})
	})
}

// decide judges the choice, as assigner.Acquire does.
func (paced *pacedEmulation) decide(search *search) {
	job, placer, host := search.job, paced.placers[search.job.host], paced.hosts[search.job.host]
	if search.led != nil {
		delete(host.rounds, job.class.service)
		defer search.led.release(len(search.led.waiting), nil)
	}
	verdict := Judge(search.choice, search.waited)
	if verdict == Wait {
		paced.wait(search)
		return
	}
	if search.waited > 0 {
		placer.RecordWait(paced.request(job), search.Choice().HasCapacity())
	}
	if verdict == Refuse {
		paced.refuse(job)
		return
	}
	endpoint := paced.byName[search.choice.Endpoint().Name()]
	name := endpoint.endpoint.Name()
	if !paced.pacers[job.host].Start(name, search.Seen()) {
		paced.place(job, search.waited, pacer.Following, nil)
		return
	}
	placer.RecordStart(name)
	host.take(name)
	paced.served[name]++
	job.started, job.forecast = paced.now, search.choice.Forecast()
	amount := job.class.work.Seconds() * math.Exp(0.3*paced.random.NormFloat64())
	if paced.random.Float64() < 0.03 {
		amount *= 7
	}
	paced.schedule(emulatedRoundTrips[placer.distance(endpoint.endpoint)]/2, func() {
		endpoint.waiting = append(endpoint.waiting, work{left: amount, job: job})
	})
}

// wait waits for the round of the service.
func (paced *pacedEmulation) wait(search *search) {
	job, host, from := search.job, paced.hosts[search.job.host], paced.now
	round, ok := host.rounds[job.class.service]
	if !ok {
		round = &emulatedRound{}
		host.rounds[job.class.service] = round
		pause := ProbeInterval/2 + time.Duration(paced.random.Int64N(int64(ProbeInterval)))
		paced.schedule(pause, func() {
			if len(round.waiting) == 0 {
				delete(host.rounds, job.class.service)
			}
			round.release(1, round)
		})
	}
	round.waiting = append(round.waiting, func(phase pacer.Phase, led *emulatedRound) {
		paced.schedule(0, func() { paced.place(job, search.waited+max(paced.now-from, 1), phase, led) })
	})
}

// refuse lets the caller return once, after a random delay.
func (paced *pacedEmulation) refuse(refused *job) {
	if refused.retried {
		paced.refused[refused.class.name]++
		return
	}
	again := *refused
	again.retried = true
	delay := RetryAfter(paced.random.Float64())
	paced.schedule(min(delay, (refused.class.deadline-(paced.now-refused.first))/3), func() {
		again.arrived, again.host = paced.now, paced.random.IntN(len(paced.hosts))
		paced.place(&again, 0, pacer.Arriving, nil)
	})
}

// outcome is the result of a replay.
type outcome struct {
	credit float64
	// probes are for each endpoint and second, and dialed new connections for each request.
	probes, dialed float64
	// busiest is the number of requests of the busiest endpoint of a service as a multiple
	// of the mean.
	busiest float64
	// distant counts the probes beyond the host's data centre.
	distant int
}

const replayTime = 6 * time.Second

// replaySeeds is the number of replays of overload, whose credit differs by 0.02 from seed to
// seed.
const replaySeeds = 3

// meanOf returns the mean outcome of replays with several seeds.
func meanOf(replay func(seed uint64) outcome) outcome {
	var outcomes [replaySeeds]outcome
	var tasks sync.WaitGroup
	for seed := range outcomes {
		tasks.Go(func() { outcomes[seed] = replay(uint64(seed) + 1) })
	}
	tasks.Wait()
	var mean outcome
	for _, outcome := range outcomes {
		mean.credit += outcome.credit / replaySeeds
		mean.probes += outcome.probes / replaySeeds
		mean.distant += outcome.distant
	}
	return mean
}

// replay plays the deployment with a bound on the probes for each endpoint and second.
func replay(t *testing.T, deployment deployment, seed uint64, rate float64) outcome {
	t.Helper()
	paced := newPacedEmulation(deployment, seed, rate)
	paced.play(replayTime)
	asked := 0
	for _, count := range paced.asked {
		asked += count
	}
	result := measure(paced.emulation, paced.served)
	result.dialed, result.distant = float64(paced.dialed)/float64(asked), paced.distant
	t.Logf("bound %.0f: %s; %+v", rate, paced.describe(), result)
	return result
}

// replayFormer plays the deployment as it was before reports were shared and endpoints
// preferred.
func replayFormer(t *testing.T, deployment deployment, seed uint64) outcome {
	t.Helper()
	emulation, served := newEmulation(deployment, seed), make(map[string]int)
	emulation.judge = func(choice Choice, _ []Candidate, waited time.Duration) Verdict {
		verdict := Judge(choice, waited)
		if verdict == Serve {
			served[choice.Endpoint().Name()]++
		}
		return verdict
	}
	emulation.play(replayTime)
	result := measure(emulation, served)
	t.Logf("former: %s; %+v", emulation.describe(), result)
	return result
}

func measure(emulation *emulation, served map[string]int) outcome {
	result := outcome{credit: emulation.credit(), probes: float64(emulation.probes) / float64(len(emulation.byName)) / replayTime.Seconds()}
	for _, endpoints := range emulation.endpoints {
		most, total := 0, 0
		for _, endpoint := range endpoints {
			most, total = max(most, served[endpoint.endpoint.Name()]), total+served[endpoint.endpoint.Name()]
		}
		result.busiest = max(result.busiest, float64(most)*float64(len(endpoints))/float64(total))
	}
	return result
}

// TestPacedOverload guards against probes beyond the fleet's bound under overload: each
// waiting request probed all distances every 40 ms, 13 probes for a request. With the
// bound, requests must still be placed about as well.
func TestPacedOverload(t *testing.T) {
	const bound = 42
	former := meanOf(func(seed uint64) outcome { return replayFormer(t, largeDeployment(8), seed) })
	paced := meanOf(func(seed uint64) outcome { return replay(t, largeDeployment(8), seed, bound) })
	if former.probes <= bound {
		t.Errorf("the former choice sends %.1f probes, so that the replay shows nothing", former.probes)
	}
	if paced.distant == 0 {
		t.Error("no endpoint beyond the data centre is probed")
	}
	if paced.probes > bound || paced.credit < former.credit-0.03 {
		t.Errorf("%.1f probes for each endpoint and second, %d allowed; credit %.3f, formerly %.3f", paced.probes, bound, paced.credit, former.credit)
	}
}

// TestPacedPeak guards against the subsets concentrating the load at peak load, and against
// more probes or connections than before there.
func TestPacedPeak(t *testing.T) {
	former, paced := replayFormer(t, largeDeployment(6), 1), replay(t, largeDeployment(6), 1, 42)
	if paced.busiest > 1.15*former.busiest {
		t.Errorf("the busiest endpoint gets %.2f times the mean, formerly %.2f", paced.busiest, former.busiest)
	}
	if paced.dialed > 0.5 || paced.credit < former.credit-0.02 {
		t.Errorf("%.2f new connections for a request; credit %.3f, formerly %.3f", paced.dialed, paced.credit, former.credit)
	}
}

// TestPacedNormal checks that at normal load the bound changes nothing and requests are
// placed as before, with at most as many probes.
func TestPacedNormal(t *testing.T) {
	former, free, paced := replayFormer(t, largeDeployment(2), 1), replay(t, largeDeployment(2), 1, 0), replay(t, largeDeployment(2), 1, 42)
	if paced != free {
		t.Errorf("with the bound %+v, without it %+v", paced, free)
	}
	if paced.probes > former.probes || paced.credit < former.credit-0.02 {
		t.Errorf("%.1f probes for each endpoint and second, formerly %.1f; credit %.3f, formerly %.3f", paced.probes, former.probes, paced.credit, former.credit)
	}
}

// TestPurposeAfterReuse guards against counting the first tier as a further distance once a
// report was used again: its probes were left out too early.
func TestPurposeAfterReuse(t *testing.T) {
	placer, pace, now := New(here, 1), &pacer.Pacer{}, time.Now()
	h := testEndpoints(here, "h", 4)
	pace.Record(now, h[0], definer.NewReport(true, 4, 0, 4, 1))
	selection := placer.Select(now, pace, nil, append(h, testEndpoints(near, "n", 4)...), testRequest(), pacer.Arriving)
	for _, want := range []pacer.Purpose{pacer.Nearest, pacer.Additional, pacer.Distant} {
		if !selection.Next(now) || selection.Purpose() != want {
			t.Fatalf("the tier is for %v, want %v", selection.Purpose(), want)
		}
		selection.Compare(now)
	}
}
