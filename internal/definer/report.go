package definer

import "time"

// Report is an endpoint's report of its own load.
type Report struct {
	// healthy is true where the endpoint accepts work.
	healthy bool
	// running and waiting count requests; slots is 0 where the load is unknown.
	running int
	waiting int
	slots   int
	// slowdown is the ratio of the current service time to the usual one; 0
	// where it is unknown.
	slowdown float64
	// limit is the number of requests per second that the endpoint takes from all
	// hosts together; it applies if limited is true.
	limit   float64
	limited bool
	// leaving is true where the endpoint states that it leaves.
	leaving bool
	// retryAfter is the time for which the endpoint wants no requests from this host; 0
	// for none.
	retryAfter time.Duration
	// warmupLeft is the time for which the endpoint stays cold; it applies if warmupKnown
	// is true.
	warmupLeft  time.Duration
	warmupKnown bool
}

// NewReport returns a report. A zero slots or slowdown means unknown.
func NewReport(healthy bool, running, waiting, slots int, slowdown float64) Report {
	return Report{healthy: healthy, running: running, waiting: waiting, slots: slots, slowdown: slowdown}
}

// Healthy reports whether the endpoint accepts work.
func (report Report) Healthy() bool { return report.healthy }

// Running returns the number of requests that the endpoint runs.
func (report Report) Running() int { return report.running }

// Waiting returns the number of requests queued at the endpoint.
func (report Report) Waiting() int { return report.waiting }

// Slots returns the number of requests that the endpoint runs concurrently, or
// 0 where it is unknown.
func (report Report) Slots() int { return report.slots }

// Slowdown returns the ratio of the current service time to the usual one, or 0
// where it is unknown.
func (report Report) Slowdown() float64 { return report.slowdown }

// Limit returns the number of requests per second that the endpoint takes from all
// hosts together, and whether it named such a limit.
func (report Report) Limit() (rate float64, limited bool) { return report.limit, report.limited }

// WithLimit returns a copy with a limit of rate requests per second.
func (report Report) WithLimit(rate float64) Report {
	report.limit, report.limited = rate, true
	return report
}

// Leaving reports whether the endpoint states that it leaves.
func (report Report) Leaving() bool { return report.leaving }

// WithLeaving returns a copy with leaving set.
func (report Report) WithLeaving(leaving bool) Report {
	report.leaving = leaving
	return report
}

// RetryAfter returns the time for which the endpoint wants no requests from this host, or
// 0.
func (report Report) RetryAfter() time.Duration { return report.retryAfter }

// WithRetryAfter returns a copy of the report of an endpoint that wants no requests from
// this host for a time.
func (report Report) WithRetryAfter(retryAfter time.Duration) Report {
	report.retryAfter = retryAfter
	return report
}

// WarmupLeft returns the time for which the endpoint stays cold, and whether it stated
// it.
func (report Report) WarmupLeft() (left time.Duration, known bool) {
	return report.warmupLeft, report.warmupKnown
}

// WithWarmupLeft returns a copy of the report of an endpoint that stays cold for a time.
func (report Report) WithWarmupLeft(left time.Duration) Report {
	report.warmupLeft, report.warmupKnown = left, true
	return report
}

// WithLoad returns a copy with other numbers of running and waiting requests.
func (report Report) WithLoad(running, waiting int) Report {
	report.running, report.waiting = running, waiting
	return report
}

// WithHealth returns a copy of the report of an endpoint that accepts work or does not.
func (report Report) WithHealth(healthy bool) Report {
	report.healthy = healthy
	return report
}
