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

// Permitter keeps the permits of one host. Make one with New. It is safe for
// concurrent use.
type Permitter struct {
	self    definer.Host
	journal Journal
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
	return &Permitter{self: self, journal: journal, listedAt: make(map[string]time.Time), records: make(map[string]*record)}
}

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
}

// burst returns the largest number of permits.
func (limit *limit) burst() float64 { return max(1, limit.share*burstTime.Seconds()) }

// refill adds the permits for the time since they were last counted.
func (limit *limit) refill(now time.Time) {
	earned := limit.share * now.Sub(limit.countedAt).Seconds()
	limit.permits = min(limit.permits+max(earned, 0), limit.burst())
	limit.countedAt = now
}

// wait returns the time until a request may be sent; false if this host may send none.
func (record *record) wait(now time.Time) (time.Duration, bool) {
	limit := &record.limit
	limit.refill(now)
	switch {
	case record.leaving, record.limited && limit.share <= 0:
		return 0, false
	case !record.limited || limit.permits >= 1:
		return record.blocked(now), true
	}
	return max(record.blocked(now), time.Duration(math.Ceil((1-limit.permits)/limit.share*float64(time.Second)))), true
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
		record.limit.refill(now)
		record.limit.share = permitter.share(record.endpoint, record.limit.rate)
	}
}

// share returns the part of a limit of rate requests per second that this host may
// use; mu is held.
func (permitter *Permitter) share(endpoint definer.Endpoint, rate float64) float64 {
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
	if !ok && !limited && !report.Leaving() && report.RetryAfter() == 0 {
		return
	}
	if !ok {
		known = &record{endpoint: endpoint, limit: limit{permits: 1, countedAt: now}}
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
	if limited && rate != known.limit.rate {
		known.limit.refill(now)
		known.limit.rate, known.limit.share = rate, permitter.share(endpoint, rate)
	}
	if limited != known.limited {
		known.limited = limited
		permitter.journal.Change("endpoint named or withdrew a limit", "name", endpoint.Name(), "service", endpoint.Pool(),
			"limited", limited, "limit", known.limit.rate, "share", known.limit.share)
	}
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
	if record, ok := permitter.records[endpoint.Name()]; ok && record.limited {
		record.limit.permits--
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
