package emulator

import (
	"context"
	"sync"
	"time"
)

// doorFaults are what is wrong between one caller and a store. The zero value
// is nothing.
type doorFaults struct {
	passage Passage
	delay   time.Duration
	// losses is how many of the next calls are Unanswered, and late how long after
	// their arrival they take effect.
	losses     int
	late       time.Duration
	cutWatches bool
	behind     uint64
	pageItems  int
}

// DoorFault sets one thing that is wrong.
type DoorFault func(faults *doorFaults)

// DoorPassage makes every call come to the same.
func DoorPassage(passage Passage) DoorFault {
	return func(faults *doorFaults) { faults.passage = passage }
}

// DoorDelay slows each call before it takes effect.
func DoorDelay(delay time.Duration) DoorFault {
	return func(faults *doorFaults) { faults.delay = delay }
}

// DoorLosses makes the next count calls Unanswered; they take effect late after
// their arrival.
func DoorLosses(count int, late time.Duration) DoorFault {
	return func(faults *doorFaults) { faults.losses, faults.late = count, late }
}

// DoorCutWatches breaks the connections of watches that wait.
func DoorCutWatches(faults *doorFaults) { faults.cutWatches = true }

// DoorBehind makes cheap reads lag by a number of revisions.
func DoorBehind(revisions uint64) DoorFault {
	return func(faults *doorFaults) { faults.behind = revisions }
}

// DoorPageItems bounds the items of a page below the store's own bound.
func DoorPageItems(most int) DoorFault {
	return func(faults *doorFaults) { faults.pageItems = most }
}

// Passage is what a door makes of one call.
type Passage int

// What a door makes of a call.
const (
	// Admitted calls are served.
	Admitted Passage = iota
	// Refused calls have no effect and are told so.
	Refused
	// Throttled calls have no effect and come again later.
	Throttled
	// Broken calls have no effect and their connections are reset.
	Broken
	// Unheard calls have no effect and no answer.
	Unheard
	// Unanswered calls take effect and have no answer.
	Unanswered
)

// DoorCalls counts the calls that reached a door.
type DoorCalls struct {
	reads, cheapReads, writes, renewals, watches int
}

// Reads returns the reads that count in full.
func (doorCalls DoorCalls) Reads() int { return doorCalls.reads }

// CheapReads returns the reads that may be behind.
func (doorCalls DoorCalls) CheapReads() int { return doorCalls.cheapReads }

// Writes returns the commits, and the leases granted and ended.
func (doorCalls DoorCalls) Writes() int { return doorCalls.writes }

// Renewals returns the renewals of leases.
func (doorCalls DoorCalls) Renewals() int { return doorCalls.renewals }

// Watches returns the watches.
func (doorCalls DoorCalls) Watches() int { return doorCalls.watches }

// CallSort is a sort of calls that is counted by itself.
type CallSort int

// The sorts of calls.
const (
	ReadCall CallSort = iota
	CheapReadCall
	WriteCall
	RenewalCall
	WatchCall
)

// Door stands between one caller and a store, with faults of its own. The zero
// value has none. It is safe for use by several goroutines.
type Door struct {
	// mu guards all fields below.
	mu     sync.Mutex
	faults doorFaults
	// switched is closed, and replaced, when the faults are set.
	switched chan struct{}
	calls    DoorCalls
}

// SetFaults replaces the faults, none for a sound door, and wakes the watches
// that wait.
func (door *Door) SetFaults(faults ...DoorFault) {
	door.mu.Lock()
	defer door.mu.Unlock()
	door.faults = doorFaults{}
	for _, fault := range faults {
		fault(&door.faults)
	}
	if door.switched != nil {
		close(door.switched)
	}
	door.switched = nil
}

// Late returns how long after their arrival unanswered calls take effect.
func (door *Door) Late() time.Duration { return door.current().late }

// CutsWatches reports whether watches that wait are cut.
func (door *Door) CutsWatches() bool { return door.current().cutWatches }

// Behind returns by how many revisions cheap reads lag.
func (door *Door) Behind() uint64 { return door.current().behind }

// PageItems returns the bound on the items of a page, or 0 for the store's own.
func (door *Door) PageItems() int { return door.current().pageItems }

func (door *Door) current() doorFaults {
	door.mu.Lock()
	defer door.mu.Unlock()
	return door.faults
}

// Switched returns what is closed when the faults are set next.
func (door *Door) Switched() <-chan struct{} {
	door.mu.Lock()
	defer door.mu.Unlock()
	if door.switched == nil {
		door.switched = make(chan struct{})
	}
	return door.switched
}

// Calls returns the counts so far.
func (door *Door) Calls() DoorCalls {
	door.mu.Lock()
	defer door.mu.Unlock()
	return door.calls
}

// Pass counts a call, holds it up as the faults say, and tells what becomes of
// it.
func (door *Door) Pass(ctx context.Context, sort CallSort) Passage {
	door.mu.Lock()
	door.count(sort)
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

// count adds a call. The caller holds mu.
func (door *Door) count(sort CallSort) {
	switch sort {
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
