// Package permitter decides whether a host may send a request to an endpoint now, by
// what the endpoint states in its answers. Package assigner asks it before each
// request.
//
// An endpoint that leaves gets no more requests, although the store may still list it.
// One that names a time when it turns a request away gets none until then.
//
// An endpoint in trouble may name a limit on the requests that it takes from all hosts
// together. Hosts share a limit without messages: a few hosts near the endpoint hold a
// fixed share each, and the others send it nothing. All hosts compute the same holders
// from the same list of hosts.
//
// A cold endpoint takes few requests per second and crashes at a much higher rate, as when
// a data centre comes back and its empty endpoints look idle to all hosts at once. While
// an endpoint is cold, hosts share the rate of its service in the same way.
//
// The package does no I/O, starts no goroutines and reads no clock.
package permitter

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/locator"
)

const (
	// holderRate is the share of a limit, in requests per second, that is worth one
	// more holder. A holder may send one request at once, so that more holders would
	// together exceed a low limit.
	holderRate = 1.0
	// burstTime is the time whose share a holder may save up.
	burstTime = time.Second
	// coldHolderRate and coldBurstTime replace holderRate and burstTime for cold endpoints,
	// whose rate is bounded in each second: all holders together may save up 0.4 times the
	// rate, or one request if that is more.
	coldHolderRate = 2.5
	coldBurstTime  = 400 * time.Millisecond
	// hostMemory is the time for which a host counts after it was last listed. A
	// registration may be missing while its host lives, and the others must not take
	// over its shares until then.
	hostMemory = 10 * time.Second
	// recheckInterval is the time after which an endpoint without a permit is probed
	// again, since it may have withdrawn its limit.
	recheckInterval = 2 * time.Second
)

// Journal logs what endpoints state.
type Journal interface {
	// Change logs a change of what is known about an endpoint.
	Change(message string, details ...any)
}

// ColdRates provides the rates that cold endpoints take.
type ColdRates interface {
	// ColdRate returns the number of requests per second that one cold endpoint of service
	// takes from all hosts together, or 0 for any number.
	ColdRate(service string) float64
}

// unlimited is the default of ColdRates.
type unlimited struct{}

// ColdRate returns 0.
func (unlimited) ColdRate(string) float64 { return 0 }

// Permitter keeps the permits of one host. Make one with New. It is safe for
// concurrent use.
type Permitter struct {
	self    definer.Host
	journal Journal
	// coldRates is set before the first use.
	coldRates ColdRates
	// mu guards the fields below.
	mu sync.Mutex
	// hosts are the hosts among which holders are chosen, each once.
	hosts []definer.Host
	// listedAt holds the time at which each host was last listed, by name.
	listedAt map[string]time.Time
	// records holds what is known about endpoints, by name.
	records map[string]*record
}

// New returns a permitter of the host self.
func New(self definer.Host, journal Journal) *Permitter {
	return &Permitter{
		self: self, journal: journal, coldRates: unlimited{},
		listedAt: make(map[string]time.Time), records: make(map[string]*record),
	}
}

// SetColdRates sets the rates that cold endpoints take. Call it before the first use.
func (permitter *Permitter) SetColdRates(coldRates ColdRates) { permitter.coldRates = coldRates }

// record is what an endpoint stated about itself.
type record struct {
	endpoint definer.Endpoint
	// leaving is true once the endpoint has stated that it leaves. It stays true until
	// another process of the endpoint starts, since answers may overtake each other.
	leaving bool
	// blockedUntil is the end of the time for which the endpoint wants no requests.
	blockedUntil time.Time
	// statedAt is the time of the endpoint's last answer.
	statedAt time.Time
	// limited is true while the limit is in force. A limit that was withdrawn is kept,
	// so that naming it again gives no new permits.
	limited bool
	limit   limit
	// coldUntil is the end of the time for which the endpoint is cold, and cold the limit
	// until then.
	coldUntil time.Time
	cold      limit
}

// limit is a limit that an endpoint named, and this host's share of it.
type limit struct {
	// rate is the limit in requests per second from all hosts.
	rate float64
	// share is the part of rate that this host may use; 0 if it is not a holder.
	share float64
	// permits is the number of requests that may be sent at countedAt, at most burst.
	permits   float64
	countedAt time.Time
	// holderRate is the share that is worth one more holder, and burstTime the time whose
	// share may be saved up.
	holderRate float64
	burstTime  time.Duration
}

// newLimit returns a limit with one permit.
func newLimit(now time.Time, holderRate float64, burstTime time.Duration) limit {
	return limit{permits: 1, countedAt: now, holderRate: holderRate, burstTime: burstTime}
}

// burst returns the largest number of permits.
func (limit *limit) burst() float64 { return max(1, limit.share*limit.burstTime.Seconds()) }

// refill adds the permits for the time since they were last counted.
func (limit *limit) refill(now time.Time) {
	earned := limit.share * now.Sub(limit.countedAt).Seconds()
	limit.permits = min(limit.permits+max(earned, 0), limit.burst())
	limit.countedAt = now
}

// setRate changes the rate of a limit of endpoint; mu is held.
func (permitter *Permitter) setRate(now time.Time, endpoint definer.Endpoint, limit *limit, rate float64) {
	limit.refill(now)
	limit.rate, limit.share = rate, permitter.share(endpoint, rate, limit.holderRate)
}

// wait returns the time until there is a permit; false if this host gets none.
func (limit *limit) wait(now time.Time) (time.Duration, bool) {
	limit.refill(now)
	switch {
	case limit.share <= 0:
		return 0, false
	case limit.permits >= 1:
		return 0, true
	}
	return time.Duration(math.Ceil((1 - limit.permits) / limit.share * float64(time.Second))), true
}

// inForce returns the limits that are in force.
func (record *record) inForce(now time.Time) []*limit {
	var limits []*limit
	if record.limited {
		limits = append(limits, &record.limit)
	}
	if now.Before(record.coldUntil) && record.cold.rate > 0 {
		limits = append(limits, &record.cold)
	}
	return limits
}

// wait returns the time until a request may be sent; false if this host may send none.
func (record *record) wait(now time.Time) (time.Duration, bool) {
	if record.leaving {
		return 0, false
	}
	longest := record.blocked(now)
	for _, limit := range record.inForce(now) {
		wait, ok := limit.wait(now)
		if !ok {
			return 0, false
		}
		longest = max(longest, wait)
	}
	return longest, true
}

// blocked returns the rest of the time for which the endpoint wants no requests.
func (record *record) blocked(now time.Time) time.Duration {
	return max(record.blockedUntil.Sub(now), 0)
}

// SetHosts sets the registered entry hosts. Hosts that are no longer listed keep
// their shares for hostMemory.
func (permitter *Permitter) SetHosts(now time.Time, hosts []definer.Host) {
	permitter.mu.Lock()
	defer permitter.mu.Unlock()
	changed := false
	for _, host := range hosts {
		_, known := permitter.listedAt[host.Name()]
		permitter.listedAt[host.Name()] = now
		if !known {
			permitter.hosts = append(permitter.hosts, host)
			changed = true
		}
	}
	count := len(permitter.hosts)
	permitter.hosts = slices.DeleteFunc(permitter.hosts, func(host definer.Host) bool {
		if now.Sub(permitter.listedAt[host.Name()]) < hostMemory {
			return false
		}
		delete(permitter.listedAt, host.Name())
		return true
	})
	if !changed && len(permitter.hosts) == count {
		return
	}
	for _, record := range permitter.records {
		for _, limit := range []*limit{&record.limit, &record.cold} {
			permitter.setRate(now, record.endpoint, limit, limit.rate)
		}
	}
}

// share returns the part of a limit of rate requests per second that this host may
// use; mu is held.
func (permitter *Permitter) share(endpoint definer.Endpoint, rate, holderRate float64) float64 {
	count := max(1, int(math.Ceil(min(rate/holderRate, float64(len(permitter.hosts))))))
	holders := locator.Owners(permitter.hosts, endpoint.Place(), endpoint.Name(), count)
	for _, holder := range holders {
		if holder.Name() == permitter.self.Name() {
			return rate / float64(len(holders))
		}
	}
	return 0
}

// Record records the report in an answer of endpoint to a request or to a health check.
func (permitter *Permitter) Record(now time.Time, endpoint definer.Endpoint, report definer.Report) {
	permitter.mu.Lock()
	defer permitter.mu.Unlock()
	rate, limited := report.Limit()
	known, ok := permitter.records[endpoint.Name()]
	if ok && known.endpoint.StartedAt() != endpoint.StartedAt() {
		delete(permitter.records, endpoint.Name())
		ok = false
	}
	warmupLeft, warmupKnown := report.WarmupLeft()
	if !ok && !limited && !report.Leaving() && report.RetryAfter() == 0 && warmupLeft == 0 {
		return
	}
	if !ok {
		known = &record{
			endpoint: endpoint, limit: newLimit(now, holderRate, burstTime),
			cold: newLimit(now, coldHolderRate, coldBurstTime),
		}
		permitter.records[endpoint.Name()] = known
	}
	known.statedAt = now
	if report.Leaving() && !known.leaving {
		known.leaving = true
		permitter.journal.Change("endpoint says that it leaves", "name", endpoint.Name(), "service", endpoint.Pool())
	}
	if until := now.Add(report.RetryAfter()); report.RetryAfter() > 0 && until.After(known.blockedUntil) {
		known.blockedUntil = until
		permitter.journal.Change("endpoint wants no requests for a time", "name", endpoint.Name(), "service", endpoint.Pool(),
			"retry-after", report.RetryAfter())
	}
	if warmupKnown {
		permitter.recordWarmup(now, known, warmupLeft)
	}
	if limited && rate != known.limit.rate {
		permitter.setRate(now, endpoint, &known.limit, rate)
	}
	if limited != known.limited {
		known.limited = limited
		permitter.journal.Change("endpoint named or withdrew a limit", "name", endpoint.Name(), "service", endpoint.Pool(),
			"limited", limited, "limit", known.limit.rate, "share", known.limit.share)
	}
}

// recordWarmup records that the endpoint of record stays cold for left; mu is held.
func (permitter *Permitter) recordWarmup(now time.Time, record *record, left time.Duration) {
	endpoint := record.endpoint
	if wasCold := now.Before(record.coldUntil); left > 0 && !wasCold {
		rate := permitter.coldRates.ColdRate(endpoint.Pool())
		permitter.setRate(now, endpoint, &record.cold, rate)
		permitter.journal.Change("endpoint is cold", "name", endpoint.Name(), "service", endpoint.Pool(),
			"left", left, "rate", rate, "share", record.cold.share)
	}
	record.coldUntil = now.Add(left)
}

// Candidates returns the endpoints that are worth probing: those that a request may
// be sent to, and those whose last answer is too old to tell.
func (permitter *Permitter) Candidates(now time.Time, endpoints []definer.Endpoint) []definer.Endpoint {
	permitter.mu.Lock()
	defer permitter.mu.Unlock()
	if len(permitter.records) == 0 {
		return endpoints
	}
	candidates := make([]definer.Endpoint, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if wait, ok := permitter.wait(now, endpoint); ok && wait == 0 || permitter.isStale(now, endpoint) {
			candidates = append(candidates, endpoint)
		}
	}
	return candidates
}

// isStale reports whether an endpoint's last answer is too old to tell what holds now;
// mu is held.
func (permitter *Permitter) isStale(now time.Time, endpoint definer.Endpoint) bool {
	record, ok := permitter.records[endpoint.Name()]
	if !ok || record.endpoint.StartedAt() != endpoint.StartedAt() {
		return true
	}
	return !record.leaving && record.blocked(now) == 0 && now.Sub(record.statedAt) >= recheckInterval
}

// wait returns the time until a request may be sent to endpoint; false if this host may
// send it none. The caller holds mu.
func (permitter *Permitter) wait(now time.Time, endpoint definer.Endpoint) (time.Duration, bool) {
	record, ok := permitter.records[endpoint.Name()]
	if !ok || record.endpoint.StartedAt() != endpoint.StartedAt() {
		return 0, true
	}
	return record.wait(now)
}

// Permits reports whether a request may be sent to endpoint.
func (permitter *Permitter) Permits(now time.Time, endpoint definer.Endpoint) bool {
	permitter.mu.Lock()
	defer permitter.mu.Unlock()
	wait, ok := permitter.wait(now, endpoint)
	return ok && wait == 0
}

// Take uses a permit for one request to endpoint. It returns false if there is none.
func (permitter *Permitter) Take(now time.Time, endpoint definer.Endpoint) bool {
	permitter.mu.Lock()
	defer permitter.mu.Unlock()
	if wait, ok := permitter.wait(now, endpoint); !ok || wait > 0 {
		return false
	}
	if record, ok := permitter.records[endpoint.Name()]; ok {
		for _, limit := range record.inForce(now) {
			limit.permits--
		}
	}
	return true
}

// NextPermit returns the time until a request may be sent to one of endpoints; false
// if this host may send none of them any.
func (permitter *Permitter) NextPermit(now time.Time, endpoints []definer.Endpoint) (time.Duration, bool) {
	permitter.mu.Lock()
	defer permitter.mu.Unlock()
	next, found := time.Duration(0), false
	for _, endpoint := range endpoints {
		if wait, ok := permitter.wait(now, endpoint); ok && (!found || wait < next) {
			next, found = wait, true
		}
	}
	return next, found
}

// Forget drops what is known about endpoints that are not in known.
func (permitter *Permitter) Forget(known map[string]bool) {
	permitter.mu.Lock()
	defer permitter.mu.Unlock()
	for name := range permitter.records {
		if !known[name] {
			delete(permitter.records, name)
		}
	}
}
