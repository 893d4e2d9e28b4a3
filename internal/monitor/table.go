package monitor

import (
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Timing of failure detection.
const (
	// Period is how often a host probes its successor and one more finger.
	Period = time.Second
	// probeTimeout limits one probe; the tolerance for a slow host lengthens it.
	probeTimeout = 500 * time.Millisecond
	// retryDelay is the wait before a failed probe is repeated.
	retryDelay = 200 * time.Millisecond
	// suspicionTimeout is how long a suspect has to refute.
	suspicionTimeout = 4 * time.Second
	// goneInterval is the time between probes of a gone host.
	goneInterval = 10 * time.Second
	// tombstoneTime is how long the record of a gone, unlisted host is kept.
	tombstoneTime = 10 * time.Minute
	// avoidanceTime is how long this host avoids a host of another region after
	// a request to it failed.
	avoidanceTime = 5 * time.Second
	// pauseLimit is the delay of a tick that indicates a pause of this process;
	// timeouts during the pause say nothing about other hosts.
	pauseLimit = 3 * Period
)

// entry is the local record of another host.
type entry struct {
	Member
	// sequence is the table's sequence at the last change of Member.
	sequence uint64
	// since is when this host first held the state.
	since time.Time
	// listed is true while the host is on the host list; unlistedSince is when
	// it was removed from the list, or when a host that was never listed was
	// first seen.
	listed        bool
	unlistedSince time.Time
	// listedOnly is true until a peer reports the host.
	listedOnly bool
	// listedLeaving is true while the host list shows the host as leaving.
	listedLeaving bool
	// avoidedUntil is the time until which requests of this host avoid it.
	avoidedUntil time.Time
}

// partitionEntry is the local record of a report on a region.
type partitionEntry struct {
	Partition
	sequence uint64
}

// Table is one host's view of the fleet, with the state of its failure
// detector. It does no I/O: [Monitor] carries out the probes that Tick returns
// and passes their results to the table. The zero value is ready for SetSelf. A
// Table is not safe for concurrent use.
type Table struct {
	self entry
	// members holds all other hosts by name.
	members map[string]*entry
	// partitions holds the newest report for each pair of regions.
	partitions map[[2]string]*partitionEntry
	endpoints  map[string]*endpointEntry
	// sequence rises with each change to send to peers.
	sequence uint64
	// version rises with each change that is visible to this host's users.
	version uint64
	gossipState
	schedule
	// events holds the events since the last call of Events.
	events []Event
}

// Event is a change of the local view of a host, region or endpoint.
type Event struct {
	object string
	text   string
}

// Object returns the name of the host, region or endpoint.
func (event Event) Object() string { return event.object }

// Text describes the change.
func (event Event) Text() string { return event.text }

// SetSelf sets the host that the table belongs to.
func (table *Table) SetSelf(host definer.Host) {
	table.self.Member = NewMember(host, table.self.refutation)
	table.self.sequence = table.advance()
}

// Self returns this host's record of itself.
func (table *Table) Self() definer.Host { return table.self.Host }

// Leave marks this host as leaving for the rest of its incarnation.
func (table *Table) Leave() {
	if table.self.State() == definer.Leaving {
		return
	}
	table.self.Member = NewMember(table.self.WithState(definer.Leaving), table.self.refutation+1)
	table.self.sequence = table.advance()
	table.version++
}

// Version returns a number that rises with each change of the results of Hosts,
// Members, Draining or Watcher.
func (table *Table) Version() uint64 { return table.version }

// Events returns the events since the last call.
func (table *Table) Events() []Event {
	events := table.events
	table.events = nil
	return events
}

// advance returns the next sequence.
func (table *Table) advance() uint64 {
	table.sequence++
	return table.sequence
}

// set replaces the record of a host, and marks it as an update for peers.
func (table *Table) set(now time.Time, member Member) *entry {
	known, ok := table.members[member.Name()]
	if !ok {
		if table.members == nil {
			table.members = make(map[string]*entry)
		}
		known = &entry{unlistedSince: now, since: now}
		table.members[member.Name()] = known
	}
	if !ok || known.State() != member.State() || known.Incarnation() != member.Incarnation() {
		known.since = now
		table.version++
		table.addEvent(member.Name(), "is "+member.State().String())
	}
	if member.Incarnation() > known.Incarnation() {
		known.listedLeaving = false
		table.dropTarget(member.Name())
	}
	known.Member = member
	known.listedOnly = false
	known.sequence = table.advance()
	if member.State() == definer.Gone {
		table.resetPeer(member.Name())
		table.dropTarget(member.Name())
	}
	return known
}

// drop deletes the record of a host.
func (table *Table) drop(name string) {
	delete(table.members, name)
	table.resetPeer(name)
	table.dropTarget(name)
	table.version++
	table.addEvent(name, "is forgotten")
}

// addEvent adds an event. It drops the oldest one if there are too many.
func (table *Table) addEvent(object, text string) {
	const maxEvents = 256
	if len(table.events) >= maxEvents {
		table.events = table.events[1:]
	}
	table.events = append(table.events, Event{object: object, text: text})
}

// inRegion reports whether the host is in this host's region.
func (table *Table) inRegion(host definer.Host) bool {
	return host.Place().Region() == table.self.Place().Region()
}

// suspect makes a live host suspect, which starts its suspicionTimeout. A leaving
// host that does not answer has left and becomes gone.
func (table *Table) suspect(now time.Time, known *entry) {
	switch known.State() {
	case definer.Live:
		table.set(now, known.withState(definer.Suspect))
	case definer.Leaving:
		table.set(now, known.withState(definer.Gone))
	}
}

// expire makes suspects gone after suspicionTimeout, and drops old records.
func (table *Table) expire(now time.Time) {
	for name, known := range table.members {
		table.endAvoidance(now, known)
		age := now.Sub(known.since)
		switch {
		case known.State() == definer.Suspect && table.inRegion(known.Host) && age >= suspicionTimeout:
			table.set(now, known.withState(definer.Gone))
		case known.State() == definer.Gone && !known.listed && age >= tombstoneTime:
			table.drop(name)
		case known.State() != definer.Gone && table.isStale(now, known):
			table.drop(name)
		}
	}
}

// endAvoidance makes a host usable again once its avoidance has ended.
func (table *Table) endAvoidance(now time.Time, known *entry) {
	if !known.avoidedUntil.IsZero() && !now.Before(known.avoidedUntil) {
		known.avoidedUntil = time.Time{}
		table.version++
	}
}

// isStale reports whether the record of a host is too old to keep: its region is
// unreachable, and it has been off the host list for tombstoneTime.
func (table *Table) isStale(now time.Time, known *entry) bool {
	return !known.listed && table.isPartitioned(known.Place().Region()) && now.Sub(known.unlistedSince) >= tombstoneTime
}

// isPartitioned reports whether region is unreachable from this host's region.
func (table *Table) isPartitioned(region string) bool {
	partition, ok := table.partitions[[2]string{table.self.Place().Region(), region}]
	return ok && partition.Partition.active
}

// restartSuspicions restarts the suspicionTimeout of all suspects.
func (table *Table) restartSuspicions(now time.Time) {
	for _, known := range table.members {
		if known.State() == definer.Suspect {
			known.since = now
		}
	}
}
