package definer

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
