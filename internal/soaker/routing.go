package soaker

import (
	"fmt"
	"strings"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// The routing that is published: one host name with a route of each kind, and
// one that every version moves to a service of its own, which so tells the
// version that a gateway went by.
const (
	hostName       = "soak.example"
	manyPrefix     = "/many/"
	oncePrefix     = "/once/"
	movedPrefix    = "/moved/"
	manyService    = "many"
	onceService    = "once"
	movedService   = "moved-"
	attempts       = 3
	requestTimeout = 1500 * time.Millisecond
	targetLatency  = 500 * time.Millisecond
	maxBodyBytes   = 1 << 20
	maxHeaderBytes = 16 << 10
	headerTimeout  = 5 * time.Second
	idleTimeout    = 30 * time.Second
)

var callerLimits = definer.NewCallerLimits(maxHeaderBytes, maxBodyBytes, headerTimeout, idleTimeout)

// routesOf returns the routes of a version.
func routesOf(version uint64) []definer.Route {
	return []definer.Route{
		newRoute("many", manyPrefix, manyService, true),
		newRoute("once", oncePrefix, onceService, false),
		newRoute("moved", movedPrefix, movedServiceOf(version), true),
	}
}

func newRoute(name, prefix, service string, repeatable bool) definer.Route {
	return definer.NewRoute(name, prefix, []definer.Destination{definer.NewDestination(service, 1)},
		definer.RouteRepeatable(repeatable), definer.RouteAttempts(attempts), definer.RouteTimes(requestTimeout, targetLatency))
}

// movedServiceOf returns where a version moves its route.
func movedServiceOf(version uint64) string { return fmt.Sprintf("%s%d", movedService, version) }

// allowed reports whether some version lets the path go to service.
func routeAllows(target, service string) bool {
	switch {
	case strings.HasPrefix(target, manyPrefix):
		return service == manyService
	case strings.HasPrefix(target, oncePrefix):
		return service == onceService
	}
	return strings.HasPrefix(target, movedPrefix) && strings.HasPrefix(service, movedService)
}

// versionOf returns the version that moved a route to service, or 0.
func versionOf(service string) uint64 {
	var version uint64
	if _, err := fmt.Sscanf(service, movedService+"%d", &version); err != nil {
		return 0
	}
	return version
}
