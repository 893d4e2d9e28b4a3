// Package recorder keeps the time line of events of one process in a bounded
// ring. Events carry hybrid logical times, so that the time lines of several
// processes merge in an order that respects cause and effect as far as the
// processes heard of each other.
package recorder

import (
	"slices"
	"sync"
	"time"
)

// Kind sorts events by what they are about.
type Kind string

// The kinds of event.
const (
	KindProcess       Kind = "process"
	KindPeer          Kind = "peer"
	KindMembership    Kind = "membership"
	KindConfiguration Kind = "configuration"
	KindEndpoint      Kind = "endpoint"
	KindRefusal       Kind = "refusal"
	KindRetry         Kind = "retry"
	KindClaim         Kind = "claim"
	KindSuspect       Kind = "suspect"
	KindStore         Kind = "store"
)

// Capacity is how many events a Recorder holds; the oldest go first.
const Capacity = 4096

// Event is one line of the time line.
type Event struct {
	stamp   Stamp
	process string
	kind    Kind
	// object names what the event is about, such as an endpoint's name.
	object string
	text   string
}

// NewEvent returns an event, as read from another process.
func NewEvent(stamp Stamp, process string, kind Kind, object, text string) Event {
	return Event{stamp: stamp, process: process, kind: kind, object: object, text: text}
}

// Stamp returns when the event was, in hybrid logical time.
func (event Event) Stamp() Stamp { return event.stamp }

// Process returns the name of the process that recorded the event.
func (event Event) Process() string { return event.process }

// Kind returns what the event is about.
func (event Event) Kind() Kind { return event.kind }

// Object returns the name of what the event is about.
func (event Event) Object() string { return event.object }

// Text returns what happened.
func (event Event) Text() string { return event.text }

// Recorder is the time line of one process. The zero value is ready to use.
type Recorder struct {
	// mu guards all fields below.
	mu      sync.Mutex
	process string
	last    Stamp
	// ring holds up to Capacity events; next is where the next one goes.
	ring []Event
	next int
}

// SetProcess names the process in events recorded from now on.
func (recorder *Recorder) SetProcess(process string) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.process = process
}

// Record adds an event that happened now.
func (recorder *Recorder) Record(kind Kind, object, text string) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.last = recorder.last.next(time.Now())
	event := NewEvent(recorder.last, recorder.process, kind, object, text)
	if len(recorder.ring) < Capacity {
		recorder.ring = append(recorder.ring, event)
		return
	}
	recorder.ring[recorder.next] = event
	recorder.next = (recorder.next + 1) % Capacity
}

// Now returns a fresh stamp to send along with a message.
func (recorder *Recorder) Now() Stamp {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.last = recorder.last.next(time.Now())
	return recorder.last
}

// Observe takes in the stamp of a message received: later events come after it.
func (recorder *Recorder) Observe(stamp Stamp) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	if stamp.Compare(recorder.last) > 0 {
		recorder.last = stamp
	}
}

// Events returns the events after since, oldest first.
func (recorder *Recorder) Events(since Stamp) []Event {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	events := make([]Event, 0, len(recorder.ring))
	for index := range recorder.ring {
		event := recorder.ring[(recorder.next+index)%len(recorder.ring)]
		if event.stamp.Compare(since) > 0 {
			events = append(events, event)
		}
	}
	return events
}

// Merge joins the time lines of several processes into one, in causal order.
func Merge(lines ...[]Event) []Event {
	merged := slices.Concat(lines...)
	slices.SortStableFunc(merged, func(left, right Event) int {
		return left.stamp.Compare(right.stamp)
	})
	return merged
}
