package tracker

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// builder makes views of a replica. It decodes each value once, and keeps the
// endpoints whose entries lapsed in an outage for a while.
type builder struct {
	decoder Decoder
	keys    Keys
	journal Journal
	table   *definer.RouteTable
	// tableAt is the revision of the value that table was decoded from.
	tableAt   uint64
	endpoints map[string]decoded[definer.Endpoint]
	hosts     map[string]decoded[definer.Host]
	// lapsed holds until when endpoints are kept whose entries are gone.
	lapsed map[string]time.Time
}

// decoded is a value with the revision that it was decoded at.
type decoded[T any] struct {
	value    T
	revision uint64
	// usable is false where the value could not be decoded.
	usable bool
}

// Journal takes what a host comes to believe.
type Journal interface {
	// Learned tells of one change of what the host believes.
	Learned(what string, details ...any)
	// Unreadable tells of a value that can't be decoded.
	Unreadable(key string, revision uint64, err error)
}

// build returns the view of replica. Where the store could not be read until
// just now, unseen is true and entries that went are kept for a while.
func (builder *builder) build(now time.Time, replica *replica, unseen bool) *View {
	if builder.table == nil {
		builder.table = new(definer.RouteTable)
		builder.endpoints = make(map[string]decoded[definer.Endpoint])
		builder.hosts = make(map[string]decoded[definer.Host])
		builder.lapsed = make(map[string]time.Time)
	}
	builder.decodeTable(replica)
	builder.drop(now, replica, unseen)
	for key, item := range replica.items {
		if name, ok := strings.CutPrefix(key, builder.keys.endpoints); ok {
			builder.decodeEndpoint(name, item)
		}
		if strings.HasPrefix(key, builder.keys.hosts) {
			builder.decodeHost(item)
		}
	}
	return builder.view(replica.revision)
}

// decodeTable moves to a newer table; it never goes back to an older version.
func (builder *builder) decodeTable(replica *replica) {
	item, ok := replica.items[builder.keys.table]
	if !ok || item.revision == builder.tableAt {
		return
	}
	builder.tableAt = item.revision
	table, err := builder.decoder.Table(item.value)
	switch {
	case err != nil:
		builder.journal.Unreadable(item.key, item.revision, err)
	case table.Version() <= builder.table.Version():
		builder.journal.Learned("old routing passed over", "version", table.Version(), "kept", builder.table.Version(), "revision", item.revision)
	default:
		builder.journal.Learned("routing in force", "version", table.Version(), "before", builder.table.Version(),
			"routes", table.Routes(), "revision", item.revision)
		builder.table = table
	}
}

// drop forgets what is not in replica any more.
func (builder *builder) drop(now time.Time, replica *replica, unseen bool) {
	for key, host := range builder.hosts {
		if _, ok := replica.items[key]; !ok {
			builder.journal.Learned("host is gone", "name", host.value.Name(), "revision", replica.revision)
			delete(builder.hosts, key)
		}
	}
	for name, endpoint := range builder.endpoints {
		if _, ok := replica.items[builder.keys.endpoints+name]; ok {
			delete(builder.lapsed, name)
			continue
		}
		until, lapsed := builder.lapsed[name]
		if !lapsed && unseen && endpoint.usable {
			builder.lapsed[name] = now.Add(lapseGrace)
			builder.journal.Learned("endpoint has no entry after an outage", "name", name, "kept", lapseGrace)
			continue
		}
		if now.Before(until) {
			continue
		}
		builder.journal.Learned("endpoint is gone", "name", name, "service", endpoint.value.Pool(), "revision", replica.revision)
		delete(builder.lapsed, name)
		delete(builder.endpoints, name)
	}
}

func (builder *builder) decodeEndpoint(name string, item Item) {
	old, known := builder.endpoints[name]
	if known && old.revision == item.revision {
		return
	}
	endpoint, err := builder.decoder.Endpoint(name, item.value)
	builder.endpoints[name] = decoded[definer.Endpoint]{value: endpoint, revision: item.revision, usable: err == nil}
	switch {
	case err != nil:
		builder.journal.Unreadable(item.key, item.revision, err)
	case !known || !old.usable:
		builder.journal.Learned("endpoint is there", "name", name, "service", endpoint.Pool(), "address", endpoint.Address(),
			"drains", endpoint.Drained(), "revision", item.revision)
	case old.value.Drained() != endpoint.Drained():
		builder.journal.Learned("endpoint changed", "name", name, "drains", endpoint.Drained(), "revision", item.revision)
	}
}

func (builder *builder) decodeHost(item Item) {
	if old, ok := builder.hosts[item.key]; ok && old.revision == item.revision {
		return
	}
	host, err := builder.decoder.Host(item.value)
	builder.hosts[item.key] = decoded[definer.Host]{value: host, revision: item.revision, usable: err == nil}
	if err != nil {
		builder.journal.Unreadable(item.key, item.revision, err)
		return
	}
	builder.journal.Learned("host is there", "name", host.Name(), "place", host.Place().String(), "revision", item.revision)
}

// view returns an immutable view of what is decoded.
func (builder *builder) view(revision uint64) *View {
	view := &View{table: builder.table, endpoints: make(map[string][]definer.Endpoint), revision: revision}
	for _, name := range slices.Sorted(maps.Keys(builder.endpoints)) {
		endpoint := builder.endpoints[name]
		service := endpoint.value.Pool()
		path, known := builder.table.HealthPath(service)
		if endpoint.usable && !endpoint.value.Drained() && known {
			view.endpoints[service] = append(view.endpoints[service], endpoint.value.WithHealthPath(path))
		}
	}
	for _, host := range builder.hosts {
		if host.usable {
			view.hosts = append(view.hosts, host.value)
		}
	}
	slices.SortFunc(view.hosts, func(a, b definer.Host) int { return cmp.Compare(a.Name(), b.Name()) })
	return view
}

// waits reports whether an endpoint is kept only for a while.
func (builder *builder) waits() bool { return len(builder.lapsed) > 0 }
