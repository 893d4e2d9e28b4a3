// Package pacer decides how many probes the selection of an endpoint may use, and
// which, for package assigner. A probe is worth what it can change: its purpose, and the
// age of the endpoint's last report, give its value; the price that it must reach rises
// as the host uses up its part of the fleet's rate. Where a probe is not worth its price,
// a report of some milliseconds ago is used instead, or the endpoint is left out.
//
// The package does no I/O, starts no goroutines and reads no clock. It is designed for
// 100 hosts with 280 endpoints, 15 requests a second for each host, and 60 probes for
// each endpoint and second from all hosts together.
package pacer

import (
	"math"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// The budget of a host.
const (
	// usedShare is the part of the fleet's rate that the hosts share; the rest is for
	// hosts whose views differ, and for probes that are repeated on another connection.
	usedShare = 0.9
	// savedTime bounds the unused probes: as many as are allowed in this time. A crest of
	// requests lasts some seconds.
	savedTime = 5 * time.Second
	// initialTime is the time whose probes a host that has just started may use at once.
	// It is short, since the bound also holds when all hosts restart.
	initialTime = time.Second
	// scarceTime is the time whose probes must be saved for the lowest price. Less than
	// that is used up within some waiting rounds.
	scarceTime = time.Second
)

// The price of a probe, in shares of the value of the first probe of a selection.
const (
	// minPrice is the price while there are probes to spare. It is reached by the first
	// probe of a selection once the endpoint's report is 5 ms old, about the time that a
	// probe takes.
	minPrice = 0.1
	// connectionPrice is the least price of a probe that needs a new connection, which
	// costs as much as some 80 probes on an idle one. Only the first tier and one probe at
	// each further distance are worth one, and these only for arriving requests.
	connectionPrice = 0.5
	// maxPrice is the price when the budget is used up: only a selection without any
	// report sends a probe.
	maxPrice = 1
)

// The age of reports.
const (
	// changeTime is the mean time after which a report is wrong in some way. Endpoints
	// change their speed every 150 ms; the number of running requests changes every 75 ms
	// at an endpoint with 5 slots, work of 400 ms and half of the slots in use.
	changeTime = 50 * time.Millisecond
	// maxAge is the age above which a report is not used: more likely wrong than right.
	maxAge = 50 * time.Millisecond
	// joinTime is how long a probe under way may be joined. One that takes longer may be
	// on a connection that has failed silently.
	joinTime = 60 * time.Millisecond
	// healthTime is how long the health that a probe found applies to reports in answers
	// to requests, which carry none.
	healthTime = time.Second
)

// Purpose is what a probe is for.
type Purpose int

// The purposes of probes.
const (
	// Nearest is for the first endpoints of a selection.
	Nearest Purpose = iota
	// Distant is for the first endpoints at a further distance.
	Distant
	// Additional is for more endpoints at the same distance.
	Additional
	// LastResort is for endpoints that are ejected or were tried already.
	LastResort
)

// String returns the purpose in lower case, for metrics.
func (purpose Purpose) String() string {
	return [...]string{"nearest", "distant", "additional", "last-resort"}[purpose]
}

// values are the values of a probe without an earlier report, by purpose. The order is
// that in which purposes are kept as the budget is used up. Additional probes are worth
// least, since under overload the endpoints at one distance are all crowded.
var values = [...]float64{Nearest: 1, Distant: 0.6, Additional: 0.4, LastResort: 1}

// furtherValue is the value of a further probe of a tier as a share of the first one's:
// three quarters of the endpoints run at normal speed, so that the first is often good
// enough.
const furtherValue = 0.8

// Pacer decides on the probes of one host. The zero value has no bound. It is safe for
// concurrent use.
type Pacer struct {
	// mu guards the fields below.
	mu sync.Mutex
	// rate is the number of probes per second that the host may send; 0 for any number.
	rate float64
	// saved is the number of probes that may be sent at once, as of savedAt; below 0 if
	// more were needed.
	saved   float64
	savedAt time.Time
	// records holds what is known of each endpoint by name.
	records map[string]*record
}

// record is what is known of an endpoint.
type record struct {
	// report was received at receivedAt; starts is the value of started that it covers.
	report     definer.Report
	receivedAt time.Time
	starts     uint64
	// healthy is what the last health check found, at checkedAt.
	healthy   bool
	checkedAt time.Time
	// started counts this host's requests that were assigned to the endpoint.
	started uint64
	// underWay counts the probes under way; the last one began at beganAt.
	underWay int
	beganAt  time.Time
}

// SetRate sets the host's part of the fleet's rate: rate probes for each endpoint and
// second from all hosts together, or 0 for any number.
func (pacer *Pacer) SetRate(now time.Time, rate float64, endpoints, hosts int) {
	pacer.mu.Lock()
	defer pacer.mu.Unlock()
	pacer.refill(now)
	before := pacer.rate
	pacer.rate = usedShare * rate * float64(max(endpoints, 1)) / float64(max(hosts, 1))
	switch {
	case before == 0:
		pacer.saved = pacer.rate * initialTime.Seconds()
	case pacer.rate < before:
		// The hosts that share the rate now were only not known before.
		pacer.saved *= pacer.rate / before
	}
}

// refill adds the probes allowed since the last call; mu is held.
func (pacer *Pacer) refill(now time.Time) {
	limit := pacer.rate * savedTime.Seconds()
	if elapsed := now.Sub(pacer.savedAt); elapsed > 0 {
		pacer.saved += pacer.rate * min(elapsed, 2*savedTime).Seconds()
		pacer.savedAt = now
	}
	pacer.saved = min(max(pacer.saved, -limit), limit)
}

// Price returns the price that the value of a probe must reach.
func (pacer *Pacer) Price(now time.Time) float64 {
	pacer.mu.Lock()
	defer pacer.mu.Unlock()
	return pacer.price(now)
}

// price is Price where the caller holds mu.
func (pacer *Pacer) price(now time.Time) float64 {
	if pacer.rate == 0 {
		return minPrice
	}
	pacer.refill(now)
	scarcity := 1 - pacer.saved/(pacer.rate*scarceTime.Seconds())
	return minPrice + (maxPrice-minPrice)*min(max(scarcity, 0), 1)
}

// RecordCheck records a health check that no selection asked for, such as one of a
// connection that was idle.
func (pacer *Pacer) RecordCheck(now time.Time) {
	pacer.mu.Lock()
	defer pacer.mu.Unlock()
	pacer.refill(now)
	pacer.saved--
}

// staleness returns the probability that a report of the given age is wrong.
func staleness(age time.Duration) float64 {
	return 1 - math.Exp(-float64(max(age, 0))/float64(changeTime))
}

// Forget drops the records of endpoints that are not in known and have no probe under
// way.
func (pacer *Pacer) Forget(known map[string]bool) {
	pacer.mu.Lock()
	defer pacer.mu.Unlock()
	for name, record := range pacer.records {
		if !known[name] && record.underWay == 0 {
			delete(pacer.records, name)
		}
	}
}

// record returns the record of an endpoint, and adds it if it is new; mu is held.
func (pacer *Pacer) record(name string) *record {
	found, ok := pacer.records[name]
	if !ok {
		if pacer.records == nil {
			pacer.records = make(map[string]*record)
		}
		found = &record{}
		pacer.records[name] = found
	}
	return found
}
