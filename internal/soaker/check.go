package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// evidence is a journal that is put in order for the checks.
type evidence struct {
	*journal
	// asked holds the requests by id.
	byID map[string]request
	// runsOf holds the runs of each request in the order of their start.
	runsOf map[string][]run
}

// checks are the promises, each with what finds where it did not hold.
var checks = []struct {
	promise string
	find    func(*evidence) []string
}{
	{"ran-once", ranTwice},
	{"not-run-is-true", refusedButRan},
	{"whole-answer", wrongAnswers},
	{"unchanged", unasked},
	{"routed", misrouted},
	{"served-route", denied},
	{"draining", drainedLate},
	{"routing-in-force", outdated},
	{"routing-never-back", wentBack},
	{"attempts", tooOften},
	{"budget", overBudget},
	{"stop-cuts-nothing", cutByStop},
	{"recovers", notRecovered},
}

// check finds where the promises did not hold.
func check(journal *journal) *Report {
	evidence := &evidence{journal: journal, byID: make(map[string]request), runsOf: make(map[string][]run)}
	slices.SortStableFunc(journal.runs, func(left, right run) int { return left.at.Compare(right.at) })
	for _, request := range journal.requests {
		evidence.byID[request.id] = request
	}
	for _, run := range journal.runs {
		evidence.runsOf[run.id] = append(evidence.runsOf[run.id], run)
	}
	report := &Report{violations: journal.faults, requests: len(journal.requests), runs: len(journal.runs), versions: len(journal.versions)}
	for _, request := range journal.requests {
		if request.status/100 == 2 {
			report.served++
		}
	}
	for _, check := range checks {
		for _, detail := range check.find(evidence) {
			report.violations = append(report.violations, Violation{promise: check.promise, detail: detail})
		}
	}
	return report
}

// calm reports whether nothing disturbed what from a moment to another, nor in
// the time after before it.
func (evidence *evidence) calm(what string, from, to time.Time, after time.Duration) bool {
	for _, span := range append(slices.Clone(evidence.spans[what]), evidence.spans[everywhere]...) {
		if span.covers(from, to, after) {
			return false
		}
	}
	return true
}

// inTouch reports whether a gateway had the store and the processor for long
// enough at a moment.
func (evidence *evidence) inTouch(gateway string, at time.Time) bool {
	return evidence.calm(gateway, at, at, stableWindow) && !evidence.leaving(gateway, at)
}

// leaving reports whether a gateway was told to stop shortly before.
func (evidence *evidence) leaving(gateway string, at time.Time) bool {
	for _, stop := range evidence.stops[gateway] {
		if !stop.After(at) && at.Sub(stop) < graceBound+stableWindow {
			return true
		}
	}
	return false
}

func ranTwice(evidence *evidence) (found []string) {
	for id, runs := range evidence.runsOf {
		if request, ok := evidence.byID[id]; ok && !request.repeatable && len(runs) > 1 {
			found = append(found, fmt.Sprintf("%s ran on %v", id, endpointsOf(runs)))
		}
	}
	return found
}

func endpointsOf(runs []run) []string {
	var names []string
	for _, run := range runs {
		names = append(names, run.endpoint)
	}
	return names
}

// promises are the statuses that say that a request has not run.
var promises = []int{
	http.StatusServiceUnavailable, http.StatusTooManyRequests,
	http.StatusRequestTimeout, http.StatusMisdirectedRequest,
}

func refusedButRan(evidence *evidence) (found []string) {
	for _, request := range evidence.requests {
		runs := evidence.runsOf[request.id]
		if !request.repeatable && len(runs) > 0 && slices.Contains(promises, request.status) {
			found = append(found, fmt.Sprintf("%s was answered %d and ran on %v", request.id, request.status, endpointsOf(runs)))
		}
	}
	return found
}

func wrongAnswers(evidence *evidence) (found []string) {
	for _, request := range evidence.requests {
		if request.status/100 != 2 {
			continue
		}
		if request.signed != request.id || request.answer != string(answerOf(request.id, request.signer)) {
			found = append(found, fmt.Sprintf("%s got %d bytes of an answer to %q by %q", request.id, len(request.answer), request.signed, request.signer))
		}
	}
	return found
}

func unasked(evidence *evidence) (found []string) {
	for _, run := range evidence.runs {
		request, ok := evidence.byID[run.id]
		if !ok || request.target != run.target || request.body != run.body {
			found = append(found, fmt.Sprintf("%s ran %q with %d bytes that its caller did not send", run.id, run.target, len(run.body)))
		}
	}
	return found
}

func misrouted(evidence *evidence) (found []string) {
	for _, run := range evidence.runs {
		if !allowed(run.target, run.service) {
			found = append(found, fmt.Sprintf("%s for %s ran on %s of %s", run.id, run.target, run.endpoint, run.service))
		}
	}
	return found
}

func denied(evidence *evidence) (found []string) {
	for _, request := range evidence.requests {
		if request.signer == "" && request.status/100 == 4 && !slices.Contains(promises, request.status) {
			found = append(found, fmt.Sprintf("%s got %d from %s", request.id, request.status, request.gateway))
		}
	}
	return found
}

func drainedLate(evidence *evidence) (found []string) {
	for _, run := range evidence.runs {
		drained, ok := evidence.drains[run.endpoint]
		request := evidence.byID[run.id]
		if !ok || run.at.Sub(drained) <= drainBound || !evidence.calm(everywhere, drained, drained, stableWindow) {
			continue
		}
		if evidence.inTouch(request.gateway, request.sent) && evidence.inTouch(request.gateway, run.at) {
			found = append(found, fmt.Sprintf("%s by %s reached %s %v after it was known to leave", run.id, request.gateway, run.endpoint, run.at.Sub(drained)))
		}
	}
	return found
}

func outdated(evidence *evidence) (found []string) {
	for _, run := range evidence.runs {
		version, request := versionOf(run.service), evidence.byID[run.id]
		if version == 0 || request.sent.IsZero() || !evidence.inTouch(request.gateway, request.sent) {
			continue
		}
		if due := evidence.versionAt(request.sent.Add(-applyBound)); version < due {
			found = append(found, fmt.Sprintf("%s by %s went by version %d, not %d", run.id, request.gateway, version, due))
		}
	}
	return found
}

// versionAt returns the version that was published last before a moment.
func (evidence *evidence) versionAt(at time.Time) uint64 {
	var newest uint64
	for index, published := range evidence.versions {
		if published.Before(at) {
			newest = uint64(index) + 1
		}
	}
	return newest
}

// life is one process of a gateway.
type life struct {
	gateway string
	number  int
}

func wentBack(evidence *evidence) (found []string) {
	// seen holds, for each process, when it first went by a version.
	seen := make(map[life]map[uint64]time.Time)
	for _, run := range evidence.runs {
		version, request := versionOf(run.service), evidence.byID[run.id]
		if version == 0 || request.sent.IsZero() {
			continue
		}
		process := life{gateway: request.gateway, number: request.life}
		if seen[process] == nil {
			seen[process] = make(map[uint64]time.Time)
		}
		for newer, at := range seen[process] {
			if newer > version && request.sent.Sub(at) > evidence.slack(request.gateway, at, request.sent) {
				found = append(found, fmt.Sprintf("%s by %s went by version %d, %v after %d", run.id, request.gateway, version, request.sent.Sub(at), newer))
			}
		}
		if _, ok := seen[process][version]; !ok {
			seen[process][version] = run.at
		}
	}
	return found
}

// slack returns how long a gateway may still show an old version.
func (evidence *evidence) slack(gateway string, from, to time.Time) time.Duration {
	for _, span := range append(slices.Clone(evidence.spans[gateway]), evidence.spans[everywhere]...) {
		if span.slowed && span.covers(from, to, stableWindow) {
			return slowedFactor * rollbackSlack
		}
	}
	return rollbackSlack
}

func tooOften(evidence *evidence) (found []string) {
	for id, runs := range evidence.runsOf {
		if len(runs) > attempts {
			found = append(found, fmt.Sprintf("%s ran on %v", id, endpointsOf(runs)))
		}
	}
	return found
}

func overBudget(evidence *evidence) (found []string) {
	repeats, firsts := make(map[string][]time.Time), make(map[string][]time.Time)
	for _, runs := range evidence.runsOf {
		for index, run := range runs {
			if index > 0 {
				repeats[run.service] = append(repeats[run.service], run.at)
			}
		}
	}
	for _, run := range evidence.runs {
		firsts[run.service] = append(firsts[run.service], run.at)
	}
	for service, times := range repeats {
		slices.SortFunc(times, time.Time.Compare)
		for index, at := range times {
			count := within(times[:index+1], at.Add(-budgetWindow), at)
			most := 0
			for _, earlier := range []time.Duration{0, budgetWindow / 2, budgetWindow} {
				most = max(most, within(firsts[service], at.Add(-budgetWindow-earlier), at.Add(-earlier)))
			}
			if float64(count) > budgetRatio*float64(most)+budgetSlack {
				found = append(found, fmt.Sprintf("%s ran %d repeats in %v for %d requests", service, count, budgetWindow, most))
				break
			}
		}
	}
	return found
}

func within(times []time.Time, from, to time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			count++
		}
	}
	return count
}

func cutByStop(evidence *evidence) (found []string) {
	for _, request := range evidence.requests {
		if request.sent.IsZero() || request.status != 0 || request.abandoned {
			continue
		}
		runs := evidence.runsOf[request.id]
		if len(runs) == 0 && request.ended.Sub(request.sent) <= lossSlack {
			continue
		}
		if evidence.stoppedDuring(request) && evidence.soundFor(request, runs) {
			found = append(found, fmt.Sprintf("%s by %s got no whole answer after %v; it ran on %v", request.id, request.gateway, request.ended.Sub(request.sent), endpointsOf(runs)))
		}
	}
	return found
}

// stoppedDuring reports whether the request's gateway was told to stop before
// the request ended, and nothing else disturbed it.
func (evidence *evidence) stoppedDuring(request request) bool {
	for _, stop := range evidence.stops[request.gateway] {
		if stop.Before(request.ended) && request.sent.Before(stop.Add(graceBound+time.Second)) {
			return evidence.calm(request.gateway, request.sent, request.ended, stableWindow)
		}
	}
	return false
}

// soundFor reports whether no endpoint of the request's runs was disturbed.
func (evidence *evidence) soundFor(request request, runs []run) bool {
	for _, run := range runs {
		if !evidence.calm(run.endpoint, request.sent, request.ended, stableWindow) {
			return false
		}
	}
	return true
}

func notRecovered(evidence *evidence) []string {
	owed, served := 0, 0
	for _, request := range evidence.requests {
		if request.sent.After(evidence.recovered) {
			owed++
			if request.status/100 == 2 {
				served++
			}
		}
	}
	if owed == 0 || float64(served) < servedShare*float64(owed) {
		return []string{fmt.Sprintf("%d of %d requests are served %v after the last event", served, owed, recoveryBound)}
	}
	return nil
}
