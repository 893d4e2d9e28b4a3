package emulator

import (
	"context"
	"sync"
	"time"
)

// DoorFaults are what is wrong between one caller and a store. The zero value
// is none.
type DoorFaults struct {
	// Outage refuses every call with no effect; Throttle does so because of a
	// rate that is used up.
	Outage, Throttle bool
	// Reset breaks the connection of each call before it has an effect.
	Reset bool
	// Silent never answers, and has no effect.
	Silent bool
	// Delay slows each call before it takes effect.
	Delay time.Duration
	// LoseAnswers is how many of the next calls take effect and are not
	// answered; their connections stay open and silent.
	LoseAnswers int
	// Late is how long after its arrival such a call takes effect.
	Late time.Duration
	// CutWatches breaks the connections of watches that wait.
	CutWatches bool
	// Behind is by how many revisions cheap reads lag.
	Behind uint64
	// PageItems bounds the items of a page; 0 stands for the store's own bound.
	PageItems int
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
func (calls DoorCalls) Reads() int { return calls.reads }

// CheapReads returns the reads that may be behind.
func (calls DoorCalls) CheapReads() int { return calls.cheapReads }

// Writes returns the commits, and the leases granted and ended.
func (calls DoorCalls) Writes() int { return calls.writes }

// Renewals returns the renewals of leases.
func (calls DoorCalls) Renewals() int { return calls.renewals }

// Watches returns the watches.
func (calls DoorCalls) Watches() int { return calls.watches }

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
	faults DoorFaults
	// switched is closed, and replaced, when the faults are set.
	switched chan struct{}
	calls    DoorCalls
}

// SetFaults replaces the faults and wakes the watches that wait.
func (door *Door) SetFaults(faults DoorFaults) {
	door.mu.Lock()
	defer door.mu.Unlock()
	door.faults = faults
	if door.switched != nil {
		close(door.switched)
	}
	door.switched = nil
}

// Faults returns the faults that are on.
func (door *Door) Faults() DoorFaults {
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
	delay := door.faults.Delay
	door.mu.Unlock()
	pause(ctx, delay)
	door.mu.Lock()
	defer door.mu.Unlock()
	switch {
	case door.faults.Silent:
		return Unheard
	case door.faults.Reset:
		return Broken
	case door.faults.Outage:
		return Refused
	case door.faults.Throttle:
		return Throttled
	case door.faults.LoseAnswers > 0:
		door.faults.LoseAnswers--
		return Unanswered
	}
	return Admitted
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
