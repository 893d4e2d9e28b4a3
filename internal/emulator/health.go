package emulator

import "time"

// healthInterval is the least distance of two reports that are kept.
const healthInterval = 10 * time.Millisecond

// maxHealthReports bounds the history, and with it how old a report gets.
const maxHealthReports = 1000

// healthReport is what an endpoint says of itself under GET /health.
type healthReport struct {
	State    string  `json:"state"`
	InFlight int     `json:"in-flight"`
	Slots    int     `json:"slots"`
	RunMs    float64 `json:"run-ms"`
}

// healthHistory keeps past reports, so that an endpoint can show a stale one.
// The zero value is empty.
type healthHistory struct {
	times   []time.Time
	reports []healthReport
}

// add keeps report unless the last one is too near.
func (healthHistory *healthHistory) add(report healthReport, now time.Time) {
	count := len(healthHistory.times)
	if count > 0 && now.Sub(healthHistory.times[count-1]) < healthInterval {
		return
	}
	if count == maxHealthReports {
		healthHistory.times = healthHistory.times[1:]
		healthHistory.reports = healthHistory.reports[1:]
	}
	healthHistory.times = append(healthHistory.times, now)
	healthHistory.reports = append(healthHistory.reports, report)
}

// at returns the newest report not younger than then, or the oldest of all.
func (healthHistory *healthHistory) at(then time.Time) healthReport {
	for index := len(healthHistory.times) - 1; index >= 0; index-- {
		if !healthHistory.times[index].After(then) {
			return healthHistory.reports[index]
		}
	}
	if len(healthHistory.reports) > 0 {
		return healthHistory.reports[0]
	}
	return healthReport{State: "live"}
}

// report returns the state of backend at now.
func (backend *Backend) report() healthReport {
	report := healthReport{State: "live", InFlight: len(backend.slots), Slots: cap(backend.slots)}
	backend.mu.Lock()
	defer backend.mu.Unlock()
	report.RunMs = backend.meanMs
	if backend.settings.Draining {
		report.State = "draining"
	}
	return report
}

// shownReport returns the report that the endpoint shows at now, which may be
// stale or untrue.
func (backend *Backend) shownReport(now time.Time) healthReport {
	current := backend.report()
	backend.mu.Lock()
	defer backend.mu.Unlock()
	backend.health.add(current, now)
	shown := current
	if lag := milliseconds(backend.settings.HealthLagMs); lag > 0 {
		shown = backend.health.at(now.Add(-lag))
	}
	if backend.settings.HealthState != "" {
		shown.State = backend.settings.HealthState
	}
	return shown
}

// note keeps a report of now for later, as each request does.
func (backend *Backend) note(now time.Time) {
	current := backend.report()
	backend.mu.Lock()
	defer backend.mu.Unlock()
	backend.health.add(current, now)
}
