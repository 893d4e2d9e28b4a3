package soaker

import (
	"fmt"
	"testing"
	"time"
)

// start is when the journals of these tests begin.
var start = time.Unix(1000, 0)

func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// good returns a request that ran once and was answered, sent at a moment.
func good(id, target string, seconds float64) request {
	return request{
		id: id, target: target, repeatable: target[:5] != "/once", gateway: "g0", life: 1,
		sent: after(seconds), ended: after(seconds + 0.05), status: 200,
		answer: string(answerOf(id, "e")), signer: "e", signed: id,
	}
}

func ranOn(request request, endpoint, service string) run {
	return run{id: request.id, endpoint: endpoint, service: service, target: request.target, at: request.sent}
}

// calmJournal returns a journal in which all promises hold: 40 s of requests on
// every route, versions at 0, 10 and 20 s, and a gateway that stops at 30 s.
func calmJournal() *journal {
	journal := &journal{recovered: after(35), versions: []time.Time{after(0), after(10), after(20)}}
	for step := range 400 {
		seconds := 5 + float64(step)/10
		many := good(fmt.Sprint("many-", step), "/many/x", seconds)
		once := good(fmt.Sprint("once-", step), "/once/x", seconds)
		moved := good(fmt.Sprint("moved-", step), "/moved/x", seconds)
		version := uint64(1)
		if seconds > 11 {
			version = 2
		}
		if seconds > 21 {
			version = 3
		}
		journal.requests = append(journal.requests, many, once, moved)
		journal.runs = append(journal.runs, ranOn(many, "e", manyService), ranOn(once, "e", onceService), ranOn(moved, "e", movedServiceOf(version)))
	}
	journal.stops = map[string][]time.Time{"g1": {after(30)}}
	return journal
}

func TestChecks(t *testing.T) {
	for promise, spoil := range map[string]func(journal *journal){
		"": func(*journal) {},
		"ran-once": func(journal *journal) {
			journal.runs = append(journal.runs, ranOn(journal.requests[1], "f", onceService))
		},
		"not-run-is-true": func(journal *journal) { journal.requests[1].status = 503 },
		"whole-answer":    func(journal *journal) { journal.requests[0].answer = journal.requests[0].answer[1:] },
		"unchanged":       func(journal *journal) { journal.runs[0].body = "more" },
		"routed":          func(journal *journal) { journal.runs[0].service = onceService },
		"served-route": func(journal *journal) {
			journal.requests[0].status, journal.requests[0].signer = 404, ""
		},
		"draining": func(journal *journal) { journal.drains = map[string]time.Time{"e": after(41)} },
		"routing-in-force": func(journal *journal) {
			journal.versions = append(journal.versions, after(36))
		},
		"routing-never-back": func(journal *journal) {
			// The host is out of touch, so that only the order of versions counts.
			journal.spans = map[string][]span{"g0": {{from: start, to: after(60)}}}
			late := good("late", "/moved/x", 30)
			journal.requests = append(journal.requests, late)
			journal.runs = append(journal.runs, ranOn(late, "e", movedServiceOf(2)))
		},
		"attempts": func(journal *journal) {
			for _, endpoint := range []string{"f", "g", "h"} {
				journal.runs = append(journal.runs, ranOn(journal.requests[0], endpoint, manyService))
			}
		},
		"budget": func(journal *journal) {
			for step := range 100 {
				journal.runs = append(journal.runs, ranOn(journal.requests[3*step], "f", manyService))
			}
		},
		"stop-cuts-nothing": func(journal *journal) {
			cut := good("cut", "/once/x", 31)
			cut.gateway, cut.status = "g1", 0
			journal.requests = append(journal.requests, cut)
			journal.runs = append(journal.runs, ranOn(cut, "e", onceService))
		},
		"recovers": func(journal *journal) {
			for index, request := range journal.requests {
				if request.sent.After(journal.recovered) {
					journal.requests[index].status = 502
				}
			}
		},
	} {
		journal := calmJournal()
		spoil(journal)
		found := make(map[string]int)
		for _, violation := range check(journal).Violations() {
			found[violation.Promise()]++
		}
		if promise == "" && len(found) > 0 || promise != "" && (len(found) != 1 || found[promise] == 0) {
			t.Errorf("%q spoiled: found %v", promise, found)
		}
	}
}

// TestChecksAllow shows what disturbances allow.
func TestChecksAllow(t *testing.T) {
	for name, spoil := range map[string]func(journal *journal){
		"a late version while the gateway was paused": func(journal *journal) {
			journal.versions = append(journal.versions, after(36))
			journal.spans = map[string][]span{"g0": {{from: after(35), to: after(60)}}}
		},
		"a late drain while the store was away": func(journal *journal) {
			journal.drains = map[string]time.Time{"e": after(41)}
			journal.spans = map[string][]span{everywhere: {{from: after(40), to: after(60)}}}
		},
		"a cut answer of a cut endpoint": func(journal *journal) {
			cut := good("cut", "/once/x", 31)
			cut.gateway, cut.status = "g1", 0
			journal.requests = append(journal.requests, cut)
			journal.runs = append(journal.runs, ranOn(cut, "f", onceService))
			journal.spans = map[string][]span{"f": {{from: after(30), to: after(32)}}}
		},
		"a request that crossed the close": func(journal *journal) {
			cut := good("cut", "/once/x", 31)
			cut.gateway, cut.status = "g1", 0
			journal.requests = append(journal.requests, cut)
		},
	} {
		journal := calmJournal()
		spoil(journal)
		if violations := check(journal).Violations(); len(violations) > 0 {
			t.Errorf("%s: %v", name, violations[0])
		}
	}
}

// TestDraw draws the same plan for the same seed, and every kind over some
// seeds, with all events over in time.
func TestDraw(t *testing.T) {
	const length = 12 * time.Second
	seen := make(map[Kind]bool)
	for seed := range uint64(50) {
		plan := Draw(seed, Kinds(), 5, siteCount, length)
		if plan.String() != Draw(seed, Kinds(), 5, siteCount, length).String() {
			t.Errorf("seed %d draws two plans", seed)
		}
		for _, event := range plan {
			seen[event.kind] = true
			if event.at+event.duration > length {
				t.Errorf("seed %d: %v ends after %v", seed, event, length)
			}
		}
	}
	if len(seen) != len(kinds) {
		t.Errorf("%d of %d kinds are drawn", len(seen), len(kinds))
	}
}
