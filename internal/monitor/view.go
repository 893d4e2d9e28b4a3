package monitor

import (
	"slices"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Hosts returns all entry hosts that are not gone, this one included, in the
// state for routing: a live host is shown as suspect while its region is
// unreachable or it is avoided after a failed request, and as leaving once the
// host list shows it so.
func (table *Table) Hosts(now time.Time) []definer.Host {
	hosts := []definer.Host{table.self.Host}
	for _, known := range table.members {
		if known.State() != definer.Gone {
			hosts = append(hosts, known.WithState(table.state(now, known)))
		}
	}
	sortHosts(hosts)
	return hosts
}

// Members returns all known entry hosts, including gone ones, in the state that
// the members agree on.
func (table *Table) Members() []definer.Host {
	hosts := []definer.Host{table.self.Host}
	for _, known := range table.members {
		hosts = append(hosts, known.Host)
	}
	sortHosts(hosts)
	return hosts
}

func sortHosts(hosts []definer.Host) {
	slices.SortFunc(hosts, func(left, right definer.Host) int { return compareNames(left.Name(), right.Name()) })
}

// state returns the state of a host for routing.
func (table *Table) state(now time.Time, known *entry) definer.HostState {
	state := known.State()
	if state == definer.Live && (table.isPartitioned(known.Place().Region()) || now.Before(known.avoidedUntil)) {
		state = definer.Suspect
	}
	if known.listedLeaving && state < definer.Leaving {
		state = definer.Leaving
	}
	return state
}

// Draining returns the sorted names of the endpoints that the host list shows
// as leaving. They receive no new work.
func (table *Table) Draining() []string {
	var names []string
	for name, endpoint := range table.endpoints {
		if endpoint.leaving {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Watcher returns the host that does a task on behalf of its data centre, such
// as watching the store. While views differ, two hosts may be the watcher.
func (table *Table) Watcher(place definer.Place) (definer.Host, bool) {
	var best definer.Host
	var highest uint64
	found := false
	consider := func(host definer.Host) {
		candidateWeight := weight(host.Name(), "watch")
		if host.Place() == place && host.State() == definer.Live && (!found || candidateWeight > highest) {
			best, highest, found = host, candidateWeight, true
		}
	}
	consider(table.self.Host)
	for _, known := range table.members {
		consider(known.Host)
	}
	return best, found
}
