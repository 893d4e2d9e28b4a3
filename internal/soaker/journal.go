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
	gateway string
	life    int
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
	abandoned bool
}

// run is a request as an endpoint ran it.
type run struct {
	id, endpoint, service, target, body string
	at                                  time.Time
}

// span is a time in which something was disturbed.
type span struct {
	from, to time.Time
	// slowed is true where a process was held up.
	slowed bool
}

// covers reports whether the span, prolonged by after, overlaps a time.
func (span span) covers(from, to time.Time, after time.Duration) bool {
	return !span.from.After(to) && span.to.Add(after).After(from)
}

// journal keeps all that was seen. The zero value is an empty one. It is safe
// for use by several goroutines.
type journal struct {
	// mu guards all fields below.
	mu       sync.Mutex
	requests []request
	runs     []run
	// spans holds the disturbances of gateways, endpoints and everywhere.
	spans map[string][]span
	// versions holds when each version was published, from 1 on.
	versions []time.Time
	// drains holds when endpoints were known to leave.
	drains map[string]time.Time
	// stops holds when gateways were told to stop.
	stops map[string][]time.Time
	// lives holds the number of each gateway's process.
	lives map[string]int
	// recovered is when the last event had ended.
	recovered time.Time
	// faults are violations that need no check.
	faults []Violation
}

func (journal *journal) asked(request request) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	journal.requests = append(journal.requests, request)
}

func (journal *journal) ran(run run) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	journal.runs = append(journal.runs, run)
}

func (journal *journal) disturbed(what string, from, to time.Time, slowed bool) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	if journal.spans == nil {
		journal.spans = make(map[string][]span)
	}
	journal.spans[what] = append(journal.spans[what], span{from: from, to: to, slowed: slowed})
}

func (journal *journal) published(version uint64) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	for uint64(len(journal.versions)) < version {
		journal.versions = append(journal.versions, time.Now())
	}
}

func (journal *journal) drained(endpoint string) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	if journal.drains == nil {
		journal.drains = make(map[string]time.Time)
	}
	journal.drains[endpoint] = time.Now()
}

func (journal *journal) stopped(gateway string) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	if journal.stops == nil {
		journal.stops = make(map[string][]time.Time)
	}
	journal.stops[gateway] = append(journal.stops[gateway], time.Now())
}

func (journal *journal) started(gateway string, life int) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	if journal.lives == nil {
		journal.lives = make(map[string]int)
	}
	journal.lives[gateway] = life
}

// life returns the number of a gateway's process.
func (journal *journal) life(gateway string) int {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	return journal.lives[gateway]
}

func (journal *journal) ready(at time.Time) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	journal.recovered = at
}

func (journal *journal) violated(promise, detail string) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	journal.faults = append(journal.faults, Violation{promise: promise, detail: detail})
}

// Violation is a promise that did not hold.
type Violation struct {
	promise, detail string
}

// Promise names the promise.
func (violation Violation) Promise() string { return violation.promise }

// String returns the violation in one line.
func (violation Violation) String() string {
	return fmt.Sprintf("%s: %s", violation.promise, violation.detail)
}
