package soaker

import (
	"fmt"
	"strings"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// The published routing has one host name with a repeatable route, a
// non-repeatable one, and one that every version moves to a service of its own.
// That service shows which version a gateway used for a request.
const (
	hostName       = "soak.example"
	manyPrefix     = "/many/"
	oncePrefix     = "/once/"
	movedPrefix    = "/moved/"
	manyService    = "many"
	onceService    = "once"
	movedService   = "moved-"
	attempts       = 3
	routeTimeout   = 8 * time.Second
	targetLatency  = 500 * time.Millisecond
	maxBodyBytes   = 1 << 20
	maxHeaderBytes = 16 << 10
	headerTimeout  = 5 * time.Second
	idleTimeout    = 30 * time.Second
)

var callerLimits = definer.NewCallerLimits(maxHeaderBytes, maxBodyBytes, headerTimeout, idleTimeout)

func routesOf(version uint64) []definer.Route {
	return []definer.Route{
		newRoute("many", manyPrefix, manyService, true),
		newRoute("once", oncePrefix, onceService, false, definer.RouteRegions([]string{regionName})),
		newRoute("moved", movedPrefix, movedServiceOf(version), true),
	}
}

func newRoute(name, prefix, service string, repeatable bool, options ...definer.RouteOption) definer.Route {
	options = append(options, definer.RouteRepeatable(repeatable), definer.RouteAttempts(attempts), definer.RouteTimeouts(routeTimeout, targetLatency))
	return definer.NewRoute(name, prefix, []definer.Destination{definer.NewDestination(service, 1)}, options...)
}

// movedServiceOf returns the service to which a version moves the moved route.
func movedServiceOf(version uint64) string { return fmt.Sprintf("%s%d", movedService, version) }

// routeAllows reports whether some version routes the path target to service.
func routeAllows(target, service string) bool {
	switch {
	case strings.HasPrefix(target, manyPrefix):
		return service == manyService
	case strings.HasPrefix(target, oncePrefix):
		return service == onceService
	}
	return strings.HasPrefix(target, movedPrefix) && strings.HasPrefix(service, movedService)
}

// versionOf returns the version that moves its route to service, or 0.
func versionOf(service string) uint64 {
	var version uint64
	if _, err := fmt.Sscanf(service, movedService+"%d", &version); err != nil {
		return 0
	}
	return version
}
