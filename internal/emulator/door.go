package emulator

import (
	"context"
	"sync"
	"time"
)

// faultSet holds the faults between one caller and a store. The zero value has
// none.
type faultSet struct {
	passage Passage
	delay   time.Duration
	// losses is the number of next calls whose reply is lost, and late the delay
	// after their arrival until they take effect.
	losses     int
	late       time.Duration
	cutWatches bool
	behind     uint64
	pageItems  int
}

// DoorFault sets one fault.
type DoorFault func(faults *faultSet)

// DoorPassage applies one disposition to every call.
func DoorPassage(passage Passage) DoorFault {
	return func(faults *faultSet) { faults.passage = passage }
}

// DoorDelay delays each call before it takes effect.
func DoorDelay(delay time.Duration) DoorFault {
	return func(faults *faultSet) { faults.delay = delay }
}

// DoorLosses drops the replies to the next count calls; these take effect with
// the delay late after their arrival.
func DoorLosses(count int, late time.Duration) DoorFault {
	return func(faults *faultSet) { faults.losses, faults.late = count, late }
}

// DoorCutWatches resets the connections of waiting watches.
func DoorCutWatches(faults *faultSet) { faults.cutWatches = true }

// DoorBehind makes reads that allow staleness lag by a number of revisions.
func DoorBehind(revisions uint64) DoorFault {
	return func(faults *faultSet) { faults.behind = revisions }
}

// DoorPageItems limits the items of a page to fewer than the store's own limit.
func DoorPageItems(most int) DoorFault {
	return func(faults *faultSet) { faults.pageItems = most }
}

// Passage is how a fault injector handles one call.
type Passage int

// The dispositions of a call.
const (
	// Admitted calls are served.
	Admitted Passage = iota
	// Refused calls have no effect, and the reply says so.
	Refused
	// Throttled calls have no effect; the reply asks for a retry later.
	Throttled
	// Broken calls have no effect; their connections are reset.
	Broken
	// Unheard calls have no effect and get no reply.
	Unheard
	// Unanswered calls take effect and get no reply.
	Unanswered
)

// DoorCalls counts the calls that reached a fault injector.
type DoorCalls struct {
	reads, cheapReads, writes, renewals, watches int
}

// Reads returns the number of reads that do not allow staleness.
func (doorCalls DoorCalls) Reads() int { return doorCalls.reads }

// CheapReads returns the number of reads that allow staleness.
func (doorCalls DoorCalls) CheapReads() int { return doorCalls.cheapReads }

// Writes returns the number of commits and of leases granted and ended.
func (doorCalls DoorCalls) Writes() int { return doorCalls.writes }

// Renewals returns the number of lease renewals.
func (doorCalls DoorCalls) Renewals() int { return doorCalls.renewals }

// Watches returns the number of watches.
func (doorCalls DoorCalls) Watches() int { return doorCalls.watches }

// CallSort is a kind of call that is counted separately.
type CallSort int

// The kinds of calls.
const (
	ReadCall CallSort = iota
	CheapReadCall
	WriteCall
	RenewalCall
	WatchCall
)

// Door injects faults into the calls of one caller to a store. The zero value
// injects none. It is safe for concurrent use.
type Door struct {
	// mu guards all fields below.
	mu     sync.Mutex
	faults faultSet
	// faultsChanged is closed and replaced when the faults are set.
	faultsChanged chan struct{}
	calls         DoorCalls
}

// SetFaults replaces the faults, with none to clear them, and wakes waiting
// watches.
func (door *Door) SetFaults(faults ...DoorFault) {
	door.mu.Lock()
	defer door.mu.Unlock()
	door.faults = faultSet{}
	for _, fault := range faults {
		fault(&door.faults)
	}
	if door.faultsChanged != nil {
		close(door.faultsChanged)
	}
	door.faultsChanged = nil
}

// Late returns the delay after their arrival until calls with a lost reply take
// effect.
func (door *Door) Late() time.Duration { return door.current().late }

// CutsWatches reports whether the connections of waiting watches are reset.
func (door *Door) CutsWatches() bool { return door.current().cutWatches }

// Behind returns by how many revisions cheap reads lag.
func (door *Door) Behind() uint64 { return door.current().behind }

// PageItems returns the limit on the items of a page, or 0 for the store's own.
func (door *Door) PageItems() int { return door.current().pageItems }

func (door *Door) current() faultSet {
	door.mu.Lock()
	defer door.mu.Unlock()
	return door.faults
}

// Switched returns a channel that is closed when the faults are set next.
func (door *Door) Switched() <-chan struct{} {
	door.mu.Lock()
	defer door.mu.Unlock()
	if door.faultsChanged == nil {
		door.faultsChanged = make(chan struct{})
	}
	return door.faultsChanged
}

// Calls returns the counts of the calls so far.
func (door *Door) Calls() DoorCalls {
	door.mu.Lock()
	defer door.mu.Unlock()
	return door.calls
}

// Pass counts a call, delays it as the faults demand, and returns its
// disposition.
func (door *Door) Pass(ctx context.Context, kind CallSort) Passage {
	door.mu.Lock()
	door.count(kind)
	delay := door.faults.delay
	door.mu.Unlock()
	pause(ctx, delay)
	door.mu.Lock()
	defer door.mu.Unlock()
	if door.faults.passage == Admitted && door.faults.losses > 0 {
		door.faults.losses--
		return Unanswered
	}
	return door.faults.passage
}

// count counts a call. The caller holds mu.
func (door *Door) count(kind CallSort) {
	switch kind {
	case ReadCall:
		door.calls.reads++
	case CheapReadCall:
		door.calls.cheapReads++
	case WriteCall:
		door.calls.writes++
	case RenewalCall:
		door.calls.renewals++
	case WatchCall:
		door.calls.watches++
	}
}
