package inspector

import "slices"

// named is an entry of a configuration that has a name.
type named interface {
	name() string
	// entry returns the kind of the entry and its name.
	entry() string
}

func (inspector *Inspector) findErrors(configuration *Configuration, report *report) {
	if configuration.version == 0 {
		report.add("configuration", "invalid-version", "the version is missing or invalid; write one like r12")
	}
	findNames(configuration.routes, report)
	findNames(configuration.accounts, report)
	findNames(configuration.services, report)
	known := make(map[string]bool, len(configuration.services))
	for _, service := range configuration.services {
		known[service.service] = true
		findNegative(service, "cold rate", service.coldRate, report)
		if service.healthPath == "" {
			report.add(service.entry(), "missing-health-check", "the path of the health check is missing; add it")
		}
	}
	for _, route := range configuration.routes {
		inspector.findRouteErrors(route, known, report)
	}
	inspector.findAccountErrors(configuration.accounts, report)
}

func (inspector *Inspector) findRouteErrors(route Route, known map[string]bool, report *report) {
	if !route.kindKnown {
		report.add(route.entry(), "unknown-kind", "the kind of request is missing or unknown; correct it")
	}
	routable := false
	for _, destination := range route.route.Destinations() {
		findNegative(route, "weight of service "+destination.Service(), float64(destination.Weight()), report)
		routable = routable || destination.Weight() > 0 && destination.Service() != ""
		if !known[destination.Service()] {
			report.add(route.entry(), "service-without-cluster", "service %q has no cluster entry; add one", destination.Service())
		}
	}
	if !routable {
		report.add(route.entry(), "no-destination", "the route has no service with a weight above 0; add one")
	}
	findNotPositive(route, "timeout", float64(route.route.Timeout()), report)
	findNotPositive(route, "target latency", float64(route.route.Target()), report)
	findNotPositive(route, "number of attempts", float64(route.attempts), report)
	findNegative(route, "rank", float64(route.route.Rank()), report)
	inspector.findRegions(route, route.route.Regions(), report)
}

func (inspector *Inspector) findAccountErrors(accounts []Account, report *report) {
	owners := make(map[keyDigest]Account)
	for _, account := range accounts {
		findNegative(account, "rank", float64(account.account.Rank()), report)
		findNegative(account, "rate", account.rate, report)
		findNegative(account, "burst", account.burst, report)
		inspector.findRegions(account, account.account.Regions(), report)
		if _, ok := account.keys[emptyKey]; ok {
			report.add(account.entry(), "empty-key", "an API key is empty; remove it")
		}
		// others has each account once; a map of keys has no order, so it is sorted.
		var others []string
		for digest := range account.keys {
			other, ok := owners[digest]
			if ok && !slices.Contains(others, other.entry()) {
				others = append(others, other.entry())
			}
			if !ok {
				owners[digest] = account
			}
		}
		slices.Sort(others)
		for _, other := range others {
			report.add(account.entry(), "common-key", "%s has an API key in common; remove it from one of them", other)
		}
	}
}

// findRegions reports regions that do not exist.
func (inspector *Inspector) findRegions(entry named, regions []string, report *report) {
	for _, region := range regions {
		if len(inspector.regions) > 0 && !slices.Contains(inspector.regions, region) {
			report.add(entry.entry(), "unknown-region", "region %q does not exist; correct it", region)
		}
	}
}

// findNames reports names that are missing or given twice.
func findNames[E named](entries []E, report *report) {
	seen := make(map[string]bool, len(entries))
	for _, entry := range entries {
		switch {
		case entry.name() == "":
			report.add(entry.entry(), "missing-name", "the name is missing; add it")
		case seen[entry.name()]:
			report.add(entry.entry(), "name-twice", "the name is used twice; rename or remove one entry")
		}
		seen[entry.name()] = true
	}
}

func findNegative(entry named, quantity string, number float64, report *report) {
	if number < 0 {
		report.add(entry.entry(), "negative-number", "the %s is below 0; correct it", quantity)
	}
}

// findNotPositive reports a number that is negative, missing or 0; the stored form does
// not distinguish the last two.
func findNotPositive(entry named, quantity string, number float64, report *report) {
	findNegative(entry, quantity, number, report)
	if number == 0 {
		report.add(entry.entry(), "missing-number", "the %s is missing or 0; add it", quantity)
	}
}
