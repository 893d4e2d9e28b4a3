package tracker

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// builder makes views of a replica. It decodes each value once, and keeps
// endpoints whose entries lapsed in an outage for a grace period. In a new era of the
// store it keeps what the older copy has lost, as eras decides.
type builder struct {
	decoder Decoder
	keys    Keys
	journal Journal
	table   *definer.RouteTable
	// tablePoint is the point of the value that table was decoded from.
	tablePoint definer.Point
	endpoints  map[string]decoded[definer.Endpoint]
	hosts      map[string]decoded[definer.Host]
	// evacuated holds the names of the data centres that operators have evacuated, with
	// the eras in which their entries were last read.
	evacuated map[string]uint64
	// graceUntil holds the end of the grace period of lapsed endpoints, by name.
	graceUntil map[string]time.Time
	// leftAt holds the revisions of changes by which endpoints leave, by name, as far as
	// they are after the replica's revision and of its era.
	leftAt map[string]uint64
	eras   eras
}

// decoded is a decoded value with the point of its item.
type decoded[T any] struct {
	value T
	point definer.Point
	// usable is false where the value could not be decoded.
	usable bool
}

// Journal logs events of a host's copy of the store.
type Journal interface {
	// Change logs a change of the local view or of the access to the store.
	Change(message string, details ...any)
	// Undecodable logs a value from the store that cannot be decoded.
	Undecodable(key string, revision uint64, err error)
}

// build returns the view of replica. If afterOutage is true, the store could not
// be read until now, and endpoints without an entry are kept for the grace
// period.
func (builder *builder) build(now time.Time, replica *replica, afterOutage bool) *View {
	if builder.table == nil {
		builder.table = new(definer.RouteTable)
		builder.endpoints = make(map[string]decoded[definer.Endpoint])
		builder.hosts = make(map[string]decoded[definer.Host])
		builder.graceUntil = make(map[string]time.Time)
	}
	builder.enterEra(now, replica.point)
	maps.DeleteFunc(builder.leftAt, func(_ string, revision uint64) bool { return revision <= replica.point.Revision() })
	builder.decodeTable(replica)
	builder.updateEvacuated(replica)
	builder.removeMissing(now, replica, afterOutage)
	for key, item := range replica.items {
		if name, ok := strings.CutPrefix(key, builder.keys.endpoints); ok {
			builder.decodeEndpoint(name, item)
		}
		if strings.HasPrefix(key, builder.keys.hosts) {
			builder.decodeHost(item)
		}
	}
	return builder.view(replica.point)
}

// enterEra begins a new era of the store where point is the first in it. Endpoints that
// are known to leave by changes of the era before count as having left.
func (builder *builder) enterEra(now time.Time, point definer.Point) {
	before := builder.eras.point
	if !builder.eras.enter(now, point) {
		return
	}
	builder.journal.Change("store was restored from an older copy; keeping for some time what it has lost",
		"era", point.Era(), "revision", point.Revision(), "era-before", before.Era(), "revision-before", before.Revision(),
		"kept", eraGrace, "endpoints-kept", eraEndpointGrace)
	for name := range builder.leftAt {
		if endpoint, ok := builder.endpoints[name]; ok {
			builder.eras.depart(now, name, endpoint.value.StartedAt())
			delete(builder.endpoints, name)
			delete(builder.graceUntil, name)
		}
	}
	clear(builder.leftAt)
}

// pointOf returns the point of an item of the replica.
func (builder *builder) pointOf(item Item) definer.Point {
	return definer.NewPoint(builder.eras.point.Era(), item.revision)
}

// decodeTable adopts a routing table of a higher version and ignores others.
func (builder *builder) decodeTable(replica *replica) {
	item, ok := replica.items[builder.keys.table]
	if !ok || builder.pointOf(item) == builder.tablePoint {
		return
	}
	builder.tablePoint = builder.pointOf(item)
	table, err := builder.decoder.Table(item.value)
	switch {
	case err != nil:
		builder.journal.Undecodable(item.key, item.revision, err)
	case table.Version() <= builder.table.Version():
		builder.journal.Change("ignored older routing version", "version", table.Version(), "kept", builder.table.Version(), "revision", item.revision)
	default:
		builder.journal.Change("adopted routing version", "version", table.Version(), "before", builder.table.Version(),
			"routes", table.RouteCount(), "revision", item.revision)
		builder.table = table
	}
}

// updateEvacuated adopts the data centres that are evacuated in replica, and keeps those
// that an older copy of the store may have lost.
func (builder *builder) updateEvacuated(replica *replica) {
	prefix, evacuated := builder.keys.evacuations, make(map[string]uint64)
	if prefix == "" {
		return
	}
	for key, item := range replica.items {
		name, ok := strings.CutPrefix(key, prefix)
		if !ok {
			continue
		}
		evacuated[name] = replica.point.Era()
		if _, known := builder.evacuated[name]; !known {
			builder.journal.Change("data centre is evacuated", "name", name, "revision", item.revision)
		}
	}
	for name, readIn := range builder.evacuated {
		if _, found := evacuated[name]; found {
			continue
		}
		if builder.eras.keeps(readIn) {
			evacuated[name] = readIn
			continue
		}
		builder.journal.Change("evacuation has ended", "name", name, "revision", replica.point.Revision())
	}
	builder.evacuated = evacuated
}

// removeMissing removes hosts and endpoints whose entries are no longer in
// replica, except those in their grace period.
func (builder *builder) removeMissing(now time.Time, replica *replica, afterOutage bool) {
	for key, host := range builder.hosts {
		if _, ok := replica.items[key]; !ok && !builder.eras.keeps(host.point.Era()) {
			builder.journal.Change("host entry removed", "name", host.value.Name(), "revision", replica.point.Revision())
			delete(builder.hosts, key)
		}
	}
	for name, endpoint := range builder.endpoints {
		if _, ok := replica.items[builder.keys.endpoints+name]; ok {
			delete(builder.graceUntil, name)
			continue
		}
		until, inGrace := builder.graceUntil[name]
		if grace := builder.grace(endpoint, afterOutage); !inGrace && grace > 0 {
			builder.graceUntil[name] = now.Add(grace)
			builder.journal.Change("endpoint entry missing after store outage", "name", name, "service", endpoint.value.Pool(),
				"kept", grace, "revision", replica.point.Revision())
			continue
		}
		if now.Before(until) {
			continue
		}
		builder.journal.Change("endpoint removed", "name", name, "service", endpoint.value.Pool(), "revision", replica.point.Revision())
		delete(builder.graceUntil, name)
		delete(builder.endpoints, name)
		builder.eras.depart(now, name, endpoint.value.StartedAt())
	}
}

// grace returns the time for which an endpoint without an entry is kept; 0 for none.
func (builder *builder) grace(endpoint decoded[definer.Endpoint], afterOutage bool) time.Duration {
	switch {
	case !endpoint.usable:
		return 0
	case builder.eras.keeps(endpoint.point.Era()):
		return eraEndpointGrace
	case afterOutage:
		return lapseGrace
	}
	return 0
}

// decodeEndpoint decodes the entry of an endpoint if it has changed, and adopts it unless
// it is outdated.
func (builder *builder) decodeEndpoint(name string, item Item) {
	old, known := builder.endpoints[name]
	if known && old.point == builder.pointOf(item) {
		return
	}
	endpoint, err := builder.decoder.Endpoint(name, item.value)
	if err == nil && builder.eras.isOutdated(item, endpoint, old) {
		if !builder.eras.heldBack[name] {
			builder.journal.Change("endpoint entry is of the store's older copy; not used until it is written again",
				"name", name, "service", endpoint.Pool(), "held-back", eraGrace, "revision", item.revision)
		}
		builder.eras.heldBack[name] = true
		return
	}
	delete(builder.eras.heldBack, name)
	delete(builder.eras.departed, name)
	builder.endpoints[name] = decoded[definer.Endpoint]{value: endpoint, point: builder.pointOf(item), usable: err == nil}
	switch {
	case err != nil:
		builder.journal.Undecodable(item.key, item.revision, err)
	case !known || !old.usable:
		builder.journal.Change("endpoint added", "name", name, "service", endpoint.Pool(), "address", endpoint.Address(),
			"drains", endpoint.Drained(), "revision", item.revision)
	case old.value.Drained() != endpoint.Drained():
		builder.journal.Change("endpoint drain state changed", "name", name, "drains", endpoint.Drained(), "revision", item.revision)
	}
}

// decodeHost decodes the entry of a host if it has changed.
func (builder *builder) decodeHost(item Item) {
	if old, ok := builder.hosts[item.key]; ok && old.point == builder.pointOf(item) {
		return
	}
	host, err := builder.decoder.Host(item.value)
	builder.hosts[item.key] = decoded[definer.Host]{value: host, point: builder.pointOf(item), usable: err == nil}
	if err != nil {
		builder.journal.Undecodable(item.key, item.revision, err)
		return
	}
	builder.journal.Change("host entry read", "name", host.Name(), "place", host.Place().String(), "revision", item.revision)
}

// view returns an immutable view of the decoded values, without endpoints that
// drain, are in an evacuated data centre, or whose service the table does not have.
func (builder *builder) view(point definer.Point) *View {
	view := &View{
		table: builder.table, endpoints: make(map[string][]definer.Endpoint),
		evacuated: builder.evacuated, point: point,
	}
	for _, name := range slices.Sorted(maps.Keys(builder.endpoints)) {
		endpoint := builder.endpoints[name]
		service := endpoint.value.Pool()
		path, known := builder.table.HealthPath(service)
		_, left := builder.leftAt[name]
		_, evacuated := builder.evacuated[endpoint.value.Place().DataCentre()]
		if endpoint.usable && !endpoint.value.Drained() && !left && known && !evacuated {
			view.endpoints[service] = append(view.endpoints[service], endpoint.value.WithHealthPath(path))
		}
	}
	for _, host := range builder.hosts {
		if host.usable {
			view.members = append(view.members, host.value)
		}
	}
	slices.SortFunc(view.members, func(a, b definer.Host) int { return cmp.Compare(a.Name(), b.Name()) })
	for _, host := range view.members {
		if host.State() != definer.Leaving {
			view.hosts = append(view.hosts, host)
		}
	}
	return view
}

// recordLeft records which endpoints leave by changes after the replica's revision: their
// entries are removed, are marked as draining or can't be decoded.
func (builder *builder) recordLeft(changes []Item) {
	if builder.leftAt == nil {
		builder.leftAt = make(map[string]uint64)
	}
	for _, change := range changes {
		name, ok := strings.CutPrefix(change.key, builder.keys.endpoints)
		if !ok {
			continue
		}
		endpoint, err := builder.decoder.Endpoint(name, change.value)
		if change.removed || err != nil || endpoint.Drained() {
			builder.leftAt[name] = change.revision
			builder.journal.Change("endpoint leaves, known before the rest of the changes", "name", name, "revision", change.revision)
		} else {
			delete(builder.leftAt, name)
		}
	}
}

// changesWithTime reports whether the view may change without a change of the replica: an
// endpoint is in its grace period, or the grace of an era has not ended.
func (builder *builder) changesWithTime() bool {
	return len(builder.graceUntil) > 0 || builder.eras.open
}
