package placer

import (
	"container/heap"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/pacer"
)

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
	// joined holds what waits for the probe under way by endpoint, and rounds what waits for
	// the round of a service.
	joined map[string][]func(pacer.Reading)
	rounds map[string][]func(pacer.Phase)
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
		added := &pacedHost{emulation: paced, idle: make(map[string][]time.Duration), joined: make(map[string][]func(pacer.Reading)), rounds: make(map[string][]func(pacer.Phase))}
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
		paced.place(&job{class: class, host: paced.random.IntN(len(paced.hosts)), first: paced.now, arrived: paced.now}, 0, pacer.Arriving)
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
			if endpoint.report().Running() < endpoint.slots {
				paced.hosts[ended.job.host].release(ended.job.class.service, pacer.Following)
			}
		}
	}
}

// search is the search for an endpoint for one attempt.
type search struct {
	*Selection
	job    *job
	waited time.Duration
	phase  pacer.Phase
}

func (paced *pacedEmulation) place(job *job, waited time.Duration, phase pacer.Phase) {
	var endpoints []definer.Endpoint
	for _, endpoint := range paced.endpoints[job.class.service] {
		endpoints = append(endpoints, endpoint.endpoint)
	}
	selection := paced.placers[job.host].Select(paced.time(), paced.pacers[job.host], nil, endpoints, paced.request(job), phase)
	paced.next(&search{Selection: selection, job: job, waited: waited, phase: phase})
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
	if search.phase == pacer.Leading {
		followers := host.rounds[job.class.service]
		delete(host.rounds, job.class.service)
		defer func() {
			for _, follow := range followers {
				follow(pacer.Following)
			}
		}()
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
		paced.place(job, search.waited, pacer.Following)
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
	job, service, host, from := search.job, search.job.class.service, paced.hosts[search.job.host], paced.now
	if _, ok := host.rounds[service]; !ok {
		pause := ProbeInterval/2 + time.Duration(paced.random.Int64N(int64(ProbeInterval)))
		paced.schedule(pause, func() { host.release(service, pacer.Leading) })
	}
	host.rounds[service] = append(host.rounds[service], func(phase pacer.Phase) {
		paced.schedule(0, func() { paced.place(job, search.waited+max(paced.now-from, 1), phase) })
	})
}

// release ends the wait of one request. A round without requests has no leader and ends.
func (pacedHost *pacedHost) release(service string, phase pacer.Phase) {
	if list := pacedHost.rounds[service]; len(list) > 0 {
		pacedHost.rounds[service] = list[1:]
		list[0](phase)
	} else if phase == pacer.Leading {
		delete(pacedHost.rounds, service)
	}
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
		paced.place(&again, 0, pacer.Arriving)
	})
}
