// Package recorder keeps the timeline of one process's events in memory, in a
// ring buffer to which the daemons' tasks add.
//
// Events carry hybrid logical timestamps (from time.Now and the stamps of
// received messages), so that merging the timelines of several processes orders
// an event before those it could have caused. The package does no I/O and starts
// no goroutines.
package recorder

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Kind is the subject of an event.
type Kind string

// The kinds of events.
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

// Capacity is how many events a Recorder holds. New events replace the oldest.
const Capacity = 4096

// maxTextBytes bounds the text of an event, which may hold a request id that a caller
// chose; the rest is cut off.
const maxTextBytes = 256

// Event is an entry of a timeline.
type Event struct {
	stamp   Stamp
	process string
	kind    Kind
	// object is the name of the event's object, such as an endpoint.
	object string
	text   string
}

// NewEvent returns an event with the given fields. To record a new event, use
// [Recorder.Record].
func NewEvent(stamp Stamp, process string, kind Kind, object, text string) Event {
	return Event{stamp: stamp, process: process, kind: kind, object: object, text: text}
}

// Stamp returns the event's hybrid logical timestamp.
func (event Event) Stamp() Stamp { return event.stamp }

// Process returns the name of the process that recorded the event.
func (event Event) Process() string { return event.process }

// Kind returns the subject of the event.
func (event Event) Kind() Kind { return event.kind }

// Object returns the name of the event's object.
func (event Event) Object() string { return event.object }

// Text returns the description of the event.
func (event Event) Text() string { return event.text }

// Recorder keeps the timeline of one process. The zero value is ready to use.
type Recorder struct {
	// mu guards the fields below.
	mu      sync.Mutex
	process string
	last    Stamp
	// ring holds up to Capacity events; once full, next is the index of the oldest.
	ring []Event
	next int
}

// SetProcess sets the process name of events recorded later.
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
	event := NewEvent(recorder.last, recorder.process, kind, object, shorten(text))
	if len(recorder.ring) < Capacity {
		recorder.ring = append(recorder.ring, event)
		return
	}
	recorder.ring[recorder.next] = event
	recorder.next = (recorder.next + 1) % Capacity
}

// shorten returns at most the first maxTextBytes bytes of text.
func shorten(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.Clone(text[:maxTextBytes])
}

// Now returns a new stamp to send with a message.
func (recorder *Recorder) Now() Stamp {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.last = recorder.last.next(time.Now())
	return recorder.last
}

// Observe advances the clock to the stamp of a received message, so that later
// events come after it.
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

// Merge merges the timelines of several processes into one, in causal order.
func Merge(timelines ...[]Event) []Event {
	merged := slices.Concat(timelines...)
	slices.SortStableFunc(merged, func(left, right Event) int {
		return left.stamp.Compare(right.stamp)
	})
	return merged
}
