package recorder

import (
	"cmp"
	"time"
)

// Stamp is a hybrid logical time: wall-clock nanoseconds that never fall
// behind what was seen from others, with a counter for events at one
// nanosecond. If one event could have caused another, its Stamp is smaller.
type Stamp struct {
	wall    int64
	counter uint32
}

// NewStamp returns the stamp of wall nanoseconds since 1970 and a counter.
func NewStamp(wall int64, counter uint32) Stamp { return Stamp{wall: wall, counter: counter} }

// Wall returns nanoseconds since 1970.
func (stamp Stamp) Wall() int64 { return stamp.wall }

// Counter orders events at one wall time.
func (stamp Stamp) Counter() uint32 { return stamp.counter }

// Time returns the wall part.
func (stamp Stamp) Time() time.Time { return time.Unix(0, stamp.wall) }

// Compare orders stamps; it returns -1, 0 or 1.
func (stamp Stamp) Compare(other Stamp) int {
	if order := cmp.Compare(stamp.wall, other.wall); order != 0 {
		return order
	}
	return cmp.Compare(stamp.counter, other.counter)
}

// next returns a stamp after stamp, at now where that is later.
func (stamp Stamp) next(now time.Time) Stamp {
	if wall := now.UnixNano(); wall > stamp.wall {
		return Stamp{wall: wall}
	}
	return Stamp{wall: stamp.wall, counter: stamp.counter + 1}
}
