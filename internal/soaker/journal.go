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
	// gateway is the name of the gateway that received the request, and
	// processNumber the number of its process, counted from 1.
	gateway       string
	processNumber int
	// sent is when the complete request was sent; zero if it was not.
	sent time.Time
	// ended is when the answer was complete or the connection broke.
	ended time.Time
	// status is 0 without a complete answer.
	status int
	// answer is the body of a complete answer.
	answer string
	// signer and signed are the endpoint and the request id of the answer's
	// signature.
	signer, signed string
	// timedOut is true if the caller's own timeout expired.
	timedOut bool
}

// run is one execution of a request by an endpoint.
type run struct {
	id, endpoint, service, target, body string
	at                                  time.Time
}

// disturbance is a period in which a target was subject to a fault.
type disturbance struct {
	from, to time.Time
	// slowed is true if a process got no processor time.
	slowed bool
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
	// disturbances holds the disturbances by the name of a gateway or endpoint,
	// or everywhere.
	disturbances map[string][]disturbance
	// versions holds when each version was published, starting with version 1.
	versions []time.Time
	// drains holds when the drain or removal of an endpoint was published.
	drains map[string]time.Time
	// stops holds when gateways were told to stop.
	stops map[string][]time.Time
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

func (journal *journal) addRun(run run) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	journal.runs = append(journal.runs, run)
}

func (journal *journal) addDisturbance(target string, from, to time.Time, slowed bool) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	if journal.disturbances == nil {
		journal.disturbances = make(map[string][]disturbance)
	}
	journal.disturbances[target] = append(journal.disturbances[target], disturbance{from: from, to: to, slowed: slowed})
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

func (journal *journal) addStop(gateway string) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	if journal.stops == nil {
		journal.stops = make(map[string][]time.Time)
	}
	journal.stops[gateway] = append(journal.stops[gateway], time.Now())
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
