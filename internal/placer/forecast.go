package placer

import (
	"math"
	"time"
)

// The model of the endpoints of a pool before its first answers.
const (
	// busyShare is the share of slots in use above which requests may slow down.
	busyShare = 0.8
	// initialBusySlowdown is the slowdown assumed for a busy endpoint.
	initialBusySlowdown = 1.7
	// idleShare is the share of slots in use below which an endpoint counts as idle.
	idleShare = 0.5
	// minBusySlowdown is the slowdown from which an endpoint counts as busy.
	minBusySlowdown = 1.2
	// coldSlowdown is the slowdown of an endpoint just after its start.
	coldSlowdown = 2
	// slowdownClasses is the number of classes of reported slowdowns. A class holds those
	// whose binary logarithm rounds to its number.
	slowdownClasses = 8
)

// effects are what the reports of a pool's endpoints mean for the run time of a
// request. An endpoint may change its speed many times during a request, so that the
// effect of a slowdown is smaller than the slowdown reported before it.
type effects struct {
	// slowdowns holds the factor of the run time by the class of the reported
	// slowdown; 0 if it has not been seen yet. That of class 0 is always 1.
	slowdowns [slowdownClasses]float64
	// busy is the factor of the run time at a busy endpoint.
	busy float64
	// pressure is the share of recent choices that were crowded, as of pressureAt. It
	// decays, so that it does not outlast a peak after which few requests come.
	pressure   float64
	pressureAt time.Time
}

// pressureRate is the weight of the newest choice in the pressure.
const pressureRate = 0.05

// pressureHalfLife is the half-life of the pressure.
const pressureHalfLife = time.Second

// recordChoice records whether the endpoint of a choice is crowded, and returns the
// pressure.
func (effects *effects) recordChoice(now time.Time, crowded bool) float64 {
	effects.pressure *= math.Exp2(-float64(now.Sub(effects.pressureAt)) / float64(pressureHalfLife))
	effects.pressureAt = now
	share := 0.0
	if crowded {
		share = 1
	}
	effects.pressure += pressureRate * (share - effects.pressure)
	return effects.pressure
}

// slowdownClass returns the class of a reported slowdown.
func slowdownClass(slowdown float64) int {
	return min(max(int(math.Round(math.Log2(max(slowdown, 1)))), 0), slowdownClasses-1)
}

// slowdown returns the expected factor of the run time at a reported slowdown.
func (effects *effects) slowdown(reported float64) float64 {
	class := slowdownClass(reported)
	if learned := effects.slowdowns[class]; learned > 0 {
		return min(learned, max(reported, 1))
	}
	return max(reported, 1)
}

// effects returns the effects of a pool's reports, and adds them if the pool is new; mu
// is held.
func (placer *Placer) effects(pool string) *effects {
	found, ok := placer.pools[pool]
	if !ok {
		found = &effects{busy: initialBusySlowdown}
		placer.pools[pool] = found
	}
	return found
}

// Forecast is the expected run time of a request and what it was computed from.
type Forecast struct {
	pool string
	// reported is the slowdown that the endpoint reported.
	reported float64
	// nearlyFull is true if the request takes one of the last slots, and busy if that
	// also slows the endpoint down.
	nearlyFull, busy bool
	// idle is true if the request is one of few at the endpoint.
	idle bool
	// lastSlot is true if the request takes the last free slot of several, or none is free.
	lastSlot bool
	// cold is true if the endpoint has just started.
	cold bool
	// queue is the factor of the run time by which a request waits in the endpoint.
	queue float64
	// crowded is true if the endpoint would do less work, or none sooner, with the
	// request than without.
	crowded bool
	// run is the expected run time, and normalRun that at normal speed, in nanoseconds.
	run, normalRun float64
}

// forecast returns the expected run time of a request; mu is held.
func (placer *Placer) forecast(candidate Candidate, class *class) Forecast {
	report, endpoint := candidate.report, candidate.endpoint
	slots := report.Slots()
	if slots == 0 {
		slots = endpoint.Slots()
	}
	running := report.Running() + concurrentArrivals[placer.distance(endpoint)]
	if report.Slots() == 0 {
		running = placer.record(endpoint.Name()).running
	}
	warmupLeft, known := report.WarmupLeft()
	if !known {
		warmupLeft = endpoint.WarmupLeft()
	}
	forecast := Forecast{
		pool: endpoint.Pool(), reported: report.Slowdown(), cold: warmupLeft > 0,
		nearlyFull: slots > 1 && float64(running+1) > busyShare*float64(slots), normalRun: class.normalRun,
	}
	effects := placer.effects(forecast.pool)
	forecast.idle = float64(running+1) < idleShare*float64(slots)
	forecast.busy = forecast.nearlyFull && effects.busy >= minBusySlowdown
	forecast.lastSlot = slots > 1 && running+1 >= slots
	factor := effects.slowdown(forecast.reported)
	if forecast.cold {
		factor *= coldSlowdown
	}
	if forecast.nearlyFull {
		factor *= effects.busy
		forecast.crowded = float64(running+1) < float64(running)*effects.busy
	}
	if slots > 0 && running >= slots {
		forecast.crowded = true
		// The running requests end at times spread evenly over one run time, so that on
		// average a slot becomes free after 1/slots of it.
		forecast.queue = float64(report.Waiting()+1) / float64(slots)
	}
	if forecast.nearlyFull && placer.distance(endpoint) != distanceCentre {
		forecast.crowded = true // The last slots are for the callers of the endpoint's data centre.
	}
	forecast.run = class.normalRun * factor * (1 + forecast.queue)
	return forecast
}

// learn learns from the run time of a request. mu is held.
func (placer *Placer) learn(class *class, forecast Forecast, run time.Duration) {
	observed := float64(run) / (1 + forecast.queue)
	if forecast.cold {
		observed /= coldSlowdown
	}
	effects := placer.effects(forecast.pool)
	slowed := slowdownClass(forecast.reported)
	if slowed > 0 {
		if forecast.nearlyFull {
			observed /= effects.busy
		}
		effects.slowdowns[slowed] = max(towards(effects.slowdown(forecast.reported), observed/class.normalRun), 1)
		return
	}
	if forecast.nearlyFull {
		effects.busy = max(towards(effects.busy, observed/class.normalRun), 1)
		return
	}
	class.normalRun = towards(class.normalRun, observed)
}

// medianStep is the share by which one observation moves an estimated median.
const medianStep = 0.05

// towards moves the estimated median of observations towards the newest one. A median
// is used since a few requests run many times longer than others, and the question is
// whether most are answered in time.
func towards(median, observed float64) float64 {
	if observed > median {
		return min(median*(1+medianStep), observed)
	}
	return max(median*(1-medianStep), observed)
}
