package definer

import (
	"maps"
	"net/http"
	"slices"
)

// Configuration is the set of all accepted definitions at one revision. It is
// immutable: a change makes a new Configuration. The zero value is the empty
// configuration at revision 0.
type Configuration struct {
	// revision never decreases; 0 means that no change was accepted yet.
	revision uint64
	// lineage is a digest of all steps up to this revision. It distinguishes
	// two histories that reached the same revision number, as after the store
	// was restored from an older copy.
	lineage   uint64
	services  map[string]Service
	pools     map[string]struct{}
	endpoints map[string]Endpoint
	rules     map[string]Rule
	committee Committee
	// marks holds the last change of each object, including objects that were
	// removed within the last RemovedMarkRevisions revisions.
	marks map[Object]Mark
}

// Revision returns the revision, which never decreases.
func (configuration *Configuration) Revision() uint64 { return configuration.revision }

// Lineage returns a digest of all steps up to this revision.
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

// Services returns all services, sorted by name.
func (configuration *Configuration) Services() []Service {
	return sortedByName(configuration.services)
}

// HasPool reports whether a pool called name exists.
func (configuration *Configuration) HasPool(name string) bool {
	_, ok := configuration.pools[name]
	return ok
}

// Pools returns the names of all pools, sorted.
func (configuration *Configuration) Pools() []string {
	return slices.Sorted(maps.Keys(configuration.pools))
}

// Endpoint returns the endpoint called name.
func (configuration *Configuration) Endpoint(name string) (Endpoint, bool) {
	endpoint, ok := configuration.endpoints[name]
	return endpoint, ok
}

// Endpoints returns all endpoints, sorted by name.
func (configuration *Configuration) Endpoints() []Endpoint {
	return sortedByName(configuration.endpoints)
}

// EndpointsOf returns the endpoints of pool, sorted by name.
func (configuration *Configuration) EndpointsOf(pool string) []Endpoint {
	other := func(endpoint Endpoint) bool { return endpoint.pool != pool }
	return slices.DeleteFunc(configuration.Endpoints(), other)
}

// Rules returns all rules, sorted by name.
func (configuration *Configuration) Rules() []Rule { return sortedByName(configuration.rules) }

// RuleFor returns the rule that applies to a request of service. Where no rule
// matches, a request with a safe method is repeatable and any other is not.
func (configuration *Configuration) RuleFor(service, method, path string) Rule {
	best := NewRule("", service, "", "", Repeatable(isSafe(method)))
	found := false
	for _, rule := range configuration.rules {
		if rule.matches(service, method, path) && (!found || rule.precedes(best)) {
			best = rule
			found = true
		}
	}
	return best
}

// WithService returns a copy that contains service.
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

// WithEndpoint returns a copy that contains endpoint.
func (configuration *Configuration) WithEndpoint(endpoint Endpoint) *Configuration {
	clone := configuration.clone()
	clone.endpoints[endpoint.name] = endpoint
	return clone
}

// WithRule returns a copy that contains rule.
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

func cloneMap[K comparable, V any](source map[K]V) map[K]V {
	clone := make(map[K]V, len(source)+1)
	maps.Copy(clone, source)
	return clone
}

func sortedByName[V any](source map[string]V) []V {
	values := make([]V, 0, len(source))
	for _, name := range slices.Sorted(maps.Keys(source)) {
		values = append(values, source[name])
	}
	return values
}

// isSafe reports whether method is safe as defined by RFC 9110.
func isSafe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}
