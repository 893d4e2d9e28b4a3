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
// Above the capacity of a service, each request beyond an endpoint's slots slows
// down all others there, so that if all were served, none would be answered in
// time. A request therefore waits only while it can still be answered in time,
// and only for the guaranteed share once most waits fail. A request that can't be
// answered in time is refused, which leaves the capacity to those that can.
func Judge(choice Choice, waited time.Duration) Verdict {
	if !choice.found {
		return Refuse
	}
	if !choice.allSaturated && choice.expectedRun <= choice.remaining {
		return Serve
	}
	slack := choice.timeBudget - time.Duration((1+reserveShare)*float64(choice.normalRun))
	maxWait := max(time.Duration(choice.waitSuccessRate*float64(slack+waited)), time.Duration(guaranteedWaitShare*float64(choice.timeBudget+waited)))
	if slack > ProbeInterval && waited+ProbeInterval <= maxWait {
		return Wait
	}
	if choice.expectedRun <= choice.timeBudget {
		return Serve
	}
	return Refuse
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
