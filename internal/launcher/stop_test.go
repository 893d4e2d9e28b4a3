package launcher

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/emulator"
)

// stopLead is how long before the stop the first callers begin.
const stopLead = 2600 * time.Millisecond

// check runs the plans beside a planned stop and reports requests that did not end as
// promised. It returns the number of requests in each class.
func (site *stopSite) check(t *testing.T, plans []callerPlan, faults ...emulator.FaultOption) map[class]int {
	t.Helper()
	if err := site.run(stopLead, plans, faults...); err != nil {
		t.Fatal(err)
	}
	took := site.endedAt.Sub(site.stopped)
	t.Logf("the process ended %v after the stop; the test was held up for %v", took, site.heldUp)
	if took-site.heldUp > graceTime {
		t.Errorf("the process ended later than %v after the stop, and would have been killed", graceTime)
	}
	counts := make(map[class]int)
	for _, caller := range site.callers {
		for _, request := range caller.requests {
			class := caller.classify(request)
			counts[class]++
			if class.fault() {
				t.Errorf("%s: %s", class, caller.describe(request))
			}
		}
	}
	for _, class := range slices.Sorted(maps.Keys(counts)) {
		t.Logf("%4d %s", counts[class], class)
	}
	return counts
}

// checkAlone is check beside the stops of other tests.
func checkAlone(t *testing.T, plans []callerPlan, faults ...emulator.FaultOption) map[class]int {
	t.Helper()
	for caller, plan := range plans {
		for request := range plan.requests {
			plan.requests[request].id = fmt.Sprintf("%s-%d-%d", t.Name(), caller, request)
		}
	}
	site := newStopSite(t)
	t.Parallel()
	return site.check(t, plans, faults...)
}

// seconds returns a number of seconds as a duration.
func seconds(number float64) time.Duration { return time.Duration(number * float64(time.Second)) }

// stopPlanner makes random plans from a seed.
type stopPlanner struct {
	seed   uint64
	random *rand.Rand
	// requests counts the requests.
	requests int
}

func newStopPlanner(seed uint64) *stopPlanner {
	return &stopPlanner{seed: seed, random: rand.New(rand.NewPCG(seed, 0))}
}

// between returns a random time between two numbers of seconds.
func (stopPlanner *stopPlanner) between(low, high float64) time.Duration {
	return seconds(low + (high-low)*stopPlanner.random.Float64())
}

// one reports true once in so many times.
func (stopPlanner *stopPlanner) one(in int) bool { return stopPlanner.random.IntN(in) == 0 }

// request returns a request that begins at a time and whose upload takes upload.
func (stopPlanner *stopPlanner) request(begins, upload time.Duration) requestPlan {
	stopPlanner.requests++
	plan := requestPlan{
		id: fmt.Sprintf("seed-%d-%d", stopPlanner.seed, stopPlanner.requests), route: "once", begins: begins, upload: upload,
		bodyBytes: 200 + stopPlanner.random.IntN(20_000), chunked: stopPlanner.one(2),
		work: stopPlanner.between(0.05, 3.4), form: formWhole, deadline: 4 * time.Second,
	}
	if stopPlanner.one(20) {
		plan.bodyBytes += 100_000 // The gateway passes it on while it is read.
	}
	if stopPlanner.one(3) {
		plan.deadline = 3 * time.Second
	}
	if stopPlanner.one(2) {
		plan.form = []answerForm{formHead, formChunks, formSilent}[stopPlanner.random.IntN(3)]
	}
	switch {
	case stopPlanner.one(20):
		plan.route, plan.work = "few", min(plan.work, time.Second)
	case stopPlanner.one(4):
		plan.route = "many"
		if stopPlanner.one(2) {
			plan.bodyBytes, plan.chunked = 0, false
		}
	}
	return plan
}

// upload returns how long an upload takes.
func (stopPlanner *stopPlanner) upload() time.Duration {
	if stopPlanner.one(3) {
		return 0
	}
	return stopPlanner.between(0, 3.2)
}

// caller returns the plan of one connection.
func (stopPlanner *stopPlanner) caller() callerPlan {
	begins := stopPlanner.between(-2.5, 4)
	switch share := stopPlanner.random.IntN(100); {
	case share < 30:
		return callerPlan{kind: "new connection", opens: begins, requests: []requestPlan{stopPlanner.request(begins, stopPlanner.upload())}}
	case share < 45:
		opens := stopPlanner.between(-2.5, 2.8)
		request := stopPlanner.request(stopPlanner.between(opens.Seconds(), 3.9), stopPlanner.upload())
		return callerPlan{kind: "late first request", opens: opens, requests: []requestPlan{request}}
	case share < 60:
		request := stopPlanner.request(begins, stopPlanner.between(0.1, 2.5))
		request.splitsHead = true
		return callerPlan{kind: "head in parts", opens: begins, requests: []requestPlan{request}}
	case share < 75:
		return stopPlanner.kept()
	case share < 90:
		return stopPlanner.pipeline(begins)
	}
	return stopPlanner.crossing()
}

// kept returns a connection with requests one after another.
func (stopPlanner *stopPlanner) kept() callerPlan {
	opens := stopPlanner.between(-2.5, 2)
	plan := callerPlan{kind: "kept connection", opens: opens}
	for range 2 + stopPlanner.random.IntN(5) {
		request := stopPlanner.request(opens, 0)
		if stopPlanner.one(3) {
			request.upload = stopPlanner.between(0, 1.5)
		}
		request.work = min(request.work, stopPlanner.between(0.05, 1.5))
		plan.requests = append(plan.requests, request)
		opens += request.upload + request.work + stopPlanner.between(0, 0.7)
	}
	return plan
}

// pipeline returns a connection with requests behind each other.
func (stopPlanner *stopPlanner) pipeline(begins time.Duration) callerPlan {
	plan := callerPlan{kind: "pipeline", opens: begins, pipelined: true}
	for range 2 + stopPlanner.random.IntN(3) {
		request := stopPlanner.request(begins, 0)
		if stopPlanner.one(4) {
			request.upload = stopPlanner.between(0, 1)
		}
		request.work = min(request.work, stopPlanner.between(0.05, 2))
		plan.requests = append(plan.requests, request)
		begins += request.upload + stopPlanner.between(0, 0.4)
	}
	return plan
}

// crossing returns a connection with a request that comes about when the gateway ends
// idle connections.
func (stopPlanner *stopPlanner) crossing() callerPlan {
	plan := callerPlan{kind: "idle until the close", opens: stopPlanner.between(-2.5, 2)}
	first := stopPlanner.request(plan.opens, 0)
	first.work = stopPlanner.between(0.05, 0.4)
	plan.requests = append(plan.requests, first, stopPlanner.request(stopPlanner.between(2.86, 2.93), 0))
	return plan
}

// callersPerStop is the number of connections beside one random stop.
const callersPerStop = 200

// leastAnswered is the least share of the requests that are answered: most begin while
// the gateway still accepts them.
const leastAnswered = 0.25

// TestStopAnswersEveryRequestRead guards against requests that are read around a planned
// stop and end without an answer (issue 32). CHIVESPOOL_STOP_SEEDS, numbers with commas
// between them, replaces its seed.
func TestStopAnswersEveryRequestRead(t *testing.T) {
	seeds := "32"
	if given := os.Getenv("CHIVESPOOL_STOP_SEEDS"); given != "" {
		seeds = given
	}
	for text := range strings.SplitSeq(seeds, ",") {
		t.Run(text, func(t *testing.T) {
			seed, err := strconv.ParseUint(text, 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			planner := newStopPlanner(seed)
			var plans []callerPlan
			for range callersPerStop {
				plans = append(plans, planner.caller())
			}
			counts := newStopSite(t).check(t, plans)
			if least := int(leastAnswered * float64(planner.requests)); counts[classAnswered] < least {
				t.Errorf("%d of %d requests were answered, want %d", counts[classAnswered], planner.requests, least)
			}
		})
	}
}

// bothFramings returns plans with a body by length and in chunks in place of each plan.
func bothFramings(plans []callerPlan) []callerPlan {
	var both []callerPlan
	for _, plan := range plans {
		for _, chunked := range []bool{false, true} {
			framed := plan
			framed.requests = nil
			for _, request := range plan.requests {
				request.chunked = chunked
				framed.requests = append(framed.requests, request)
			}
			both = append(both, framed)
		}
	}
	return both
}

// TestUploadBeyondAccepting guards against a request whose upload ends after requests are
// no longer accepted, which was passed on and cut.
func TestUploadBeyondAccepting(t *testing.T) {
	var plans []callerPlan
	for _, begins := range []float64{2, 2.5, 2.8} {
		for _, form := range []answerForm{formWhole, formHead, formChunks, formSilent} {
			plans = append(plans, callerPlan{kind: "new connection", opens: seconds(begins), requests: []requestPlan{{
				route: "once", begins: seconds(begins), upload: seconds(3.9 - begins), bodyBytes: 1200,
				work: seconds(2.2), form: form, deadline: 4 * time.Second,
			}}})
		}
	}
	checkAlone(t, bothFramings(plans))
}

// TestLateFirstRequest guards against the first request of an early connection, which was
// accepted for a second longer than others, passed on and cut.
func TestLateFirstRequest(t *testing.T) {
	var plans []callerPlan
	for _, opens := range []float64{-1, 1, 2.5} {
		for _, begins := range []float64{3.2, 3.5, 3.8} {
			plans = append(plans, callerPlan{kind: "late first request", opens: seconds(opens), requests: []requestPlan{{
				route: "once", begins: seconds(begins), bodyBytes: 1200, work: seconds(2.6), form: formWhole, deadline: 4 * time.Second,
			}}})
		}
	}
	checkAlone(t, bothFramings(plans))
}

// TestHeadBeyondAccepting guards against a request whose head began before the end of
// accepting and was completed after it, which was passed on and cut.
func TestHeadBeyondAccepting(t *testing.T) {
	var plans []callerPlan
	for _, begins := range []float64{1.5, 2.5, 2.85} {
		for _, bodyBytes := range []int{0, 1200} {
			plans = append(plans, callerPlan{kind: "head in parts", opens: seconds(begins), requests: []requestPlan{{
				route: "once", begins: seconds(begins), upload: seconds(3.9 - begins), splitsHead: true, bodyBytes: bodyBytes,
				work: seconds(2.2), form: formWhole, deadline: 4 * time.Second,
			}}})
		}
	}
	checkAlone(t, plans)
}

// TestPipelineTurnInStop guards against a request that waits for the one before it on its
// connection and was passed on too late to end.
func TestPipelineTurnInStop(t *testing.T) {
	var plans []callerPlan
	for _, begins := range []float64{2.6, 2.7, 2.8} {
		for _, upload := range []float64{0, 0.6} {
			plans = append(plans, callerPlan{kind: "pipeline", opens: seconds(begins), pipelined: true, requests: []requestPlan{
				{route: "once", begins: seconds(begins), bodyBytes: 1200, work: seconds(1.4), form: formWhole, deadline: 4 * time.Second},
				{route: "once", begins: seconds(begins + 0.05), upload: seconds(upload), bodyBytes: 1200, work: seconds(2.2), form: formWhole, deadline: 4 * time.Second},
			}})
		}
	}
	checkAlone(t, bothFramings(plans))
}

// TestPlaceInStop guards against a request that waits for a place at an endpoint and was
// passed on too late to end.
func TestPlaceInStop(t *testing.T) {
	var plans []callerPlan
	add := func(begins, upload, work float64) {
		plans = append(plans, callerPlan{kind: "new connection", opens: seconds(begins), requests: []requestPlan{{
			route: "few", begins: seconds(begins), upload: seconds(upload), bodyBytes: 1200,
			work: seconds(work), form: formWhole, deadline: 4 * time.Second,
		}}})
	}
	for range fewSlots {
		add(2.3, 0, 0.9)
	}
	add(2.7, 0, 2.9)
	add(2.7, 0.4, 2.9)
	checkAlone(t, plans)
}

// TestUploadCutInStop guards against an upload that doesn't end in time and was closed
// without a refusal.
func TestUploadCutInStop(t *testing.T) {
	var plans []callerPlan
	for _, begins := range []float64{2, 2.5, 2.8} {
		plans = append(plans, callerPlan{kind: "new connection", opens: seconds(begins), requests: []requestPlan{{
			route: "once", begins: seconds(begins), upload: seconds(6.5 - begins), bodyBytes: 1200,
			work: seconds(0.1), form: formWhole, deadline: 5 * time.Second,
		}}})
	}
	checkAlone(t, bothFramings(plans))
}

// TestHeaderThenSilence guards against an answer whose header came in time and whose body
// did not, which was closed without a status at its deadline.
func TestHeaderThenSilence(t *testing.T) {
	var plans []callerPlan
	for _, route := range []string{"once", "many"} {
		for _, begins := range []float64{-2.5, 1, 2.5} {
			plans = append(plans, callerPlan{kind: "new connection", opens: seconds(begins), requests: []requestPlan{{
				route: route, begins: seconds(begins), bodyBytes: 1200, work: seconds(2), form: formHead, deadline: time.Second,
			}}})
		}
	}
	if counts := checkAlone(t, plans); counts[classFailed] < len(plans) {
		t.Errorf("%d of %d requests were answered 504", counts[classFailed], len(plans))
	}
}

// TestRequestCrossesClose guards against a request that is sent while the gateway ends its
// idle connection and is dropped once it was read, or runs without an answer.
func TestRequestCrossesClose(t *testing.T) {
	const (
		requests = 60
		// spacing is the time between two requests, around the end of idle connections and
		// that of connections without a request.
		spacing     = time.Millisecond
		idleEnd     = 2900 * time.Millisecond
		firstAtMost = 3880 * time.Millisecond
	)
	var plans []callerPlan
	short := func(begins time.Duration) requestPlan {
		return requestPlan{route: "once", begins: begins, bodyBytes: 1200, work: seconds(0.05), form: formWhole, deadline: 4 * time.Second}
	}
	for index := range requests {
		offset := time.Duration(index-requests/2) * spacing
		plans = append(plans,
			callerPlan{kind: "idle until the close", opens: -seconds(1), requests: []requestPlan{short(-seconds(1)), short(idleEnd + offset)}},
			callerPlan{kind: "late first request", opens: seconds(0.5), requests: []requestPlan{short(firstAtMost + offset)}})
	}
	checkAlone(t, plans)
}

// TestStopBesideSilentStore guards against calls to a store that doesn't answer delaying
// the stop, which would be cut by SIGKILL.
func TestStopBesideSilentStore(t *testing.T) {
	var plans []callerPlan
	for _, begins := range []float64{-2, 0, 1, 2, 2.5} {
		plans = append(plans, callerPlan{kind: "new connection", opens: seconds(begins), requests: []requestPlan{{
			route: "once", begins: seconds(begins), bodyBytes: 1200, work: seconds(2.5), form: formWhole, deadline: 4 * time.Second,
		}}})
	}
	counts := checkAlone(t, bothFramings(plans), emulator.WithDisposition(emulator.Dropped))
	if counts[classAnswered] < 2*len(plans) {
		t.Errorf("%d of %d requests were answered", counts[classAnswered], 2*len(plans))
	}
}
