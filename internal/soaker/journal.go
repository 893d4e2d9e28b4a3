package soaker

import (
	"fmt"
	"sync"
	"time"
)

// everywhere is the target of disturbances that affect the store or all gateways.
const everywhere = ""

// request is a request as its caller observed it.
type request struct {
	id, method, target, body string
	repeatable               bool
	// account is the account of the caller's key. keyVersion is the version that added the
	// key; 0 for a key that all versions have.
	account    string
	keyVersion uint64
	// gateway is the name of the gateway that received the request, and
	// processNumber the number of its process, counted from 1.
	gateway       string
	processNumber int
	// deadline is how long the caller allows for the request, from begun.
	deadline time.Duration
	// begun is when the first byte was sent, and sent when the complete request was
	// sent; zero if it was not.
	begun, sent time.Time
	// ended is when the answer was complete or the connection broke.
	ended time.Time
	// status is 0 without a complete answer.
	status int
	// answer is the body of a complete answer.
	answer string
	// signer and signed are the endpoint and the request id of the answer's
	// signature.
	signer, signed string
	// failure is why there is no complete answer.
	failure error
	// brokenBehind is true if the answer to a request before it on its connection broke
	// off, so that none could follow.
	brokenBehind bool
	// timedOut is true if the caller's own timeout expired.
	timedOut bool
}

// run is one execution of a request by an endpoint.
type run struct {
	id, endpoint, service, target, body string
	// account is the account that the request named, and keyed is true if it carried an
	// API key.
	account string
	keyed   bool
	// dataCentre is that of the endpoint.
	dataCentre string
	at         time.Time
	// ended is when the endpoint had sent its answer or lost its connection; zero if
	// it was at work at the end of the soak.
	ended time.Time
	// complete is true if the endpoint has ended by itself.
	complete bool
}

// endedBefore reports whether the endpoint had ended its work before moment.
func (run run) endedBefore(moment time.Time) bool {
	return !run.ended.IsZero() && run.ended.Before(moment)
}

// stop is a SIGTERM to a process of a gateway.
type stop struct {
	at            time.Time
	processNumber int
}

// disturbance is a period in which a target was subject to a fault.
type disturbance struct {
	from, to time.Time
	// slowed is true if a process got no processor time.
	slowed bool
	// ofStore is true if only the store was disturbed.
	ofStore bool
}

// overlaps reports whether the disturbance, extended by after, overlaps the
// period between from and to.
func (disturbance disturbance) overlaps(from, to time.Time, after time.Duration) bool {
	return !disturbance.from.After(to) && disturbance.to.Add(after).After(from)
}

// journal records all observations of a soak. The zero value is empty and ready
// to use. It is safe for concurrent use.
type journal struct {
	// mu guards all fields below.
	mu       sync.Mutex
	requests []request
	runs     []run
	// closed is true once checks read the runs.
	closed bool
	// disturbances holds the disturbances by the name of a gateway or endpoint,
	// or everywhere.
	disturbances map[string][]disturbance
	// versions holds when each version was published, starting with version 1.
	versions []time.Time
	// drains holds when the drain or removal of an endpoint was published.
	drains map[string]time.Time
	// evacuations holds the evacuations of each data centre.
	evacuations map[string][]evacuation
	// stops holds when gateways were told to stop, and reloads when they were told to
	// reload their settings.
	stops   map[string][]stop
	reloads map[string][]time.Time
	// processNumbers holds the number of each gateway's current process.
	processNumbers map[string]int
	// recovered is the time from which requests must be served again after the
	// last event.
	recovered time.Time
	// violations holds the violations that are found while the soak runs.
	violations []Violation
}

func (journal *journal) addRequest(request request) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	journal.requests = append(journal.requests, request)
}

// addRun records the start of a run, and returns its index for endRun.
func (journal *journal) addRun(run run) int {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	if journal.closed {
		return noRun
	}
	journal.runs = append(journal.runs, run)
	return len(journal.runs) - 1
}

// noRun is the index of a run that is not recorded.
const noRun = -1

// endRun records the end of a run.
func (journal *journal) endRun(index int, complete bool) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	if index != noRun && !journal.closed {
		journal.runs[index].ended, journal.runs[index].complete = time.Now(), complete
	}
}

// close ends the recording of runs, so that checks can read and sort them.
func (journal *journal) close() {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	journal.closed = true
}

func (journal *journal) addDisturbance(target string, from, to time.Time, slowed bool) {
	journal.appendDisturbance(target, disturbance{from: from, to: to, slowed: slowed})
}

// addStoreDisturbance records a period in which the store alone was disturbed, for
// one gateway or for all.
func (journal *journal) addStoreDisturbance(target string, from, to time.Time) {
	journal.appendDisturbance(target, disturbance{from: from, to: to, ofStore: true})
}

func (journal *journal) appendDisturbance(target string, period disturbance) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	if journal.disturbances == nil {
		journal.disturbances = make(map[string][]disturbance)
	}
	journal.disturbances[target] = append(journal.disturbances[target], period)
}

func (journal *journal) addVersion(version uint64) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	for uint64(len(journal.versions)) < version {
		journal.versions = append(journal.versions, time.Now())
	}
}

func (journal *journal) addDrain(endpoint string) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	if journal.drains == nil {
		journal.drains = make(map[string]time.Time)
	}
	journal.drains[endpoint] = time.Now()
}

// evacuation is a period in which the endpoints of a data centre must get no requests.
type evacuation struct{ from, to time.Time }

func (journal *journal) addEvacuation(dataCentre string, from, to time.Time) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	if journal.evacuations == nil {
		journal.evacuations = make(map[string][]evacuation)
	}
	journal.evacuations[dataCentre] = append(journal.evacuations[dataCentre], evacuation{from: from, to: to})
}

func (journal *journal) addStop(gateway string) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	if journal.stops == nil {
		journal.stops = make(map[string][]stop)
	}
	journal.stops[gateway] = append(journal.stops[gateway], stop{at: time.Now(), processNumber: journal.processNumbers[gateway]})
}

func (journal *journal) addReload(gateway string) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	if journal.reloads == nil {
		journal.reloads = make(map[string][]time.Time)
	}
	journal.reloads[gateway] = append(journal.reloads[gateway], time.Now())
}

func (journal *journal) setProcessNumber(gateway string, processNumber int) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	if journal.processNumbers == nil {
		journal.processNumbers = make(map[string]int)
	}
	journal.processNumbers[gateway] = processNumber
}

// processNumber returns the number of a gateway's current process.
func (journal *journal) processNumber(gateway string) int {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	return journal.processNumbers[gateway]
}

func (journal *journal) setRecovered(at time.Time) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	journal.recovered = at
}

func (journal *journal) addViolation(guarantee, detail string) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	journal.violations = append(journal.violations, Violation{guarantee: guarantee, detail: detail})
}

// Violation is a case in which a guarantee did not hold.
type Violation struct {
	guarantee, detail string
}

// Guarantee returns the name of the guarantee.
func (violation Violation) Guarantee() string { return violation.guarantee }

// String returns the violation in one line.
func (violation Violation) String() string {
	return fmt.Sprintf("%s: %s", violation.guarantee, violation.detail)
}
