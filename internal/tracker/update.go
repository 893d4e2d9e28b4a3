package tracker

import (
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Update brings a copy of the store from one point to a later one.
type Update struct {
	point definer.Point
	// age is the time since the store was last known to be at point.
	age time.Duration
	// checks is the sending host's count of freshness checks.
	checks uint64
	// held is the time for which the sending host held its reply back.
	held time.Duration
	// complete is true where items are a complete copy and not changes, as in every
	// update from one era to a later one.
	complete bool
	items    []Item
}

// NewUpdate returns an update from a host whose last freshness check is age old.
func NewUpdate(point definer.Point, age time.Duration, checks uint64, complete bool, items []Item) Update {
	return Update{point: point, age: age, checks: checks, complete: complete, items: items}
}

// Point returns the point that the update leads to.
func (update Update) Point() definer.Point { return update.point }

// Age returns the time since the store was last known to be at that point.
func (update Update) Age() time.Duration { return update.age }

// Checks returns the sending host's count of freshness checks.
func (update Update) Checks() uint64 { return update.checks }

// Held returns the time for which the sending host held its reply back.
func (update Update) Held() time.Duration { return update.held }

// WithHeld returns a copy with the time for which the reply was held back.
func (update Update) WithHeld(held time.Duration) Update {
	update.held = held
	return update
}

// inTransit returns a copy of an update that arrived elapsed after it was asked for.
// Its age covers the time that the request and the reply spent on the way, which is
// long where the update is large or a link is slow.
func (update Update) inTransit(elapsed time.Duration) Update {
	update.age += max(elapsed-update.held, 0)
	return update
}

// Complete reports whether the items are a complete copy and not changes.
func (update Update) Complete() bool { return update.complete }

// Items returns the items or changes; callers must not change them.
func (update Update) Items() []Item { return update.items }
