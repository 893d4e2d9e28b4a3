package definer

import (
	"maps"
	"net/http"
	"slices"
)

// Configuration is everything in force at one revision. It is immutable: a
// change makes a new Configuration. The zero value is the empty configuration
// at revision 0.
type Configuration struct {
	// revision only rises; 0 means that nothing was ever accepted.
	revision uint64
	// lineage is a digest of all steps that led here, so that two histories
	// which reached one revision number, as after a store that went back, are
	// told apart.
	lineage   uint64
	services  map[string]Service
	pools     map[string]struct{}
	endpoints map[string]Endpoint
	rules     map[string]Rule
	committee Committee
	// marks says which revision changed each object last; also for objects
	// that were removed within MemoryOfRemoved revisions.
	marks map[Object]Mark
}

// Revision returns the revision, which only rises.
func (configuration *Configuration) Revision() uint64 { return configuration.revision }

// Lineage returns a digest of all steps that led to this revision.
func (configuration *Configuration) Lineage() uint64 { return configuration.lineage }

// WithLineage returns a copy with the lineage of a snapshot.
func (configuration *Configuration) WithLineage(lineage uint64) *Configuration {
	clone := configuration.clone()
	clone.lineage = lineage
	return clone
}

// WithRevision returns a copy at revision.
func (configuration *Configuration) WithRevision(revision uint64) *Configuration {
	clone := configuration.clone()
	clone.revision = revision
	return clone
}

// Service returns the service called name.
func (configuration *Configuration) Service(name string) (Service, bool) {
	service, ok := configuration.services[name]
	return service, ok
}

// Services returns all services by name.
func (configuration *Configuration) Services() []Service {
	return sorted(configuration.services)
}

// HasPool reports whether a pool called name exists.
func (configuration *Configuration) HasPool(name string) bool {
	_, ok := configuration.pools[name]
	return ok
}

// Pools returns the names of all pools in order.
func (configuration *Configuration) Pools() []string {
	return slices.Sorted(maps.Keys(configuration.pools))
}

// Endpoint returns the endpoint called name.
func (configuration *Configuration) Endpoint(name string) (Endpoint, bool) {
	endpoint, ok := configuration.endpoints[name]
	return endpoint, ok
}

// Endpoints returns all endpoints by name.
func (configuration *Configuration) Endpoints() []Endpoint {
	return sorted(configuration.endpoints)
}

// EndpointsOf returns the endpoints of pool by name.
func (configuration *Configuration) EndpointsOf(pool string) []Endpoint {
	other := func(endpoint Endpoint) bool { return endpoint.pool != pool }
	return slices.DeleteFunc(configuration.Endpoints(), other)
}

// Rules returns all rules by name.
func (configuration *Configuration) Rules() []Rule { return sorted(configuration.rules) }

// RuleFor returns the rule that a request of service falls under. Where no
// rule matches, a safe method is repeatable and any other is not.
func (configuration *Configuration) RuleFor(service, method, path string) Rule {
	best := NewRule("", service, "", "", Repeatable(safe(method)))
	found := false
	for _, rule := range configuration.rules {
		if rule.matches(service, method, path) && (!found || rule.before(best)) {
			best = rule
			found = true
		}
	}
	return best
}

// WithService returns a copy that holds service.
func (configuration *Configuration) WithService(service Service) *Configuration {
	clone := configuration.clone()
	clone.services[service.name] = service
	return clone
}

// WithPool returns a copy that has a pool called name.
func (configuration *Configuration) WithPool(name string) *Configuration {
	clone := configuration.clone()
	clone.pools[name] = struct{}{}
	return clone
}

// WithEndpoint returns a copy that holds endpoint.
func (configuration *Configuration) WithEndpoint(endpoint Endpoint) *Configuration {
	clone := configuration.clone()
	clone.endpoints[endpoint.name] = endpoint
	return clone
}

// WithRule returns a copy that holds rule.
func (configuration *Configuration) WithRule(rule Rule) *Configuration {
	clone := configuration.clone()
	clone.rules[rule.name] = rule
	return clone
}

func (configuration *Configuration) clone() *Configuration {
	return &Configuration{
		revision:  configuration.revision,
		lineage:   configuration.lineage,
		services:  cloneMap(configuration.services),
		pools:     cloneMap(configuration.pools),
		endpoints: cloneMap(configuration.endpoints),
		rules:     cloneMap(configuration.rules),
		committee: configuration.committee,
		marks:     cloneMap(configuration.marks),
	}
}

func cloneMap[K comparable, V any](from map[K]V) map[K]V {
	to := make(map[K]V, len(from)+1)
	maps.Copy(to, from)
	return to
}

func sorted[V any](from map[string]V) []V {
	values := make([]V, 0, len(from))
	for _, name := range slices.Sorted(maps.Keys(from)) {
		values = append(values, from[name])
	}
	return values
}

// safe reports whether RFC 9110 calls method safe.
func safe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}
