package definer

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Route defines the handling of requests for a host name and a path prefix.
type Route struct {
	name   string
	prefix string
	// destinations has at least one entry, each with a weight above 0.
	destinations []Destination
	// repeatable is true where a matching request may run more than once.
	repeatable bool
	// attempts is the maximum number of endpoints that one request is sent to;
	// at least 1.
	attempts int
	// timeout limits a request's time from its arrival; 0 for none.
	timeout time.Duration
	// target is the response time up to which an answer has its full value; 0
	// for none.
	target time.Duration
	// rank orders requests by urgency; 0 is the most urgent.
	rank int
	// public is true where requests need no API key.
	public bool
	// regions are those whose endpoints may get the requests; empty for all.
	regions []string
}

// RouteOption sets one property of a new route.
type RouteOption func(*Route)

// RouteRepeatable sets whether matching requests may run more than once.
func RouteRepeatable(repeatable bool) RouteOption {
	return func(route *Route) { route.repeatable = repeatable }
}

// RouteAttempts sets the maximum number of endpoints that one request is sent
// to.
func RouteAttempts(attempts int) RouteOption {
	return func(route *Route) { route.attempts = max(attempts, 1) }
}

// RouteTimeouts sets the time limit of a request and the target for its response
// time; 0 for none.
func RouteTimeouts(timeout, target time.Duration) RouteOption {
	return func(route *Route) { route.timeout, route.target = timeout, target }
}

// RouteRank sets the urgency; 0 is the most urgent.
func RouteRank(rank int) RouteOption { return func(route *Route) { route.rank = rank } }

// RoutePublic sets whether requests need no API key.
func RoutePublic(public bool) RouteOption { return func(route *Route) { route.public = public } }

// RouteRegions sets the regions whose endpoints may get the requests; none means all.
func RouteRegions(regions []string) RouteOption {
	return func(route *Route) { route.regions = regions }
}

// NewRoute returns a route. Without options its requests are not repeatable,
// have one attempt, and have no time limit.
func NewRoute(name, prefix string, destinations []Destination, options ...RouteOption) Route {
	route := Route{name: name, prefix: prefix, destinations: destinations, attempts: 1}
	for _, option := range options {
		option(&route)
	}
	return route
}

// Name returns the route's name, unique in its table.
func (route Route) Name() string { return route.name }

// Prefix returns the path prefix that the route matches.
func (route Route) Prefix() string { return route.prefix }

// Repeatable reports whether matching requests may run more than once.
func (route Route) Repeatable() bool { return route.repeatable }

// Attempts returns the maximum number of endpoints that one request is sent to.
func (route Route) Attempts() int { return route.attempts }

// Timeout returns the time limit of a request from its arrival, or 0.
func (route Route) Timeout() time.Duration { return route.timeout }

// Target returns the response time up to which an answer has its full value, or
// 0.
func (route Route) Target() time.Duration { return route.target }

// Rank returns the urgency; 0 is the most urgent.
func (route Route) Rank() int { return route.rank }

// Public reports whether requests need no API key.
func (route Route) Public() bool { return route.public }

// Regions returns the regions whose endpoints may get the requests; empty for all.
// Callers must not modify the slice.
func (route Route) Regions() []string { return route.regions }

// Destinations returns the services of the route; callers must not modify the
// slice.
func (route Route) Destinations() []Destination { return route.destinations }

// goldenRatio is the step of an additive recurrence, which spreads consecutive
// numbers over [0, 1) with low discrepancy.
const goldenRatio = 0.6180339887498949

// Pick returns the service for the request with number ticket. Any run of
// consecutive tickets is distributed over the services in proportion to their
// weights.
func (route Route) Pick(ticket uint64) string {
	total := 0
	for _, destination := range route.destinations {
		total += destination.weight
	}
	_, fraction := math.Modf(float64(ticket%(1<<32)) * goldenRatio)
	point := fraction * float64(total)
	for _, destination := range route.destinations {
		point -= float64(destination.weight)
		if point < 0 {
			return destination.service
		}
	}
	return route.destinations[len(route.destinations)-1].service
}

// Destination is a service that receives a share of a route's requests.
type Destination struct {
	service string
	// weight is at least 1.
	weight int
}

// NewDestination returns a destination whose share of the requests is weight
// divided by the sum of all weights.
func NewDestination(service string, weight int) Destination {
	return Destination{service: service, weight: weight}
}

// Service returns the name of the service.
func (destination Destination) Service() string { return destination.service }

// Weight returns the weight, relative to the other destinations of the route.
func (destination Destination) Weight() int { return destination.weight }

// CallerLimits limit the requests that a caller sends. A zero field means no
// limit.
type CallerLimits struct {
	headerBytes   int
	bodyBytes     int64
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// NewCallerLimits returns limits on the size of a header and a body, on the
// time to send a header, and on the idle time between requests.
func NewCallerLimits(headerBytes int, bodyBytes int64, headerTimeout, idleTimeout time.Duration) CallerLimits {
	return CallerLimits{
		headerBytes: headerBytes, bodyBytes: bodyBytes,
		headerTimeout: headerTimeout, idleTimeout: idleTimeout,
	}
}

// HeaderBytes returns the maximum size of a request's header.
func (callerLimits CallerLimits) HeaderBytes() int { return callerLimits.headerBytes }

// BodyBytes returns the maximum size of a request's body.
func (callerLimits CallerLimits) BodyBytes() int64 { return callerLimits.bodyBytes }

// HeaderTimeout returns the maximum time to send a header.
func (callerLimits CallerLimits) HeaderTimeout() time.Duration { return callerLimits.headerTimeout }

// IdleTimeout returns the maximum idle time between requests.
func (callerLimits CallerLimits) IdleTimeout() time.Duration { return callerLimits.idleTimeout }

// RouteTable is the routing that operators have set, at one version. It is
// immutable. The zero value is the empty table at version 0, which means that
// no table was set.
type RouteTable struct {
	// version rises with each change.
	version uint64
	// routes holds the routes of each host name, the longest prefix first.
	routes map[string][]Route
	// healthPaths holds the path of the health check of each service.
	healthPaths map[string]string
	limits      CallerLimits
	accounts    accounts
	// coldRates holds the requests per second that one cold endpoint of a service takes,
	// as far as they are bounded.
	coldRates map[string]float64
}

// NewRouteTable returns a table without accounts. The keys of routes are host names in
// lower case.
func NewRouteTable(version uint64, routes map[string][]Route, healthPaths map[string]string, limits CallerLimits) *RouteTable {
	table := &RouteTable{version: version, routes: make(map[string][]Route, len(routes)), healthPaths: healthPaths, limits: limits}
	for host, list := range routes {
		list = slices.Clone(list)
		slices.SortStableFunc(list, func(a, b Route) int { return len(b.prefix) - len(a.prefix) })
		table.routes[host] = list
	}
	return table
}

// With returns a copy with options. It fails if they contradict each other.
func (routeTable *RouteTable) With(options ...TableOption) (*RouteTable, error) {
	clone := *routeTable
	clone.accounts, clone.coldRates = accounts{}, nil
	for _, option := range options {
		if err := option(&clone); err != nil {
			return nil, err
		}
	}
	return &clone, nil
}

// Version returns the version, or 0 where no table was set.
func (routeTable *RouteTable) Version() uint64 { return routeTable.version }

// Limits returns the limits on the requests of callers.
func (routeTable *RouteTable) Limits() CallerLimits { return routeTable.limits }

// Find returns the route with the longest prefix of path. The port and the case
// of host are ignored.
func (routeTable *RouteTable) Find(host, path string) (Route, bool) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	for _, route := range routeTable.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// HostRegions returns the regions that all routes of host that are limited to regions
// have in common; empty if none is limited or they have none in common.
func (routeTable *RouteTable) HostRegions(host string) []string {
	var regions []string
	for _, route := range routeTable.routes[strings.ToLower(host)] {
		regions, _ = CommonRegions(regions, route.regions)
	}
	return regions
}

// HealthPath returns the path of the health check of service, or false where
// the table has no such service.
func (routeTable *RouteTable) HealthPath(service string) (string, bool) {
	path, ok := routeTable.healthPaths[service]
	return path, ok
}

// RouteCount returns the number of routes.
func (routeTable *RouteTable) RouteCount() int {
	count := 0
	for _, list := range routeTable.routes {
		count += len(list)
	}
	return count
}
