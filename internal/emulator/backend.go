package emulator

import (
	"context"
	"sync"
	"time"
)

// BackendSettings are the properties and faults of an endpoint. All but the
// slots can be changed while it runs, by PUT /endpoints/NAME.
type BackendSettings struct {
	// Slots is how many requests run at once.
	Slots int `json:"slots"`
	// Queue is how many requests may wait for a slot, for QueueWaitMs each.
	Queue       int     `json:"queue"`
	QueueWaitMs float64 `json:"queue-wait-ms"`
	// ConnectionMs is what a new connection costs before its first request.
	ConnectionMs float64 `json:"connection-ms"`
	// The first ColdRequests after a start, and all within ColdMs of it, run
	// ColdFactor times as long.
	ColdRequests int     `json:"cold-requests"`
	ColdMs       float64 `json:"cold-ms"`
	ColdFactor   float64 `json:"cold-factor"`
	// Slow spells come at a mean distance of SlowEveryMs (0 for none), last
	// SlowForMs, and make work SlowFactor times as long.
	SlowEveryMs float64 `json:"slow-every-ms"`
	SlowForMs   float64 `json:"slow-for-ms"`
	SlowFactor  float64 `json:"slow-factor"`
	Seed        uint64  `json:"seed"`
	// RunFactor makes all work so many times as long.
	RunFactor float64 `json:"run-factor"`
	// CrashMs is how long the endpoint is down after a request crashed it.
	CrashMs float64 `json:"crash-ms"`
	// Draining makes the endpoint refuse new requests and say that it drains.
	Draining bool `json:"draining"`
	// FailFast is a status to answer every request with at once; 0 for off.
	// With 503 it says that the request did not run, else it says nothing.
	FailFast int `json:"fail-fast"`
	// Stopped takes the endpoint down as a crash does, until it is unset.
	Stopped bool `json:"stopped"`
	// HealthLagMs is how old the health report is; HealthState, where set, is
	// the state that it shows in place of the true one.
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

// Backend stands in for one endpoint of a backend server.
type Backend struct {
	name string
	// slots holds a token for each request that runs.
	slots   chan struct{}
	journal Journal

	// mu guards all fields below.
	mu       sync.Mutex
	settings BackendSettings
	spells   *spells
	// started is when the endpoint came up, and served how many requests it
	// began to run since.
	started time.Time
	served  int
	waiting int
	// meanMs is the running mean of run times.
	meanMs float64
	health healthHistory
	// changed is closed, and replaced, when the settings change.
	changed chan struct{}
	// crash ends the current life of the endpoint; nil while it is down.
	crash func()
	// crashed is true from a crash until the endpoint is up again.
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

// Name returns the endpoint's name.
func (backend *Backend) Name() string { return backend.name }

// Runs returns how often the request with id ran here.
func (backend *Backend) Runs(id string) Runs { return backend.journal.of(id) }

// Settings returns the current settings.
func (backend *Backend) Settings() BackendSettings {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	return backend.settings
}

// Change sets all settings but the slots.
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
	backend.spells = newSpells(settings.Seed, milliseconds(settings.SlowEveryMs), milliseconds(settings.SlowForMs), now)
	close(backend.changed)
	backend.changed = make(chan struct{})
	if settings.Stopped && backend.crash != nil {
		backend.crash()
	}
}

// enter waits for a slot and reports whether it got one. The caller gives it
// back with leave.
func (backend *Backend) enter(ctx context.Context) bool {
	select {
	case backend.slots <- struct{}{}:
		return true
	default:
	}
	wait, ok := backend.queueUp()
	if !ok {
		return false
	}
	defer backend.unqueue()
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

func (backend *Backend) leave() { <-backend.slots }

// queueUp takes a place in the queue, if there is one, and returns how long
// the request may wait.
func (backend *Backend) queueUp() (time.Duration, bool) {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	if backend.waiting >= backend.settings.Queue {
		return 0, false
	}
	backend.waiting++
	return milliseconds(backend.settings.QueueWaitMs), true
}

func (backend *Backend) unqueue() {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	backend.waiting--
}

// runTime returns how long work takes that starts at now.
func (backend *Backend) runTime(work time.Duration, now time.Time) time.Duration {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	settings := backend.settings
	factor := settings.RunFactor
	if backend.served < settings.ColdRequests || now.Sub(backend.started) < milliseconds(settings.ColdMs) {
		factor *= settings.ColdFactor
	}
	if backend.spells.slow(now) {
		factor *= settings.SlowFactor
	}
	backend.served++
	return time.Duration(float64(work) * factor)
}

// ran adds the time that a request took to the running mean.
func (backend *Backend) ran(took time.Duration) {
	const weight = 1.0 / 16
	backend.mu.Lock()
	defer backend.mu.Unlock()
	backend.meanMs += weight * (float64(took)/float64(time.Millisecond) - backend.meanMs)
}

// milliseconds returns a duration of value ms.
func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
