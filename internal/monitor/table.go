package monitor

import (
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Times of the judgement.
const (
	// Period is how often a host probes its successor and one more.
	Period = time.Second
	// probeTimeout bounds one probe; patience with a slow host lengthens it.
	probeTimeout = 500 * time.Millisecond
	// retryPause is the wait before a probe that failed is sent again.
	retryPause = 200 * time.Millisecond
	// suspicionTimeout is how long a suspect has to contradict.
	suspicionTimeout = 4 * time.Second
	// gonePause is how often a host that is gone is tried again.
	gonePause = 10 * time.Second
	// tombstoneTime is how long a gone host that is not listed is remembered.
	tombstoneTime = 10 * time.Minute
	// doubtTime is how long a host of another region is avoided after it
	// failed a request of this one.
	doubtTime = 5 * time.Second
	// pauseLimit is the delay of a tick from which on this process counts as
	// having been paused: what it missed says nothing about others.
	pauseLimit = 3 * Period
)

// entry is what this host knows of another one.
type entry struct {
	Member
	// sequence is that of the last change of Member.
	sequence uint64
	// since is when the state began here.
	since time.Time
	// listed is true while the host list shows the host; unlisted is when it
	// stopped to, or the first sight of a host that was never listed.
	listed   bool
	unlisted time.Time
	// listedOnly is true until a peer speaks of the host.
	listedOnly bool
	// listedLeaving is true while the host list calls the host leaving.
	listedLeaving bool
	// doubted is until when requests of this host avoid it.
	doubted time.Time
}

// cutEntry is a judgement on a region.
type cutEntry struct {
	Cut
	sequence uint64
}

// Table is what one host knows of the fleet, and what it does to know it. It
// does no I/O: [Monitor] carries out the probes that Tick returns and tells
// the table how they went. The zero value is ready for SetSelf. A Table is not
// safe for use from several goroutines.
type Table struct {
	self entry
	// members holds all other hosts by name.
	members map[string]*entry
	// cuts holds the latest judgement of each pair of regions.
	cuts      map[[2]string]*cutEntry
	endpoints map[string]*endpointEntry
	// sequence rises with each change that peers are to hear of.
	sequence uint64
	// version rises with each change that this host's users are to see.
	version uint64
	news
	schedule
	// events holds what happened since the last call of Events.
	events []Event
}

// Event is a change of what is believed of a host or a region.
type Event struct {
	object string
	text   string
}

// Object returns the name of the host, region or endpoint.
func (event Event) Object() string { return event.object }

// Text returns what changed.
func (event Event) Text() string { return event.text }

// SetSelf tells which host the table belongs to.
func (table *Table) SetSelf(host definer.Host) {
	table.self.Member = NewMember(host, table.self.refutation)
	table.self.sequence = table.advance()
}

// Self returns what this host says of itself.
func (table *Table) Self() definer.Host { return table.self.Host }

// Leave makes this host leaving for the rest of its incarnation.
func (table *Table) Leave() {
	if table.self.State() == definer.Leaving {
		return
	}
	table.self.Member = NewMember(table.self.WithState(definer.Leaving), table.self.refutation+1)
	table.self.sequence = table.advance()
	table.version++
}

// Version rises with each change of what Hosts, Draining or Watcher return.
func (table *Table) Version() uint64 { return table.version }

// Events returns what happened since the last call.
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

// set makes member what is known of its host, and tells peers.
func (table *Table) set(now time.Time, member Member) *entry {
	known, ok := table.members[member.Name()]
	if !ok {
		if table.members == nil {
			table.members = make(map[string]*entry)
		}
		known = &entry{unlisted: now, since: now}
		table.members[member.Name()] = known
	}
	if !ok || known.State() != member.State() || known.Incarnation() != member.Incarnation() {
		known.since = now
		table.version++
		table.note(member.Name(), "is "+member.State().String())
	}
	if member.Incarnation() > known.Incarnation() {
		known.listedLeaving = false
		table.forgetTarget(member.Name())
	}
	known.Member = member
	known.listedOnly = false
	known.sequence = table.advance()
	if member.State() == definer.Gone {
		table.forgetTold(member.Name())
		table.forgetTarget(member.Name())
	}
	return known
}

// drop forgets a host.
func (table *Table) drop(name string) {
	delete(table.members, name)
	table.forgetTold(name)
	table.forgetTarget(name)
	table.version++
	table.note(name, "is forgotten")
}

// note adds an event, of which the oldest go first where nobody reads them.
func (table *Table) note(object, text string) {
	const most = 256
	if len(table.events) >= most {
		table.events = table.events[1:]
	}
	table.events = append(table.events, Event{object: object, text: text})
}

// near reports whether the host stands in this host's region.
func (table *Table) near(host definer.Host) bool {
	return host.Place().Region() == table.self.Place().Region()
}

// suspect makes a live host suspect, and starts the time that it has to
// contradict. A leaving host that is not reached has left.
func (table *Table) suspect(now time.Time, known *entry) {
	switch known.State() {
	case definer.Live:
		table.set(now, known.withState(definer.Suspect))
	case definer.Leaving:
		table.set(now, known.withState(definer.Gone))
	}
}

// expire makes suspects gone whose time is over, and forgets the long gone.
func (table *Table) expire(now time.Time) {
	for name, known := range table.members {
		table.endDoubt(now, known)
		age := now.Sub(known.since)
		switch {
		case known.State() == definer.Suspect && table.near(known.Host) && age >= suspicionTimeout:
			table.set(now, known.withState(definer.Gone))
		case known.State() == definer.Gone && !known.listed && age >= tombstoneTime:
			table.drop(name)
		case known.State() != definer.Gone && table.vanished(now, known):
			table.drop(name)
		}
	}
}

// endDoubt has users see again a host that they avoided for a while.
func (table *Table) endDoubt(now time.Time, known *entry) {
	if !known.doubted.IsZero() && !now.Before(known.doubted) {
		known.doubted = time.Time{}
		table.version++
	}
}

// vanished reports whether nothing but an old rumour speaks for the host: it
// is in a region that is out of reach, and off the host list for long.
func (table *Table) vanished(now time.Time, known *entry) bool {
	return !known.listed && table.isCut(known.Place().Region()) && now.Sub(known.unlisted) >= tombstoneTime
}

// isCut reports whether this host's region reaches no host of region.
func (table *Table) isCut(region string) bool {
	cut, ok := table.cuts[[2]string{table.self.Place().Region(), region}]
	return ok && cut.Cut.cut
}

// extend gives all suspects their whole time again.
func (table *Table) extend(now time.Time) {
	for _, known := range table.members {
		if known.State() == definer.Suspect {
			known.since = now
		}
	}
}
