package placer

import "time"

// Verdict is the outcome of Judge for a request.
type Verdict int

// The verdicts.
const (
	// Serve means that the request is sent to the chosen endpoint.
	Serve Verdict = iota
	// Wait means that the endpoints are probed again after an interval.
	Wait
	// Refuse means that the request is refused at once and does not run.
	Refuse
)

// Limits on how long a request waits for capacity.
const (
	// ProbeInterval is the mean time between two rounds of probes: much shorter
	// than the run time of a request, much longer than a round.
	ProbeInterval = 40 * time.Millisecond
	// guaranteedWaitShare is the share of the time budget that every request may
	// wait, whatever the success rate of earlier waits.
	guaranteedWaitShare = 1.0 / 8
	// successRateWeight is the weight of the newest wait in the success rate.
	successRateWeight = 0.1
	// reserveShare is the reserve for network and processing time, as a share of
	// the run time at normal speed.
	reserveShare = 0.15
)

// Judge decides whether a request is served by choice, waits for capacity, or is
// refused; waited is how long it has waited already.
//
// Above the capacity of a service, each request at a crowded endpoint slows down all
// others there, so that if all were served, none would be answered in time. A request
// therefore never joins the queue of an endpoint. It waits while it can still be
// answered in time, but only for the guaranteed share once most waits fail. While most
// endpoints are crowded, slots that slow an endpoint down are for requests of the
// highest priority, and no slot is for a request that is too late already. A request that
// package sharer holds back leaves the last slot of an endpoint to others; in replays,
// leaving the last two of six earned less.
func Judge(choice Choice, waited time.Duration) Verdict {
	if !choice.found {
		return Refuse
	}
	forecast := choice.forecast
	calm := choice.pressure < calmPressure
	reserved := choice.standing.HeldBack() && forecast.lastSlot
	available := !forecast.crowded && !(choice.yields && forecast.busy) || (calm || choice.explores) && forecast.queue == 0
	spare := forecast.queue <= maxQueue && (forecast.idle || !forecast.busy && choice.pressure < yieldPressure || !forecast.crowded && calm)
	if !reserved && (available && choice.expectedRun <= choice.timeBudget || spare && choice.expectedRun <= choice.remaining) {
		return Serve
	}
	slack := choice.timeBudget - time.Duration((1+reserveShare)*float64(choice.normalRun))
	maxWait := max(time.Duration(choice.waitSuccessRate*float64(slack+waited)), time.Duration(guaranteedWaitShare*float64(choice.timeBudget+waited)))
	if slack > ProbeInterval && waited+ProbeInterval <= maxWait {
		return Wait
	}
	return Refuse
}

// exploreShare is the share of requests that may use a crowded endpoint, so that the
// slowdown of such endpoints is learned.
const exploreShare = 0.1

// maxQueue bounds the queue of an endpoint that a request may join, as a multiple of the
// endpoint's slots. Endpoints queue twice as many requests as they have slots and hang when
// they get more; the other half is for requests of hosts that saw the same report.
const maxQueue = 1

// Shares of crowded choices in a pool.
const (
	// calmPressure is the share below which the pool has capacity to spare.
	calmPressure = 0.1
	// yieldPressure is the share from which requests give way to those of a higher
	// priority.
	yieldPressure = 0.3
)

// isOutranked reports whether the pool also runs requests of a higher priority; mu is
// held.
func (placer *Placer) isOutranked(pool string, request Request) bool {
	for _, class := range placer.classes {
		if class.pool == pool && class.priority > request.priority {
			return true
		}
	}
	return false
}

// RecordWait records whether a request that waited for capacity found some.
func (placer *Placer) RecordWait(request Request, found bool) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	class := placer.class(request)
	share := 0.0
	if found {
		share = 1
	}
	class.waitSuccessRate += successRateWeight * (share - class.waitSuccessRate)
}

// Bounds of the delay after which a refused caller should return.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 500 * time.Millisecond
)

// RetryAfter returns the delay after which a refused caller should return; share is a
// random number from 0 to 1, so that callers refused together do not return together.
func RetryAfter(share float64) time.Duration {
	return minRetryAfter + time.Duration(share*float64(maxRetryAfter-minRetryAfter))
}
