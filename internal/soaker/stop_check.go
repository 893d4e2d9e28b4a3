package soaker

import (
	"fmt"
	"slices"
	"time"
)

func interruptedByStop(observations *observations) (found []string) {
	for _, request := range observations.requests {
		runs := observations.runsOf[request.id]
		if request.sent.IsZero() || request.timedOut || request.status != 0 && !brokenOff(request, runs) {
			continue
		}
		if len(runs) == 0 && (request.brokenBehind || request.ended.Sub(request.sent) <= lossSlack) {
			continue // Where another answer broke off, the check judges that one.
		}
		if observations.stoppedDuring(request) && observations.endpointsUndisturbed(request, runs) && !observations.mayEnd(request, runs) {
			sigterm, _ := observations.firstStop(request)
			found = append(found, fmt.Sprintf("%s by %s with deadline %v got status %d (%v): begun %.3f s, sent %.3f s, ended %.3f s after SIGTERM; it ran on %v",
				request.id, request.gateway, request.deadline, request.status, request.failure, request.begun.Sub(sigterm).Seconds(),
				request.sent.Sub(sigterm).Seconds(), request.ended.Sub(sigterm).Seconds(), endpointsOf(runs)))
		}
	}
	return found
}

// brokenOff reports whether the gateway answered the request in place of an
// endpoint that was at work on it.
func brokenOff(request request, runs []run) bool {
	return request.signer == "" && slices.ContainsFunc(runs, func(run run) bool { return !run.endedBefore(request.ended.Add(-lossSlack)) })
}

// mayEnd reports whether a stop may end the request without its endpoint's answer:
// the endpoint was at work at its deadline, or the request was sent shortly after
// SIGTERM and the endpoint was at work in the last part of the grace time.
func (observations *observations) mayEnd(request request, runs []run) bool {
	deadline := request.begun.Add(request.deadline)
	if !request.ended.Before(deadline) && atWorkAt(runs, deadline) {
		return true
	}
	sigterm, ok := observations.firstStop(request)
	return ok && !request.sent.After(sigterm.Add(stableWindow)) && atWorkAt(runs, sigterm.Add(time.Duration(workShare*float64(graceBound))))
}

// atWorkAt reports whether one of runs had not ended by moment, and none was
// complete.
func atWorkAt(runs []run, moment time.Time) bool {
	atWork := false
	for _, run := range runs {
		if run.complete && run.endedBefore(moment) {
			return false
		}
		atWork = atWork || !run.endedBefore(moment)
	}
	return atWork
}

// firstStop returns the first SIGTERM to the process that received the request.
func (observations *observations) firstStop(request request) (time.Time, bool) {
	for _, stop := range observations.stops[request.gateway] {
		if stop.processNumber == request.processNumber {
			return stop.at, true
		}
	}
	return time.Time{}, false
}

// stoppedDuring reports whether the request's gateway was told to stop or to reload
// its settings before the request ended, with nothing else that excuses a cut.
func (observations *observations) stoppedDuring(request request) bool {
	for _, stop := range observations.stops[request.gateway] {
		if stop.at.Before(request.ended) && request.sent.Before(stop.at.Add(graceBound+time.Second)) {
			return !observations.excusesCut(request.gateway, request)
		}
	}
	for _, reload := range observations.reloads[request.gateway] {
		if reload.Before(request.ended) && request.sent.Before(reload.Add(applyBound)) {
			return !observations.excusesCut(request.gateway, request)
		}
	}
	return false
}

// endpointsUndisturbed reports whether no disturbance of the endpoints that ran the
// request excuses a cut.
func (observations *observations) endpointsUndisturbed(request request, runs []run) bool {
	for _, run := range runs {
		if observations.excusesCut(run.endpoint, request) {
			return false
		}
	}
	return true
}
