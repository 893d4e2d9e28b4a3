package definer

import "time"

// Endpoint is one address of a backend server in a pool.
type Endpoint struct {
	name    string
	pool    string
	address string
	place   Place
	// slots is the number of requests that the endpoint runs concurrently; at
	// least 1.
	slots int
	// drained is true while operators have drained the endpoint, so that it
	// receives no new work.
	drained bool
	// healthPath is the path of the health check, or empty.
	healthPath string
	// startedAt is the start time of the endpoint's process, which
	// distinguishes it from earlier processes under the same name.
	startedAt int64
	// warmupLeft is the remaining warm-up time that the endpoint reported.
	warmupLeft time.Duration
}

// NewEndpoint returns an endpoint of pool at address (IP:port) that runs up to
// slots requests concurrently.
func NewEndpoint(name, pool, address string, place Place, slots int) Endpoint {
	return Endpoint{name: name, pool: pool, address: address, place: place, slots: slots}
}

// Name returns the endpoint's name, unique in the configuration.
func (endpoint Endpoint) Name() string { return endpoint.name }

// Pool returns the name of the pool that the endpoint belongs to.
func (endpoint Endpoint) Pool() string { return endpoint.pool }

// Address returns the IP address and port that the endpoint listens on.
func (endpoint Endpoint) Address() string { return endpoint.address }

// Place returns the location of the endpoint.
func (endpoint Endpoint) Place() Place { return endpoint.place }

// Slots returns the number of requests that the endpoint runs concurrently.
func (endpoint Endpoint) Slots() int { return endpoint.slots }

// Drained reports whether operators have drained the endpoint, so that it
// receives no new work.
func (endpoint Endpoint) Drained() bool { return endpoint.drained }

// WithDrained returns a copy with drained set.
func (endpoint Endpoint) WithDrained(drained bool) Endpoint {
	endpoint.drained = drained
	return endpoint
}

// HealthPath returns the path of the health check, or empty.
func (endpoint Endpoint) HealthPath() string { return endpoint.healthPath }

// WithHealthPath returns a copy with the path of the health check.
func (endpoint Endpoint) WithHealthPath(path string) Endpoint {
	endpoint.healthPath = path
	return endpoint
}

// StartedAt returns the start time of the endpoint's process in milliseconds
// since 1970, or 0 where it is unknown.
func (endpoint Endpoint) StartedAt() int64 { return endpoint.startedAt }

// WithStartedAt returns a copy with the start time startedAt.
func (endpoint Endpoint) WithStartedAt(startedAt int64) Endpoint {
	endpoint.startedAt = startedAt
	return endpoint
}

// WarmupLeft returns the remaining warm-up time that the endpoint reported,
// during which it is slower than usual.
func (endpoint Endpoint) WarmupLeft() time.Duration { return endpoint.warmupLeft }

// WithWarmupLeft returns a copy with the remaining warm-up time warmupLeft.
func (endpoint Endpoint) WithWarmupLeft(warmupLeft time.Duration) Endpoint {
	endpoint.warmupLeft = warmupLeft
	return endpoint
}
