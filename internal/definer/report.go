package definer

// Report is what an endpoint says of its own load.
type Report struct {
	// healthy is true where the endpoint takes work.
	healthy bool
	// running and waiting count its requests; slots is 0 where they are unknown.
	running int
	waiting int
	slots   int
	// pace is how many times as long as usual work takes now; 0 for unknown.
	pace float64
}

// NewReport returns a report; slots is 0 where the load is not known, and pace
// is 0 where it is not known.
func NewReport(healthy bool, running, waiting, slots int, pace float64) Report {
	return Report{healthy: healthy, running: running, waiting: waiting, slots: slots, pace: pace}
}

// Healthy reports whether the endpoint takes work.
func (report Report) Healthy() bool { return report.healthy }

// Running returns how many requests the endpoint runs.
func (report Report) Running() int { return report.running }

// Waiting returns how many requests wait at the endpoint.
func (report Report) Waiting() int { return report.waiting }

// Slots returns how many requests the endpoint runs at once, or 0.
func (report Report) Slots() int { return report.slots }

// Pace returns how many times as long as usual work takes now, or 0.
func (report Report) Pace() float64 { return report.pace }
