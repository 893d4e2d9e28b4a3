package definer

import "time"

// Endpoint is one address of a backend server in a pool.
type Endpoint struct {
	name    string
	pool    string
	address string
	place   Place
	// slots is how many requests the endpoint runs at once; at least 1.
	slots int
	// drained is true while operators keep new work from the endpoint.
	drained bool
	// healthPath is the path of its health check, or empty.
	healthPath string
	// born tells this start of the endpoint from others under its name.
	born int64
	// cold is for how long the endpoint was still slow after its start when
	// this was written.
	cold time.Duration
}

// NewEndpoint returns an endpoint of pool at address (IP:port) with slots slots.
func NewEndpoint(name, pool, address string, place Place, slots int) Endpoint {
	return Endpoint{name: name, pool: pool, address: address, place: place, slots: slots}
}

// Name returns the endpoint's name, unique in the configuration.
func (endpoint Endpoint) Name() string { return endpoint.name }

// Pool returns the name of the pool that the endpoint belongs to.
func (endpoint Endpoint) Pool() string { return endpoint.pool }

// Address returns the IP address and port that the endpoint listens on.
func (endpoint Endpoint) Address() string { return endpoint.address }

// Place returns where the endpoint stands.
func (endpoint Endpoint) Place() Place { return endpoint.place }

// Slots returns how many requests the endpoint runs at once.
func (endpoint Endpoint) Slots() int { return endpoint.slots }

// Drained reports whether operators keep new work from the endpoint.
func (endpoint Endpoint) Drained() bool { return endpoint.drained }

// WithDrained returns a copy with drained set.
func (endpoint Endpoint) WithDrained(drained bool) Endpoint {
	endpoint.drained = drained
	return endpoint
}

// HealthPath returns the path of the endpoint's health check, or empty.
func (endpoint Endpoint) HealthPath() string { return endpoint.healthPath }

// WithHealthPath returns a copy with the path of the health check.
func (endpoint Endpoint) WithHealthPath(path string) Endpoint {
	endpoint.healthPath = path
	return endpoint
}

// Born returns the time of the endpoint's start in milliseconds since 1970, or
// 0 where it is not known.
func (endpoint Endpoint) Born() int64 { return endpoint.born }

// WithBorn returns a copy with the time of the start.
func (endpoint Endpoint) WithBorn(born int64) Endpoint {
	endpoint.born = born
	return endpoint
}

// Cold returns for how long the endpoint was still slow after its start when
// it said so.
func (endpoint Endpoint) Cold() time.Duration { return endpoint.cold }

// WithCold returns a copy that is slow for a while after its start.
func (endpoint Endpoint) WithCold(cold time.Duration) Endpoint {
	endpoint.cold = cold
	return endpoint
}
