package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// observations is a journal with indexes for the checks.
type observations struct {
	*journal
	// byID holds the requests by id.
	byID map[string]request
	// runsOf holds the runs of each request in the order of their start.
	runsOf map[string][]run
}

// checks lists the guarantees, each with the function that finds its violations.
var checks = []struct {
	guarantee string
	find      func(*observations) []string
}{
	{"ran-once", ranTwice},
	{"not-run-is-true", refusedButRan},
	{"whole-answer", wrongAnswers},
	{"unchanged", unexpectedRuns},
	{"routed", misrouted},
	{"served-route", unexpectedClientErrors},
	{"draining", routedAfterDrain},
	{"routing-in-force", staleRouting},
	{"routing-never-back", routingRolledBack},
	{"attempts", tooManyAttempts},
	{"budget", overRetryBudget},
	{"stop-cuts-nothing", interruptedByStop},
	{"account", wrongAccounts},
	{"withdrawn-key", withdrawnKeys},
	{"quota", overQuota},
	{"evacuated", routedAfterEvacuation},
	{"regions", outsideRegions},
	{"recovers", notRecovered},
}

// check returns a report with all violations of the guarantees.
func check(journal *journal) *Report {
	observations := &observations{journal: journal, byID: make(map[string]request), runsOf: make(map[string][]run)}
	slices.SortStableFunc(journal.runs, func(left, right run) int { return left.at.Compare(right.at) })
	for _, request := range journal.requests {
		observations.byID[request.id] = request
	}
	for _, run := range journal.runs {
		observations.runsOf[run.id] = append(observations.runsOf[run.id], run)
	}
	report := &Report{violations: journal.violations, requests: len(journal.requests), runs: len(journal.runs), versions: len(journal.versions)}
	for _, request := range journal.requests {
		if request.status/100 == 2 {
			report.served++
		}
	}
	for _, check := range checks {
		for _, detail := range check.find(observations) {
			report.violations = append(report.violations, Violation{guarantee: check.guarantee, detail: detail})
		}
	}
	return report
}

// undisturbed reports whether target had no disturbance between from and to, and
// none that ended less than after before from.
func (observations *observations) undisturbed(target string, from, to time.Time, after time.Duration) bool {
	return len(observations.disturbancesOf(target, from, to, after)) == 0
}

// disturbancesOf returns the disturbances of target between from and to, and those
// that ended less than after before from.
func (observations *observations) disturbancesOf(target string, from, to time.Time, after time.Duration) (found []disturbance) {
	for _, disturbance := range append(slices.Clone(observations.disturbances[target]), observations.disturbances[everywhere]...) {
		if disturbance.overlaps(from, to, after) {
			found = append(found, disturbance)
		}
	}
	return found
}

// excusesCut reports whether a disturbance of target excuses that the request was
// cut. A disturbance of the store alone does not.
func (observations *observations) excusesCut(target string, request request) bool {
	return slices.ContainsFunc(observations.disturbancesOf(target, request.sent, request.ended, stableWindow), func(disturbance disturbance) bool {
		return !disturbance.ofStore
	})
}

// connected reports whether a gateway was undisturbed for stableWindow before at,
// so that it had access to the store, and was not shutting down.
func (observations *observations) connected(gateway string, at time.Time) bool {
	return observations.undisturbed(gateway, at, at, stableWindow) && !observations.shuttingDown(gateway, at)
}

// shuttingDown reports whether a gateway was told to stop shortly before at.
func (observations *observations) shuttingDown(gateway string, at time.Time) bool {
	for _, stop := range observations.stops[gateway] {
		if !stop.at.After(at) && at.Sub(stop.at) < graceBound+stableWindow {
			return true
		}
	}
	return false
}

func ranTwice(observations *observations) (found []string) {
	for id, runs := range observations.runsOf {
		if request, ok := observations.byID[id]; ok && !request.repeatable && len(runs) > 1 {
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

// notRunStatuses are the statuses that state that a request has not run.
var notRunStatuses = []int{
	http.StatusServiceUnavailable, http.StatusTooManyRequests,
	http.StatusRequestTimeout, http.StatusMisdirectedRequest,
}

func refusedButRan(observations *observations) (found []string) {
	for _, request := range observations.requests {
		runs := observations.runsOf[request.id]
		if !request.repeatable && len(runs) > 0 && slices.Contains(notRunStatuses, request.status) {
			found = append(found, fmt.Sprintf("%s was answered %d but ran on %v", request.id, request.status, endpointsOf(runs)))
		}
	}
	return found
}

func wrongAnswers(observations *observations) (found []string) {
	for _, request := range observations.requests {
		if request.status/100 != 2 {
			continue
		}
		if request.signed != request.id || request.answer != string(answerBody(request.id, request.signer)) {
			found = append(found, fmt.Sprintf("%s got %d bytes of an answer to %q by %q", request.id, len(request.answer), request.signed, request.signer))
		}
	}
	return found
}

func unexpectedRuns(observations *observations) (found []string) {
	for _, run := range observations.runs {
		request, ok := observations.byID[run.id]
		if !ok || request.target != run.target || request.body != run.body {
			found = append(found, fmt.Sprintf("%s ran %q with %d bytes that its caller did not send", run.id, run.target, len(run.body)))
		}
	}
	return found
}

func misrouted(observations *observations) (found []string) {
	for _, run := range observations.runs {
		if !routeAllows(run.target, run.service) {
			found = append(found, fmt.Sprintf("%s for %s ran on %s of %s", run.id, run.target, run.endpoint, run.service))
		}
	}
	return found
}

func unexpectedClientErrors(observations *observations) (found []string) {
	for _, request := range observations.requests {
		rejectedKey := request.status == http.StatusUnauthorized && request.keyVersion > 0 // See keyRejectedInForce.
		if request.signer == "" && request.status/100 == 4 && !slices.Contains(notRunStatuses, request.status) &&
			(!rejectedKey || observations.keyRejectedInForce(request)) {
			found = append(found, fmt.Sprintf("%s got %d from %s", request.id, request.status, request.gateway))
		}
	}
	return found
}

func routedAfterDrain(observations *observations) (found []string) {
	for _, run := range observations.runs {
		drained, ok := observations.drains[run.endpoint]
		request := observations.byID[run.id]
		if !ok || run.at.Sub(drained) <= drainBound || !observations.undisturbed(everywhere, drained, drained, stableWindow) {
			continue
		}
		if observations.connected(request.gateway, request.sent) && observations.connected(request.gateway, run.at) {
			found = append(found, fmt.Sprintf("%s by %s ran on %s %v after its drain or removal was published", run.id, request.gateway, run.endpoint, run.at.Sub(drained)))
		}
	}
	return found
}

func staleRouting(observations *observations) (found []string) {
	for _, run := range observations.runs {
		version, request := versionOf(run.service), observations.byID[run.id]
		if version == 0 || request.sent.IsZero() || !observations.connected(request.gateway, request.sent) {
			continue
		}
		if due := observations.versionAt(request.sent.Add(-applyBound)); version < due {
			found = append(found, fmt.Sprintf("%s by %s used version %d instead of %d", run.id, request.gateway, version, due))
		}
	}
	return found
}

// versionAt returns the version that was last published before at.
func (observations *observations) versionAt(at time.Time) uint64 {
	var newest uint64
	for index, published := range observations.versions {
		if published.Before(at) {
			newest = uint64(index) + 1
		}
	}
	return newest
}

// gatewayProcess identifies one process of a gateway.
type gatewayProcess struct {
	gateway string
	number  int
}

func routingRolledBack(observations *observations) (found []string) {
	// seen holds, for each process, when it first used a version.
	seen := make(map[gatewayProcess]map[uint64]time.Time)
	for _, run := range observations.runs {
		version, request := versionOf(run.service), observations.byID[run.id]
		if version == 0 || request.sent.IsZero() {
			continue
		}
		process := gatewayProcess{gateway: request.gateway, number: request.processNumber}
		if seen[process] == nil {
			seen[process] = make(map[uint64]time.Time)
		}
		for newer, at := range seen[process] {
			if newer > version && request.sent.Sub(at) > observations.rollbackSlackAt(request.gateway, at, request.sent) {
				found = append(found, fmt.Sprintf("%s by %s used version %d, %v after version %d", run.id, request.gateway, version, request.sent.Sub(at), newer))
			}
		}
		if _, ok := seen[process][version]; !ok {
			seen[process][version] = run.at
		}
	}
	return found
}

// rollbackSlackAt returns how long a gateway may still use an older version
// after a newer one.
func (observations *observations) rollbackSlackAt(gateway string, from, to time.Time) time.Duration {
	for _, disturbance := range append(slices.Clone(observations.disturbances[gateway]), observations.disturbances[everywhere]...) {
		if disturbance.slowed && disturbance.overlaps(from, to, stableWindow) {
			return slowedFactor * rollbackSlack
		}
	}
	return rollbackSlack
}

func tooManyAttempts(observations *observations) (found []string) {
	for id, runs := range observations.runsOf {
		if len(runs) > attempts {
			found = append(found, fmt.Sprintf("%s ran on %v", id, endpointsOf(runs)))
		}
	}
	return found
}

func overRetryBudget(observations *observations) (found []string) {
	retries, serviceRuns := make(map[string][]time.Time), make(map[string][]time.Time)
	for _, runs := range observations.runsOf {
		for index, run := range runs {
			if index > 0 {
				retries[run.service] = append(retries[run.service], run.at)
			}
		}
	}
	for _, run := range observations.runs {
		serviceRuns[run.service] = append(serviceRuns[run.service], run.at)
	}
	for service, times := range retries {
		slices.SortFunc(times, time.Time.Compare)
		for index, at := range times {
			count := countWithin(times[:index+1], at.Add(-budgetWindow), at)
			maxRuns := 0
			for _, earlier := range []time.Duration{0, budgetWindow / 2, budgetWindow} {
				maxRuns = max(maxRuns, countWithin(serviceRuns[service], at.Add(-budgetWindow-earlier), at.Add(-earlier)))
			}
			if float64(count) > budgetRatio*float64(maxRuns)+budgetSlack {
				found = append(found, fmt.Sprintf("%s ran %d retries in %v for %d runs", service, count, budgetWindow, maxRuns))
				break
			}
		}
	}
	return found
}

func countWithin(times []time.Time, from, to time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			count++
		}
	}
	return count
}

func notRecovered(observations *observations) []string {
	total, served := 0, 0
	for _, request := range observations.requests {
		if request.sent.After(observations.recovered) {
			total++
			if request.status/100 == 2 {
				served++
			}
		}
	}
	if total == 0 || float64(served) < minServedShare*float64(total) {
		return []string{fmt.Sprintf("%d of %d requests were served %v after the last event", served, total, recoveryBound)}
	}
	return nil
}
