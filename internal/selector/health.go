package selector

import "time"

const (
	// failuresToEject is how many failures in a row eject an endpoint. One
	// refused or lost connection counts as that many.
	failuresToEject = 3
	// minEjection is the length of the first ejection. Each further one in a
	// row doubles it, up to maxEjection.
	minEjection = time.Second
	maxEjection = 60 * time.Second
	// drainSignalTime is how long a drain signal holds without being repeated.
	drainSignalTime = 30 * time.Second
	// minShedPause is the pause after the first shed request. Each further one
	// in a row doubles it, up to maxShedPause.
	minShedPause = 10 * time.Millisecond
	maxShedPause = time.Second
	// warmupStep is how much one answer raises the limit of a cold endpoint.
	warmupStep = 0.5
)

// health tracks whether an endpoint accepts new work, and how much.
type health struct {
	// allowed is how many requests may run, from 1 to the endpoint's slots.
	allowed float64
	// failures counts the failures since the last answer.
	failures int
	// ejections and sheds count events in a row, for the backoff.
	ejections int
	sheds     int
	// ejectedUntil, drainedUntil and pausedUntil are zero or the end of a
	// period without new work. Afterwards the endpoint gets one request at
	// first.
	ejectedUntil time.Time
	drainedUntil time.Time
	pausedUntil  time.Time
	// reportedDraining is true while other hosts report that the endpoint is
	// draining.
	reportedDraining bool
}

func (health *health) ejected(now time.Time) bool { return now.Before(health.ejectedUntil) }
func (health *health) draining(now time.Time) bool {
	return health.reportedDraining || now.Before(health.drainedUntil)
}
func (health *health) paused(now time.Time) bool { return now.Before(health.pausedUntil) }

// recordSuccess records an answer of an endpoint with slots slots.
func (health *health) recordSuccess(slots int) {
	health.failures = 0
	health.sheds = 0
	health.allowed = min(float64(slots), health.allowed+warmupStep)
	if health.allowed == float64(slots) {
		health.ejections = 0
	}
}

// recordFailure records a failure, and ejects the endpoint after several.
func (health *health) recordFailure(now time.Time, outcome Outcome) {
	health.failures++
	if outcome != Failed {
		health.failures = max(health.failures, failuresToEject)
	}
	if health.failures < failuresToEject || health.ejected(now) {
		return
	}
	health.ejectedUntil = now.Add(backoff(minEjection, maxEjection, health.ejections))
	health.ejections++
	// If the one request after the ejection fails, that ejects again.
	health.failures = failuresToEject - 1
	health.allowed = 1
}

// recordShed records a request that the endpoint refused as not run while
// running others ran: for now it has fewer slots than defined.
func (health *health) recordShed(now time.Time, running int) {
	health.pausedUntil = now.Add(backoff(minShedPause, maxShedPause, health.sheds))
	health.sheds++
	health.allowed = max(1, min(health.allowed, float64(running)))
}

// recordDrain records a drain signal.
func (health *health) recordDrain(now time.Time) {
	health.drainedUntil = now.Add(drainSignalTime)
	health.allowed = 1
}

// backoff returns first doubled count times, up to most.
func backoff(first, most time.Duration, count int) time.Duration {
	for range count {
		first *= 2
		if first >= most {
			return most
		}
	}
	return first
}
