package monitor

import (
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// List takes in the entry hosts that the platform's host list shows. The list
// lags: it makes hosts known and says who is to leave, but it brings no host
// back that is gone, and takes none away that answers.
func (table *Table) List(now time.Time, hosts []definer.Host) {
	shown := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		shown[host.Name()] = true
		if host.Name() != table.self.Name() && host.Name() != "" {
			table.listHost(now, host)
		}
	}
	for name, known := range table.members {
		if shown[name] {
			continue
		}
		if known.listed {
			known.listed = false
			known.unlisted = now
		}
		if known.listedOnly {
			table.drop(name)
		}
	}
}

// Seed makes hosts known from the settings, for a start without a host list.
func (table *Table) Seed(now time.Time, hosts []definer.Host) {
	for _, host := range hosts {
		if _, ok := table.members[host.Name()]; !ok && host.Name() != table.self.Name() {
			table.addListed(now, host)
		}
	}
}

// listHost takes in one host of the list.
func (table *Table) listHost(now time.Time, host definer.Host) {
	known, ok := table.members[host.Name()]
	if !ok {
		known = table.addListed(now, host)
	}
	known.listed = true
	if host.Incarnation() > known.Incarnation() {
		table.set(now, NewMember(host.WithState(definer.Live), 0))
		known.listedOnly = true
	}
	leaving := host.State() == definer.Leaving && host.Incarnation() == known.Incarnation()
	if leaving != known.listedLeaving {
		known.listedLeaving = leaving
		table.version++
		if leaving {
			table.note(known.Name(), "is leaving by the host list")
		}
	}
}

// addListed makes a host known that no peer spoke of yet.
func (table *Table) addListed(now time.Time, host definer.Host) *entry {
	known := table.set(now, NewMember(host.WithState(definer.Live), 0))
	known.listedOnly = true
	known.sequence = 0
	return known
}

// endpointEntry is what is known of an endpoint that leaves or has left.
type endpointEntry struct {
	EndpointState
	sequence uint64
	// since is when the state was heard.
	since time.Time
	// own is true while this host's own view of the list shows it leaving.
	own bool
}

// EndpointState says whether an endpoint leaves, by the host list.
type EndpointState struct {
	name    string
	leaving bool
	// version rises with each change.
	version uint64
}

// NewEndpointState returns what the host list showed of an endpoint.
func NewEndpointState(name string, leaving bool, version uint64) EndpointState {
	return EndpointState{name: name, leaving: leaving, version: version}
}

// Name returns the endpoint's name.
func (endpointState EndpointState) Name() string { return endpointState.name }

// Leaving reports whether the endpoint leaves.
func (endpointState EndpointState) Leaving() bool { return endpointState.leaving }

// Version rises with each change of the state.
func (endpointState EndpointState) Version() uint64 { return endpointState.version }

// ListEndpoints takes in which endpoints the host list shows, with whether
// each one leaves. An endpoint comes back only where this host itself saw it
// leave and come back, since other hosts may look at an older list.
func (table *Table) ListEndpoints(now time.Time, leaving map[string]bool) {
	for name, leaves := range leaving {
		known, ok := table.endpoints[name]
		switch {
		case leaves && (!ok || !known.leaving):
			table.setEndpoint(now, NewEndpointState(name, true, uint64(now.UnixNano())))
		case !leaves && ok && known.leaving && known.own:
			version := max(uint64(now.UnixNano()), known.version+1)
			table.setEndpoint(now, NewEndpointState(name, false, version))
		}
		if known, ok = table.endpoints[name]; ok {
			known.own = leaves
		}
	}
	for name, known := range table.endpoints {
		_, listed := leaving[name]
		if !listed && now.Sub(known.since) >= tombstoneTime {
			delete(table.endpoints, name)
			table.version++
		}
	}
}

// hearEndpoint takes in what a peer told of an endpoint.
func (table *Table) hearEndpoint(now time.Time, state EndpointState) {
	known, ok := table.endpoints[state.name]
	if len(table.endpoints) >= maxMembers || (ok && known.version >= state.version) {
		return
	}
	if !ok && !state.leaving {
		return
	}
	table.setEndpoint(now, state)
}

func (table *Table) setEndpoint(now time.Time, state EndpointState) {
	own := table.endpoints[state.name] != nil && table.endpoints[state.name].own
	set(&table.endpoints, state.name, &endpointEntry{
		EndpointState: state, sequence: table.advance(), since: now, own: own,
	})
	table.version++
	text := "endpoint is back by the host list"
	if state.leaving {
		text = "endpoint is leaving by the host list"
	}
	table.note(state.name, text)
}

// addEndpoints adds endpoints that leave to a page.
func (table *Table) addEndpoints(digest *Digest) {
	for _, endpoint := range table.endpoints {
		if endpoint.leaving && len(digest.endpoints) < maxLevelling {
			digest.endpoints = append(digest.endpoints, endpoint.EndpointState)
		}
	}
}
