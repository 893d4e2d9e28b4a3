package inspector

import (
	"strings"

	"github.com/chivespool/chivespool/internal/definer"
)

const (
	// maxUnrepeatableAttempts bounds the attempts of a request that may run only once. A
	// further attempt is made only if the one before certainly did not run, and the
	// dispatcher does not count the first two of these, so that 3 allow 5.
	maxUnrepeatableAttempts = 3
	// maxColdRate is in requests per second for one endpoint. An endpoint processes 6
	// requests of 190 ms at once, so 32 per second when warm; this is three times that.
	maxColdRate = 100
	// headerBytesBesidesPath holds the request line without its path, the deadline, the
	// request ID and the API key.
	headerBytesBesidesPath = 512
	// minBodyBytes is the least useful limit for a route whose requests carry a body.
	minBodyBytes = 1024
)

// findUnmatched reports the entries that no request can match.
func findUnmatched(configuration *Configuration, report *report) {
	first := make(map[[2]string]Route, len(configuration.routes))
	used := make(map[string]bool)
	for _, route := range configuration.routes {
		place := [2]string{route.host, route.route.Prefix()}
		if earlier, ok := first[place]; ok {
			report.add(route.entry(), "same-prefix", "%s has the same host and prefix and comes first; remove one", earlier.entry())
		} else {
			first[place] = route
		}
		if route.host == "" {
			report.add(route.entry(), "missing-host", "the host name is missing; add it")
		}
		if prefix := route.route.Prefix(); !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") {
			report.add(route.entry(), "prefix-without-slashes", "the prefix %q must begin and end with a slash; correct it", prefix)
		}
		if !allowed(route, configuration.accounts) {
			report.add(route.entry(), "no-account-allowed", "no account has a region in common with the route; add one of its regions to an account")
		}
		for _, destination := range route.route.Destinations() {
			used[destination.Service()] = true
			if destination.Weight() == 0 {
				report.add(route.entry(), "zero-weight", "service %s has a weight of 0 and gets no request; raise it or remove the service", destination.Service())
			}
		}
	}
	for _, service := range configuration.services {
		if !used[service.service] {
			report.add(service.entry(), "unused-cluster", "no route uses the cluster entry; remove it or add a route")
		}
	}
}

// allowed reports whether a request can have a region in common with route. A public
// route needs no account, and neither does any route if there are no accounts.
func allowed(route Route, accounts []Account) bool {
	if route.route.Public() || len(accounts) == 0 {
		return true
	}
	for _, account := range accounts {
		if _, ok := definer.CommonRegions(route.route.Regions(), account.account.Regions()); ok {
			return true
		}
	}
	return false
}

// findLimits reports the limits that contradict others or can't be meant.
func findLimits(configuration *Configuration, report *report) {
	limits := configuration.limits
	findCallerLimit("header size", float64(limits.HeaderBytes()), report)
	findCallerLimit("body size", float64(limits.BodyBytes()), report)
	findCallerLimit("time to send a header", float64(limits.HeaderTimeout()), report)
	findCallerLimit("idle time", float64(limits.IdleTimeout()), report)
	for _, route := range configuration.routes {
		findRouteLimits(route, limits, report)
	}
	for _, account := range configuration.accounts {
		if account.burst > 0 && account.rate <= 0 {
			report.add(account.entry(), "burst-without-rate", "a burst without a rate has no effect; add the rate or remove the burst")
		}
	}
	for _, service := range configuration.services {
		if service.coldRate > maxColdRate {
			report.add(service.entry(), "cold-rate-too-high", "a cold endpoint does not take %s requests per second; write at most %d, or 0 for no bound",
				formatNumber(service.coldRate), maxColdRate)
		}
	}
}

func findCallerLimit(quantity string, number float64, report *report) {
	if number <= 0 {
		report.add("limits", "limit-not-positive", "the limit on the %s is missing, 0 or negative; write one above 0", quantity)
	}
}

func findRouteLimits(route Route, limits definer.CallerLimits, report *report) {
	timeout, target := route.route.Timeout(), route.route.Target()
	if timeout > 0 && target > timeout {
		report.add(route.entry(), "target-above-timeout", "the target latency %v is above the timeout %v; lower it", target, timeout)
	}
	// A caller's connection carries nothing while it waits for a response, and
	// intermediaries that keep to the idle limit may close it.
	if idle := limits.IdleTimeout(); idle > 0 && timeout > idle {
		report.add(route.entry(), "timeout-above-limit", "the timeout %v is above the limit on the idle time, %v; lower it or raise the limit", timeout, idle)
	}
	if !route.route.Repeatable() && route.attempts > maxUnrepeatableAttempts {
		report.add(route.entry(), "too-many-attempts", "requests that must not run twice have %d attempts; write at most %d", route.attempts, maxUnrepeatableAttempts)
	}
	need := headerBytesBesidesPath + len(route.host) + len(route.route.Prefix())
	if size := limits.HeaderBytes(); size > 0 && size < need {
		report.add(route.entry(), "header-limit-too-low", "requests need headers of %d bytes, the limit is %d; raise it", need, size)
	}
	if size := limits.BodyBytes(); !route.route.Repeatable() && size > 0 && size < minBodyBytes {
		report.add(route.entry(), "body-limit-too-low", "requests need bodies of %d bytes, the limit is %d; raise it", minBodyBytes, size)
	}
}
