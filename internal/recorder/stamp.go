package recorder

import (
	"cmp"
	"time"
)

// Stamp is a hybrid logical timestamp: wall-clock nanoseconds that are never
// below those received from other processes, and a counter for events with equal
// nanoseconds. If an event could have caused another, its Stamp is smaller.
type Stamp struct {
	wall    int64
	counter uint32
}

// NewStamp returns the stamp of wall, in nanoseconds since 1970, and counter.
func NewStamp(wall int64, counter uint32) Stamp { return Stamp{wall: wall, counter: counter} }

// Wall returns the wall-clock part in nanoseconds since 1970.
func (stamp Stamp) Wall() int64 { return stamp.wall }

// Counter returns the counter, which orders events with the same wall time.
func (stamp Stamp) Counter() uint32 { return stamp.counter }

// Time returns the wall-clock part.
func (stamp Stamp) Time() time.Time { return time.Unix(0, stamp.wall) }

// Compare returns -1, 0 or 1 if stamp is before, equal to or after other.
func (stamp Stamp) Compare(other Stamp) int {
	if order := cmp.Compare(stamp.wall, other.wall); order != 0 {
		return order
	}
	return cmp.Compare(stamp.counter, other.counter)
}

// next returns the stamp at now, or the smallest stamp after stamp if now is not
// later.
func (stamp Stamp) next(now time.Time) Stamp {
	if wall := now.UnixNano(); wall > stamp.wall {
		return Stamp{wall: wall}
	}
	return Stamp{wall: stamp.wall, counter: stamp.counter + 1}
}
