package soaker

import (
	"fmt"
	"testing"
	"time"
)

// journalStart is the start of the journals of these tests.
var journalStart = time.Unix(1000, 0)

func atSeconds(seconds float64) time.Time {
	return journalStart.Add(time.Duration(seconds * float64(time.Second)))
}

// servedRequest returns a request that was sent at a number of seconds after the
// start, ran once and was answered.
func servedRequest(id, target string, seconds float64) request {
	return request{
		id: id, target: target, repeatable: target[:5] != "/once", gateway: "g0", processNumber: 1, account: "clerks",
		deadline: usualDeadline, begun: atSeconds(seconds), sent: atSeconds(seconds), ended: atSeconds(seconds + 0.05), status: 200,
		answer: string(answerBody(id, "e")), signer: "e", signed: id,
	}
}

func runOn(request request, endpoint, service string) run {
	return run{
		id: request.id, endpoint: endpoint, service: service, target: request.target, at: request.sent, ended: request.ended,
		account: request.account, dataCentre: dataCentreName,
	}
}

// stoppedRequest is a request to the gateway that stops at 30 s; all times are in
// seconds.
type stoppedRequest struct {
	begun, sent, ended, workEnded float64
	// deadline is a bound beyond all others if 0.
	deadline float64
	status   int
	// notPassedOn is true if no endpoint ran it.
	notPassedOn bool
	// brokenBehind is true if an answer before it on its connection broke off.
	brokenBehind bool
	// workComplete is true if its endpoint has ended by itself.
	workComplete bool
}

// addTo adds the request to journal.
func (stopped stoppedRequest) addTo(journal *journal) {
	request := servedRequest("stopped", "/once/x", stopped.sent)
	request.gateway, request.signer, request.status = "g1", "", stopped.status
	request.brokenBehind = stopped.brokenBehind
	request.begun, request.ended, request.deadline = atSeconds(stopped.begun), atSeconds(stopped.ended), time.Minute
	if stopped.deadline > 0 {
		request.deadline = time.Duration(stopped.deadline * float64(time.Second))
	}
	journal.requests = append(journal.requests, request)
	if !stopped.notPassedOn {
		run := runOn(request, "e", onceService)
		run.ended, run.complete = atSeconds(stopped.workEnded), stopped.workComplete
		journal.runs = append(journal.runs, run)
	}
}

// validJournal returns a journal without violations: 40 s of requests on every
// route, versions published at 0, 10 and 20 s, and a gateway that stops at 30 s.
func validJournal() *journal {
	journal := &journal{recovered: atSeconds(35), versions: []time.Time{atSeconds(0), atSeconds(10), atSeconds(20)}}
	for step := range 400 {
		seconds := 5 + float64(step)/10
		many := servedRequest(fmt.Sprint("many-", step), "/many/x", seconds)
		once := servedRequest(fmt.Sprint("once-", step), "/once/x", seconds)
		moved := servedRequest(fmt.Sprint("moved-", step), "/moved/x", seconds)
		version := uint64(1)
		if seconds > 11 {
			version = 2
		}
		if seconds > 21 {
			version = 3
		}
		journal.requests = append(journal.requests, many, once, moved)
		journal.runs = append(journal.runs, runOn(many, "e", manyService), runOn(once, "e", onceService), runOn(moved, "e", movedServiceOf(version)))
	}
	journal.stops = map[string][]stop{"g1": {{at: atSeconds(30), processNumber: 1}}}
	return journal
}

func TestChecks(t *testing.T) {
	for guarantee, corrupt := range map[string]func(journal *journal){
		"": func(*journal) {},
		"ran-once": func(journal *journal) {
			journal.runs = append(journal.runs, runOn(journal.requests[1], "f", onceService))
		},
		"not-run-is-true": func(journal *journal) { journal.requests[1].status = 503 },
		"whole-answer":    func(journal *journal) { journal.requests[0].answer = journal.requests[0].answer[1:] },
		"unchanged":       func(journal *journal) { journal.runs[0].body = "more" },
		"routed":          func(journal *journal) { journal.runs[0].service = onceService },
		"served-route": func(journal *journal) {
			journal.requests[0].status, journal.requests[0].signer = 404, ""
		},
		"draining": func(journal *journal) { journal.drains = map[string]time.Time{"e": atSeconds(41)} },
		"routing-in-force": func(journal *journal) {
			journal.versions = append(journal.versions, atSeconds(36))
		},
		"routing-never-back": func(journal *journal) {
			// The gateway is disturbed, so that only the order of versions is
			// checked.
			journal.disturbances = map[string][]disturbance{"g0": {{from: journalStart, to: atSeconds(60)}}}
			late := servedRequest("late", "/moved/x", 30)
			journal.requests = append(journal.requests, late)
			journal.runs = append(journal.runs, runOn(late, "e", movedServiceOf(2)))
		},
		"attempts": func(journal *journal) {
			for _, endpoint := range []string{"f", "g", "h"} {
				journal.runs = append(journal.runs, runOn(journal.requests[0], endpoint, manyService))
			}
		},
		"budget": func(journal *journal) {
			for step := range 100 {
				journal.runs = append(journal.runs, runOn(journal.requests[3*step], "f", manyService))
			}
		},
		"stop-cuts-nothing": func(journal *journal) {
			cut := servedRequest("cut", "/once/x", 31)
			cut.gateway, cut.status = "g1", 0
			journal.requests = append(journal.requests, cut)
			journal.runs = append(journal.runs, runOn(cut, "e", onceService))
		},
		"account": func(journal *journal) { journal.runs[0].account = "notaries" },
		"withdrawn-key": func(journal *journal) {
			late := servedRequest("late", "/many/x", 30)
			late.keyVersion = 1
			journal.requests = append(journal.requests, late)
			journal.runs = append(journal.runs, runOn(late, "e", manyService))
		},
		"quota": func(journal *journal) {
			for number := range int((quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage)) + quotaSlack + 1 {
				request := servedRequest(fmt.Sprint("quota-", number), "/many/x", 30+float64(number)/100)
				request.account = limitedAccount
				journal.requests = append(journal.requests, request)
				journal.runs = append(journal.runs, runOn(request, "e", manyService))
			}
		},
		"evacuated": func(journal *journal) { journal.addEvacuation(dataCentreName, atSeconds(20), atSeconds(25.5)) },
		"regions": func(journal *journal) {
			for index, run := range journal.runs {
				if run.service == onceService {
					journal.runs[index].dataCentre = farDataCentreName
				}
			}
		},
		"recovers": func(journal *journal) {
			for index, request := range journal.requests {
				if request.sent.After(journal.recovered) {
					journal.requests[index].status = 502
				}
			}
		},
	} {
		journal := validJournal()
		corrupt(journal)
		found := make(map[string]int)
		for _, violation := range check(journal).Violations() {
			found[violation.Guarantee()]++
		}
		if guarantee == "" && len(found) > 0 || guarantee != "" && (len(found) != 1 || found[guarantee] == 0) {
			t.Errorf("%q violated: found %v", guarantee, found)
		}
	}
}

// TestCutByStop checks which requests without an endpoint's answer count as cut by a
// stop.
func TestCutByStop(t *testing.T) {
	for name, test := range map[string]struct {
		stopped stoppedRequest
		cut     bool
	}{
		"closed before the last sixth of the grace time":        {stoppedRequest{begun: 31, sent: 31.1, ended: 34.9, workEnded: 34.9}, true},
		"closed in the last sixth":                              {stoppedRequest{begun: 31, sent: 31.1, ended: 35.6, workEnded: 35.6}, false},
		"closed in the last sixth after its endpoint had ended": {stoppedRequest{begun: 31, sent: 31.1, ended: 35.6, workEnded: 34}, true},
		"last byte late":                                    {stoppedRequest{begun: 32.5, sent: 33.5, ended: 35.6, workEnded: 35.6}, true},
		"all bytes late":                                    {stoppedRequest{begun: 33.5, sent: 33.6, ended: 35.6, workEnded: 35.6}, true},
		"sent before SIGTERM and closed early":              {stoppedRequest{begun: 28, sent: 29, ended: 32, workEnded: 32}, true},
		"not passed on and closed at once":                  {stoppedRequest{begun: 31, sent: 32, ended: 32.1, notPassedOn: true}, false},
		"not passed on and closed later":                    {stoppedRequest{begun: 31, sent: 32, ended: 32.3, notPassedOn: true}, true},
		"not passed on behind a broken answer":              {stoppedRequest{begun: 31, sent: 32, ended: 32.3, notPassedOn: true, brokenBehind: true}, false},
		"passed on behind a broken answer":                  {stoppedRequest{begun: 31, sent: 32, ended: 32.3, workEnded: 32.3, brokenBehind: true}, true},
		"refused without being passed on":                   {stoppedRequest{begun: 31, sent: 32, ended: 33, status: 503, notPassedOn: true}, false},
		"answered in place of an endpoint at work":          {stoppedRequest{begun: 32.5, sent: 33.5, ended: 34, workEnded: 34, status: 502}, true},
		"answered after its endpoint had broken off":        {stoppedRequest{begun: 32.5, sent: 33.5, ended: 34, workEnded: 33.7, status: 502}, false},
		"deadline reached while its endpoint was at work":   {stoppedRequest{begun: 31, sent: 32, ended: 34, workEnded: 34.1, deadline: 3}, false},
		"passed on after its deadline":                      {stoppedRequest{begun: 30, sent: 33.5, ended: 34.3, workEnded: 34.3, deadline: 3, status: 504}, false},
		"closed after its deadline, its endpoint had ended": {stoppedRequest{begun: 31, sent: 32, ended: 34.5, workEnded: 33, deadline: 3}, true},
		"deadline reached without being passed on":          {stoppedRequest{begun: 31, sent: 32, ended: 34, notPassedOn: true, deadline: 3}, true},
		"deadline not reached":                              {stoppedRequest{begun: 31, sent: 32, ended: 33.9, workEnded: 33.9, deadline: 3}, true},
	} {
		journal := validJournal()
		test.stopped.addTo(journal)
		violations := check(journal).Violations()
		if cut := len(violations) == 1 && violations[0].Guarantee() == "stop-cuts-nothing"; cut != test.cut || !cut && len(violations) > 0 {
			t.Errorf("%s: got %v", name, violations)
		}
	}
}

// TestCutByReload checks that a request that is cut after its gateway was told to
// reload its settings counts, if it was sent before or shortly after that.
func TestCutByReload(t *testing.T) {
	for sent, want := range map[float64]bool{19: true, 21.9: true, 22.1: false} {
		journal := validJournal()
		journal.reloads = map[string][]time.Time{"g1": {atSeconds(20)}}
		stoppedRequest{begun: sent, sent: sent, ended: sent + 2, workEnded: sent + 2}.addTo(journal)
		violations := check(journal).Violations()
		if cut := len(violations) == 1 && violations[0].Guarantee() == "stop-cuts-nothing"; cut != want || !cut && len(violations) > 0 {
			t.Errorf("sent %v s after the reload: got %v", sent-20, violations)
		}
	}
}

// TestCutByLostHedge checks that an endpoint that is still at work does not excuse the
// loss of another one's complete answer.
func TestCutByLostHedge(t *testing.T) {
	for _, complete := range []bool{false, true} {
		journal := validJournal()
		stoppedRequest{begun: 31, sent: 31.1, ended: 35.6, workEnded: 33, workComplete: complete}.addTo(journal)
		journal.requests[len(journal.requests)-1].repeatable = true
		hedge := journal.runs[len(journal.runs)-1]
		hedge.endpoint, hedge.ended, hedge.complete = "f", atSeconds(35.6), false
		journal.runs = append(journal.runs, hedge)
		if cut := len(check(journal).Violations()) > 0; cut != complete {
			t.Errorf("first endpoint complete: %v, counted as cut: %v", complete, cut)
		}
	}
}

// TestCutByStopBesideStoreFaults checks that a disturbance of the store excuses no cut,
// and that one of the gateway or of its processor does.
func TestCutByStopBesideStoreFaults(t *testing.T) {
	from, to := atSeconds(31), atSeconds(34)
	for name, test := range map[string]struct {
		disturb func(journal *journal)
		cut     bool
	}{
		"store unavailable to all":       {func(journal *journal) { journal.addStoreDisturbance(everywhere, from, to) }, true},
		"store unavailable to a gateway": {func(journal *journal) { journal.addStoreDisturbance("g1", from, to) }, true},
		"gateway paused":                 {func(journal *journal) { journal.addDisturbance("g1", from, to, true) }, false},
		"no processor time":              {func(journal *journal) { journal.addDisturbance(everywhere, from, to, true) }, false},
	} {
		journal := validJournal()
		test.disturb(journal)
		stoppedRequest{begun: 32.5, sent: 33.5, ended: 35.6, workEnded: 35.6}.addTo(journal)
		violations := check(journal).Violations()
		if cut := len(violations) == 1 && violations[0].Guarantee() == "stop-cuts-nothing"; cut != test.cut || !cut && len(violations) > 0 {
			t.Errorf("%s: got %v", name, violations)
		}
	}
}

// TestChecksTolerateDisturbances checks that failures which a disturbance
// explains are not reported as violations.
func TestChecksTolerateDisturbances(t *testing.T) {
	for name, corrupt := range map[string]func(journal *journal){
		"a withdrawn key that is rejected": func(journal *journal) {
			late := servedRequest("late", "/many/x", 30)
			late.keyVersion, late.status, late.signer = 1, 401, ""
			journal.requests = append(journal.requests, late)
		},
		"a late version while the gateway was paused": func(journal *journal) {
			journal.versions = append(journal.versions, atSeconds(36))
			journal.disturbances = map[string][]disturbance{"g0": {{from: atSeconds(35), to: atSeconds(60)}}}
		},
		"a late drain while the store was unavailable": func(journal *journal) {
			journal.drains = map[string]time.Time{"e": atSeconds(41)}
			journal.disturbances = map[string][]disturbance{everywhere: {{from: atSeconds(40), to: atSeconds(60)}}}
		},
		"a broken answer of a disturbed endpoint": func(journal *journal) {
			cut := servedRequest("cut", "/once/x", 31)
			cut.gateway, cut.status = "g1", 0
			journal.requests = append(journal.requests, cut)
			journal.runs = append(journal.runs, runOn(cut, "f", onceService))
			journal.disturbances = map[string][]disturbance{"f": {{from: atSeconds(30), to: atSeconds(32)}}}
		},
		"a request sent while the gateway closed the connection": func(journal *journal) {
			cut := servedRequest("cut", "/once/x", 31)
			cut.gateway, cut.status = "g1", 0
			journal.requests = append(journal.requests, cut)
		},
	} {
		journal := validJournal()
		corrupt(journal)
		if violations := check(journal).Violations(); len(violations) > 0 {
			t.Errorf("%s: %v", name, violations[0])
		}
	}
}

// TestRandomPlan checks that a seed always gives the same plan, that some seeds
// together give every kind, and that all events end in time.
func TestRandomPlan(t *testing.T) {
	const length = 12 * time.Second
	seen := make(map[Kind]bool)
	for seed := range uint64(50) {
		plan := RandomPlan(seed, Kinds(), 5, supervisorCount, length)
		if plan.String() != RandomPlan(seed, Kinds(), 5, supervisorCount, length).String() {
			t.Errorf("seed %d gives two different plans", seed)
		}
		for _, event := range plan {
			seen[event.kind] = true
			if event.at+event.duration > length {
				t.Errorf("seed %d: %v ends after %v", seed, event, length)
			}
		}
	}
	if len(seen) != len(kinds) {
		t.Errorf("%d of %d kinds occur in the plans", len(seen), len(kinds))
	}
}
