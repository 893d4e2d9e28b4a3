package monitor

import (
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// MergeHostList merges the entry hosts on the platform's host list. The list
// lags: it adds unknown hosts and marks hosts as leaving, but it neither revives
// a gone host nor removes a host that answers.
func (table *Table) MergeHostList(now time.Time, hosts []definer.Host) {
	listed := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		listed[host.Name()] = true
		if host.Name() != table.self.Name() && host.Name() != "" {
			table.listHost(now, host)
		}
	}
	for name, known := range table.members {
		if listed[name] {
			continue
		}
		if known.listed {
			known.listed = false
			known.unlistedSince = now
		}
		if known.listedOnly {
			table.drop(name)
		}
	}
}

// Seed adds hosts from the settings, which are the first peers while the host
// list is unavailable.
func (table *Table) Seed(now time.Time, hosts []definer.Host) {
	for _, host := range hosts {
		if _, ok := table.members[host.Name()]; !ok && host.Name() != table.self.Name() {
			table.addListed(now, host)
		}
	}
}

// listHost merges one host on the list.
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
			table.addEvent(known.Name(), "is leaving by the host list")
		}
	}
}

// addListed adds a host that no peer has reported yet.
func (table *Table) addListed(now time.Time, host definer.Host) *entry {
	known := table.set(now, NewMember(host.WithState(definer.Live), 0))
	known.listedOnly = true
	known.sequence = 0
	return known
}

// endpointEntry is the local record of an endpoint that is leaving or has left.
type endpointEntry struct {
	EndpointState
	sequence uint64
	// since is when the state was received.
	since time.Time
	// listedLeaving is true while the host list, as read by this host, shows
	// the endpoint as leaving.
	listedLeaving bool
}

// EndpointState reports whether the host list shows an endpoint as leaving.
type EndpointState struct {
	name    string
	leaving bool
	// version rises with each change.
	version uint64
}

// NewEndpointState returns the state of the endpoint called name.
func NewEndpointState(name string, leaving bool, version uint64) EndpointState {
	return EndpointState{name: name, leaving: leaving, version: version}
}

// Name returns the endpoint's name.
func (endpointState EndpointState) Name() string { return endpointState.name }

// Leaving reports whether the endpoint is leaving.
func (endpointState EndpointState) Leaving() bool { return endpointState.leaving }

// Version returns a number that rises with each change of the state.
func (endpointState EndpointState) Version() uint64 { return endpointState.version }

// MergeEndpointList merges the endpoints on the host list; leaving maps each
// name to whether the endpoint is leaving. An endpoint is restored only if this
// host itself saw it leave and return, since other hosts may have read an older
// list.
func (table *Table) MergeEndpointList(now time.Time, leaving map[string]bool) {
	for name, leaves := range leaving {
		known, ok := table.endpoints[name]
		switch {
		case leaves && (!ok || !known.leaving):
			table.setEndpoint(now, NewEndpointState(name, true, uint64(now.UnixNano())))
		case !leaves && ok && known.leaving && known.listedLeaving:
			version := max(uint64(now.UnixNano()), known.version+1)
			table.setEndpoint(now, NewEndpointState(name, false, version))
		}
		if known, ok = table.endpoints[name]; ok {
			known.listedLeaving = leaves
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

// mergeEndpoint merges a peer's update on an endpoint.
func (table *Table) mergeEndpoint(now time.Time, state EndpointState) {
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
	listedLeaving := table.endpoints[state.name] != nil && table.endpoints[state.name].listedLeaving
	set(&table.endpoints, state.name, &endpointEntry{
		EndpointState: state, sequence: table.advance(), since: now, listedLeaving: listedLeaving,
	})
	table.version++
	text := "endpoint is back by the host list"
	if state.leaving {
		text = "endpoint is leaving by the host list"
	}
	table.addEvent(state.name, text)
}

// addEndpoints adds the leaving endpoints to a page of the full table.
func (table *Table) addEndpoints(digest *Digest) {
	for _, endpoint := range table.endpoints {
		if endpoint.leaving && len(digest.endpoints) < maxPage {
			digest.endpoints = append(digest.endpoints, endpoint.EndpointState)
		}
	}
}
