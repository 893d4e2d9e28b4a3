package soaker

import (
	"fmt"
	"sync"
	"time"
)

// everywhere names a disturbance of the store or of all gateways.
const everywhere = ""

// request is a request as its caller saw it.
type request struct {
	id, method, target, body string
	repeatable               bool
	// gateway took the request; life numbers its process.
	gateway       string
	processNumber int
	// sent is when the request was sent whole; zero where it was not.
	sent time.Time
	// ended is when the answer was whole, or the connection broke.
	ended time.Time
	// status is 0 where no whole answer came.
	status int
	// answer is the body of a whole answer.
	answer string
	// signer and signed are what the answer's signature names.
	signer, signed string
	// abandoned is true where the caller's own patience was over.
	timedOut bool
}

// run is a request as an endpoint ran it.
type run struct {
	id, endpoint, service, target, body string
	at                                  time.Time
}

// span is a time in which something was disturbed.
type disturbance struct {
	from, to time.Time
	// slowed is true where a process was held up.
	slowed bool
}

// covers reports whether the span, prolonged by after, overlaps a time.
func (disturbance disturbance) overlaps(from, to time.Time, after time.Duration) bool {
	return !disturbance.from.After(to) && disturbance.to.Add(after).After(from)
}

// journal keeps all that was seen. The zero value is an empty one. It is safe
// for use by several goroutines.
type journal struct {
	// mu guards all fields below.
	mu       sync.Mutex
	requests []request
	runs     []run
	// spans holds the disturbances of gateways, endpoints and everywhere.
	disturbances map[string][]disturbance
	// versions holds when each version was published, from 1 on.
	versions []time.Time
	// drains holds when endpoints were known to leave.
	drains map[string]time.Time
	// stops holds when gateways were told to stop.
	stops map[string][]time.Time
	// lives holds the number of each gateway's process.
	processNumbers map[string]int
	// recovered is when the last event had ended.
	recovered time.Time
	// faults are violations that need no check.
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

// life returns the number of a gateway's process.
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

// Violation is a promise that did not hold.
type Violation struct {
	guarantee, detail string
}

// Promise names the promise.
func (violation Violation) Promise() string { return violation.guarantee }

// String returns the violation in one line.
func (violation Violation) String() string {
	return fmt.Sprintf("%s: %s", violation.guarantee, violation.detail)
}
