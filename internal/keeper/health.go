package keeper

import "time"

const (
	// strikesToEject is how many failures in a row eject an endpoint; a
	// connection that is refused or lost counts as many at once.
	strikesToEject = 3
	// ejectionTime is the first ejection's length; each further one in a row
	// doubles it up to ejectionMost.
	ejectionTime = time.Second
	ejectionMost = 60 * time.Second
	// drainTime is how long the drain sign holds without being repeated.
	drainTime = 30 * time.Second
	// shedPause is the first pause after a shed request; each further one in a
	// row doubles it up to shedPauseMost.
	shedPause     = 10 * time.Millisecond
	shedPauseMost = time.Second
	// warmStep is how much one answer raises the limit of a cold endpoint.
	warmStep = 0.5
)

// health says whether an endpoint takes new work, and how much.
type health struct {
	// allowed is how many requests may run, from 1 to the endpoint's slots.
	allowed float64
	// strikes counts the failures since the last answer.
	strikes int
	// ejections and sheds count in a row, for the backoff.
	ejections int
	sheds     int
	// ejectedUntil, drainedUntil and pausedUntil are zero or the end of a time
	// without new work. One request is let through afterwards.
	ejectedUntil time.Time
	drainedUntil time.Time
	pausedUntil  time.Time
	// held is true while others say that the endpoint is draining.
	held bool
}

func (health *health) ejected(now time.Time) bool { return now.Before(health.ejectedUntil) }
func (health *health) draining(now time.Time) bool {
	return health.held || now.Before(health.drainedUntil)
}
func (health *health) paused(now time.Time) bool { return now.Before(health.pausedUntil) }

// succeed takes in an answer of an endpoint with slots slots.
func (health *health) succeed(slots int) {
	health.strikes = 0
	health.sheds = 0
	health.allowed = min(float64(slots), health.allowed+warmStep)
	if health.allowed == float64(slots) {
		health.ejections = 0
	}
}

// fail takes in a failure, and ejects the endpoint after several.
func (health *health) fail(now time.Time, outcome Outcome) {
	health.strikes++
	if outcome != Failed {
		health.strikes = max(health.strikes, strikesToEject)
	}
	if health.strikes < strikesToEject || health.ejected(now) {
		return
	}
	health.ejectedUntil = now.Add(backoff(ejectionTime, ejectionMost, health.ejections))
	health.ejections++
	// The first failure of the one request let through ejects again.
	health.strikes = strikesToEject - 1
	health.allowed = 1
}

// shed takes in a request that the endpoint refused as not run while running
// others ran: it has fewer slots than defined for now.
func (health *health) shed(now time.Time, running int) {
	health.pausedUntil = now.Add(backoff(shedPause, shedPauseMost, health.sheds))
	health.sheds++
	health.allowed = max(1, min(health.allowed, float64(running)))
}

// drain takes in a drain sign.
func (health *health) drain(now time.Time) {
	health.drainedUntil = now.Add(drainTime)
	health.allowed = 1
}

// backoff doubles first for each of count, up to most.
func backoff(first, most time.Duration, count int) time.Duration {
	for range count {
		first *= 2
		if first >= most {
			return most
		}
	}
	return first
}
