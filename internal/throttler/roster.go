package throttler

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

const (
	// listTime is the time for which the lists of hosts that were in force are kept, beyond
	// the takeover delay: an account that is used for the first time learns from them since
	// when its owners rank first.
	listTime = 10 * time.Second
	// hostMemory is the time for which a host counts for the fallback limit after it was
	// last listed: it may still have callers.
	hostMemory = 10 * time.Minute
)

// Member is a registered host of a view.
type Member struct {
	host definer.Host
	// registration differs between two registrations of the host.
	registration uint64
}

// NewMember returns a host with a number that differs between its registrations.
func NewMember(host definer.Host, registration uint64) Member {
	return Member{host: host, registration: registration}
}

// peer is what is known of a host apart from its registration.
type peer struct {
	host definer.Host
	// silentUntil is the end of the time for which the host is not asked, in nanoseconds
	// since the start of this process.
	silentUntil atomic.Int64
	// listedAt is when the host was last listed. Only Update uses it.
	listedAt time.Time
}

// list is a list of the registered hosts that was or is in force. It is immutable.
type list struct {
	// number counts the lists.
	number uint64
	// at is the time at which the list came into force here. The time for which a host
	// ranks first counts from it.
	at time.Time
	// delay is the takeover delay of a host that ranks first since this list.
	delay   time.Duration
	members []Member
	// hosts are those of members, and added those that the list before did not have by the
	// same registration.
	hosts, added []definer.Host
	// breaks is true if the host did not know the fleet before, so that other hosts may
	// have ranked first between this list and the one before.
	breaks bool
	// full is true if no host has granted permits before, so that buckets start full.
	full bool
}

// has reports whether host is in the list by registration.
func (list *list) has(host string, registration uint64) bool {
	index, ok := list.find(host)
	return ok && list.members[index].registration == registration
}

// find returns the index of host.
func (list *list) find(host string) (int, bool) {
	index := slices.IndexFunc(list.members, func(member Member) bool { return member.host.Name() == host })
	return index, index >= 0
}

// newList returns a list that comes into force at now, after previous, which is nil for
// none.
func newList(now time.Time, number uint64, previous *list, members []Member) *list {
	list := &list{number: number, at: now, members: members}
	for _, member := range members {
		list.hosts = append(list.hosts, member.host)
		if previous == nil || !previous.has(member.host.Name(), member.registration) {
			list.added = append(list.added, member.host)
		}
	}
	return list
}

// roster is what a host knows of the fleet at one time. It is immutable.
type roster struct {
	// checkedAt is a time at which the newest list was known to be complete.
	checkedAt time.Time
	// lists holds the lists that were in force lately, the oldest first. A time in which
	// the host did not know the fleet drops the lists before it.
	lists []*list
	// hosts are the hosts that count for the fallback limit, ordered by name, and peers
	// holds them by name. The generation counts the changes of both.
	hosts      []definer.Host
	peers      map[string]*peer
	generation uint64
}

// newest returns the newest list, or nil if there is none.
func (roster *roster) newest() *list {
	if len(roster.lists) == 0 {
		return nil
	}
	return roster.lists[len(roster.lists)-1]
}

// number returns the number of the newest list, or 0 if there is none.
func (roster *roster) number() uint64 {
	if newest := roster.newest(); newest != nil {
		return newest.number
	}
	return 0
}

// Update sets the registered hosts, in the order of their names, which were known to be
// complete at checkedAt; zero for never. Calls must not overlap.
func (throttler *Throttler) Update(now, checkedAt time.Time, members []Member) {
	previous := throttler.roster.Load()
	next := &roster{checkedAt: checkedAt, lists: previous.lists, hosts: previous.hosts, peers: previous.peers, generation: previous.generation}
	if next.checkedAt.Before(previous.checkedAt) {
		next.checkedAt = previous.checkedAt
	}
	if next.checkedAt.After(previous.checkedAt) && now.Sub(previous.checkedAt) > throttler.maxAge(previous.checkedAt) {
		next.lists = nil
	}
	if newest := next.newest(); newest == nil || !slices.Equal(newest.members, members) {
		added := newList(now, previous.number()+1, newest, members)
		added.breaks = newest == nil
		added.delay = throttler.delay()
		if age := now.Sub(throttler.startedAt); throttler.firstStart && age <= throttler.delay() {
			added.delay, added.full = throttler.bound, age <= throttler.bound
		}
		next.lists = append(slices.Clone(next.lists), added)
	}
	for len(next.lists) > 1 && now.Sub(next.lists[1].at) > throttler.delay()+listTime {
		next.lists = next.lists[1:]
	}
	if now.Sub(checkedAt) <= throttler.bound {
		from := now.Sub(throttler.startedAt)
		if throttler.adopted.Load() == 0 {
			from += throttler.bound // Hosts that start together are all listed one bound later.
		}
		throttler.fallbackFrom.CompareAndSwap(0, int64(from))
	}
	throttler.remember(now, next, members)
	throttler.roster.Store(next)
	throttler.report(now, next)
	throttler.forget(now)
}

// remember updates the hosts that count for the fallback limit.
func (throttler *Throttler) remember(now time.Time, roster *roster, members []Member) {
	changed := roster.peers == nil
	for _, member := range members {
		known, ok := throttler.peers[member.host.Name()]
		if !ok || known.host != member.host {
			known = &peer{host: member.host}
			throttler.peers[member.host.Name()] = known
			changed = true
		}
		known.listedAt = now
	}
	for name, peer := range throttler.peers {
		if now.Sub(peer.listedAt) > hostMemory {
			delete(throttler.peers, name)
			changed = true
		}
	}
	if !changed {
		return
	}
	roster.generation++
	roster.peers = maps.Clone(throttler.peers)
	roster.hosts = nil
	for _, peer := range throttler.peers {
		roster.hosts = append(roster.hosts, peer.host)
	}
	slices.SortFunc(roster.hosts, func(left, right definer.Host) int { return cmp.Compare(left.Name(), right.Name()) })
}

// report logs when the host starts or stops granting permits.
func (throttler *Throttler) report(now time.Time, roster *roster) {
	since, listed := throttler.listedSince(roster)
	granting := listed && throttler.settled(now, roster, since.at.Add(since.delay))
	if granting == throttler.granting {
		return
	}
	throttler.granting = granting
	message := "owner of quota shares stops granting permits"
	if granting {
		message = "owner of quota shares starts granting permits"
	}
	throttler.journal.Change(message, "listed", listed, "hosts", len(roster.newest().hosts), "proof-age", now.Sub(roster.checkedAt))
}

// listedSince returns the list since which this host is listed without interruption.
func (throttler *Throttler) listedSince(roster *roster) (since *list, listed bool) {
	var registration uint64
	for _, list := range roster.lists {
		index, ok := list.find(throttler.self.Name())
		if !listed || (ok && list.members[index].registration != registration) {
			since = list
		}
		if listed = ok; ok {
			registration = list.members[index].registration
		}
	}
	return since, listed
}

// settled reports whether a host whose takeover delay ends at a time may grant permits: its
// view is new enough and, when the delay had passed, still showed that it ranks first.
func (throttler *Throttler) settled(now time.Time, roster *roster, delayEnd time.Time) bool {
	return now.Sub(roster.checkedAt) <= throttler.maxAge(roster.checkedAt) && !roster.checkedAt.Before(delayEnd)
}

// maxAge returns the age up to which a host with a view that was checked at a time grants.
// When the fleet starts for the first time, hosts take over sooner, so that the views of
// that time count for less; hosts start within a bound of each other.
func (throttler *Throttler) maxAge(checkedAt time.Time) time.Duration {
	if throttler.firstStart && checkedAt.Sub(throttler.startedAt) <= throttler.delay()+throttler.bound {
		return throttler.bound
	}
	return throttler.delay()
}
