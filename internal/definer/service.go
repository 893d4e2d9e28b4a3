package definer

// Service is the name that callers address; its requests run on the endpoints
// of one pool.
type Service struct {
	name string
	pool string
}

// NewService returns a service whose requests run on pool.
func NewService(name, pool string) Service { return Service{name: name, pool: pool} }

// Name returns the service's name, unique in the configuration.
func (service Service) Name() string { return service.name }

// Pool returns the name of the pool that runs the service's requests.
func (service Service) Pool() string { return service.pool }
