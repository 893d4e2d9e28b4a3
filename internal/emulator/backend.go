package emulator

import (
	"context"
	"sync"
	"time"
)

// BackendSettings are the properties and faults of an emulated endpoint. All
// but Slots can be changed at run time by PUT /endpoints/NAME.
type BackendSettings struct {
	// Slots is the number of requests that run concurrently.
	Slots int `json:"slots"`
	// Queue is the number of requests that may wait for a slot, each for up
	// to QueueWaitMs.
	Queue       int     `json:"queue"`
	QueueWaitMs float64 `json:"queue-wait-ms"`
	// ConnectionMs is the delay of a new connection before its first request.
	ConnectionMs float64 `json:"connection-ms"`
	// The first ColdRequests requests after a start, and all requests within
	// ColdMs of it, take ColdFactor times as long.
	ColdRequests int     `json:"cold-requests"`
	ColdMs       float64 `json:"cold-ms"`
	ColdFactor   float64 `json:"cold-factor"`
	// Slow periods start at a mean interval of SlowEveryMs (0 for none) after
	// the previous one, last SlowForMs, and multiply run times by SlowFactor.
	SlowEveryMs float64 `json:"slow-every-ms"`
	SlowForMs   float64 `json:"slow-for-ms"`
	SlowFactor  float64 `json:"slow-factor"`
	Seed        uint64  `json:"seed"`
	// RunFactor multiplies all run times.
	RunFactor float64 `json:"run-factor"`
	// CrashMs is how long the endpoint is down after a crash.
	CrashMs float64 `json:"crash-ms"`
	// Draining makes the endpoint refuse new requests and report that it drains.
	Draining bool `json:"draining"`
	// FailFast is a status with which every request is answered immediately; 0
	// for off. Only a 503 also states that the request did not run.
	FailFast int `json:"fail-fast"`
	// Stopped takes the endpoint down, as a crash does, until it is cleared.
	Stopped bool `json:"stopped"`
	// HealthLagMs is the age of the health report; HealthState, if set,
	// replaces the actual state in it.
	HealthLagMs float64 `json:"health-lag-ms"`
	HealthState string  `json:"health-state"`
}

// DefaultBackendSettings returns an endpoint without faults.
func DefaultBackendSettings() BackendSettings {
	return BackendSettings{
		Slots:        4,
		Queue:        4,
		QueueWaitMs:  10,
		ConnectionMs: 1,
		ColdFactor:   4,
		SlowFactor:   4,
		RunFactor:    1,
		CrashMs:      1000,
	}
}

// Backend emulates one endpoint of a backend server.
type Backend struct {
	name string
	// slots holds a token for each running request.
	slots   chan struct{}
	journal Journal

	// mu guards all fields below.
	mu          sync.Mutex
	settings    BackendSettings
	slowPeriods *slowPeriods
	// started is when the endpoint last started, and served the number of
	// requests that it has begun to run since.
	started time.Time
	served  int
	waiting int
	// meanMs is the exponentially weighted mean of run times, in milliseconds.
	meanMs float64
	health healthHistory
	// changed is closed and replaced when the settings change.
	changed chan struct{}
	// crash stops the current instance of the endpoint; nil while it is down.
	crash func()
	// crashed is true from a crash until the endpoint has restarted.
	crashed bool
}

// NewBackend returns an endpoint called name.
func NewBackend(name string, settings BackendSettings) *Backend {
	settings.Slots = max(settings.Slots, 1)
	backend := &Backend{
		name:    name,
		slots:   make(chan struct{}, settings.Slots),
		changed: make(chan struct{}),
	}
	backend.apply(settings, time.Now())
	return backend
}

// Name returns the name of the endpoint.
func (backend *Backend) Name() string { return backend.name }

// Runs returns how often the request with id ran at this endpoint.
func (backend *Backend) Runs(id string) Runs { return backend.journal.of(id) }

// Settings returns a copy of the current settings.
func (backend *Backend) Settings() BackendSettings {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	return backend.settings
}

// Change replaces all settings but Slots.
func (backend *Backend) Change(settings BackendSettings) {
	backend.apply(settings, time.Now())
}

// Drain makes the endpoint refuse new requests.
func (backend *Backend) Drain() {
	settings := backend.Settings()
	settings.Draining = true
	backend.Change(settings)
}

func (backend *Backend) apply(settings BackendSettings, now time.Time) {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	settings.Slots = cap(backend.slots)
	backend.settings = settings
	backend.slowPeriods = newSlowPeriods(settings.Seed, milliseconds(settings.SlowEveryMs), milliseconds(settings.SlowForMs), now)
	close(backend.changed)
	backend.changed = make(chan struct{})
	if settings.Stopped && backend.crash != nil {
		backend.crash()
	}
}

// acquireSlot waits for a slot and reports whether it acquired one. The caller
// releases it with releaseSlot.
func (backend *Backend) acquireSlot(ctx context.Context) bool {
	select {
	case backend.slots <- struct{}{}:
		return true
	default:
	}
	wait, ok := backend.enqueue()
	if !ok {
		return false
	}
	defer backend.dequeue()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case backend.slots <- struct{}{}:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

func (backend *Backend) releaseSlot() { <-backend.slots }

// enqueue adds a request to the queue, unless it is full, and returns how long
// the request may wait.
func (backend *Backend) enqueue() (time.Duration, bool) {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	if backend.waiting >= backend.settings.Queue {
		return 0, false
	}
	backend.waiting++
	return milliseconds(backend.settings.QueueWaitMs), true
}

func (backend *Backend) dequeue() {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	backend.waiting--
}

// runTime returns the run time of work that starts at now, with all slowdowns applied.
func (backend *Backend) runTime(work time.Duration, now time.Time) time.Duration {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	settings := backend.settings
	factor := settings.RunFactor
	if backend.served < settings.ColdRequests || now.Sub(backend.started) < milliseconds(settings.ColdMs) {
		factor *= settings.ColdFactor
	}
	if backend.slowPeriods.slow(now) {
		factor *= settings.SlowFactor
	}
	backend.served++
	return time.Duration(float64(work) * factor)
}

// recordRunTime adds the run time of a request to the mean.
func (backend *Backend) recordRunTime(runTime time.Duration) {
	const weight = 1.0 / 16
	backend.mu.Lock()
	defer backend.mu.Unlock()
	backend.meanMs += weight * (float64(runTime)/float64(time.Millisecond) - backend.meanMs)
}

// milliseconds converts value, in milliseconds, to a duration.
func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
