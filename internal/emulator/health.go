package emulator

import "time"

// healthInterval is the minimum interval between two retained reports.
const healthInterval = 10 * time.Millisecond

// maxHealthReports limits the history, and with it the age of a stale report.
const maxHealthReports = 1000

// healthReport is the response to GET /health.
type healthReport struct {
	State    string  `json:"state"`
	InFlight int     `json:"in-flight"`
	Slots    int     `json:"slots"`
	RunMs    float64 `json:"run-ms"`
}

// healthHistory retains past reports, so that an endpoint can send a stale one.
// The zero value is empty.
type healthHistory struct {
	times   []time.Time
	reports []healthReport
}

// add retains report unless the last one is less than healthInterval older.
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

// at returns the newest report that is not newer than then, or else the oldest.
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

// report returns the current state of the backend.
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

// publishedReport returns the report that the endpoint sends at now, which may
// be stale or wrong, depending on the settings.
func (backend *Backend) publishedReport(now time.Time) healthReport {
	current := backend.report()
	backend.mu.Lock()
	defer backend.mu.Unlock()
	backend.health.add(current, now)
	published := current
	if lag := milliseconds(backend.settings.HealthLagMs); lag > 0 {
		published = backend.health.at(now.Add(-lag))
	}
	if backend.settings.HealthState != "" {
		published.State = backend.settings.HealthState
	}
	return published
}

// recordHealth adds the current report to the history; each request calls it.
func (backend *Backend) recordHealth(now time.Time) {
	current := backend.report()
	backend.mu.Lock()
	defer backend.mu.Unlock()
	backend.health.add(current, now)
}
