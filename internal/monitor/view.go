package monitor

import (
	"slices"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Hosts returns all entry hosts that are not gone, this one among them, as
// they should be used now: a live host is shown as suspect while its region is
// out of reach or it just failed a request, and as leaving once the host list
// says so.
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

// Members returns all entry hosts that are known, gone ones too, in the state
// that the members agree on.
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

// state returns the state in which requests should see a host.
func (table *Table) state(now time.Time, known *entry) definer.HostState {
	state := known.State()
	if state == definer.Live && (table.isCut(known.Place().Region()) || now.Before(known.doubted)) {
		state = definer.Suspect
	}
	if known.listedLeaving && state < definer.Leaving {
		state = definer.Leaving
	}
	return state
}

// Draining returns the names of the endpoints that the host list calls
// leaving, in order. They get no new work.
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

// Watcher returns the host that does a job for its whole data centre, such as
// watching the store. Two hosts may think so of themselves for a while.
func (table *Table) Watcher(place definer.Place) (definer.Host, bool) {
	var best definer.Host
	var most uint64
	found := false
	consider := func(host definer.Host) {
		heavy := weight(host.Name(), "watch")
		if host.Place() == place && host.State() == definer.Live && (!found || heavy > most) {
			best, most, found = host, heavy, true
		}
	}
	consider(table.self.Host)
	for _, known := range table.members {
		consider(known.Host)
	}
	return best, found
}
