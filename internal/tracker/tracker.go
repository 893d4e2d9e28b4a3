package tracker

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/timekeeper"
)

// Store is the part of the platform's store that a tracker reads.
type Store interface {
	// Point returns the point that the store is at.
	Point(ctx context.Context) (definer.Point, error)
	// Scan returns all items and a point; the items are at least as new as
	// that. A stale scan costs less and may be seconds behind.
	Scan(ctx context.Context, prefix string, stale bool) ([]Item, definer.Point, error)
	// Changes returns the changes after a revision, and the point up to which they are
	// complete; if its era is not that of the revision, they have no meaning. It waits
	// for a change for at most wait, and fails if the reply does not begin within limit
	// after that.
	Changes(ctx context.Context, prefix string, after uint64, wait, limit time.Duration) ([]Item, definer.Point, error)
}

// Peers are the other entry hosts.
type Peers interface {
	// Fetch asks host for its update after a point. It blocks until host has a
	// later one, has counted more freshness checks than checks, or has held
	// the reply back for its longest time.
	Fetch(ctx context.Context, host string, after definer.Point, checks uint64) (Update, error)
}

// Tracker keeps a View current. Make one with New.
type Tracker struct {
	self    definer.Host
	store   Store
	peers   Peers
	timing  timing
	journal Journal
	// clock tells the time of all fields below.
	clock   Clock
	meters  meters
	current atomic.Pointer[View]
	// firstCheck is closed at the first freshness check.
	firstCheck chan struct{}
	// firstCopy is closed once the replica has any content, of whatever age.
	firstCopy chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	replica replica
	builder builder
	// checkedAt is the last time at which the store was known to be at the
	// replica's point; zero for never.
	checkedAt time.Time
	// firstCopyAt is the time of the first scan; zero for never.
	firstCopyAt time.Time
	// lastScanAt is the time of the last stale scan, which is no freshness check.
	lastScanAt time.Time
	// checks counts the freshness checks. It starts at the host's incarnation,
	// so that it also rises over restarts.
	checks uint64
	// renewed is closed at the next freshness check, and then replaced.
	renewed chan struct{}
	// disconnected is true where the last read of the store failed, at
	// failedAt, and no peer has sent a newer freshness check since then.
	disconnected bool
	failedAt     time.Time
	// exclusionsClearedAt is the time at which excludedUntil was last cleared after
	// a failed read.
	exclusionsClearedAt time.Time
	// seeds are peers to ask while no other host is known and the store can't
	// be read.
	seeds []string
	// excludedUntil holds the end of the exclusion of peers that failed or were
	// overdue.
	excludedUntil map[string]time.Time
}

// New returns a tracker of the host self with an empty view. The view is at
// most bound old while the store or a peer with a current copy can be reached.
func New(self definer.Host, store Store, peers Peers, decoder Decoder, keys Keys, bound time.Duration, journal Journal) *Tracker {
	return &Tracker{
		self: self, store: store, peers: peers, journal: journal, timing: timing{bound: bound},
		builder: builder{decoder: decoder, keys: keys, journal: journal},
		clock:   timekeeper.System{}, checks: self.Incarnation(), renewed: make(chan struct{}), firstCheck: make(chan struct{}), firstCopy: make(chan struct{}),
		excludedUntil: make(map[string]time.Time),
	}
}

// Clock tells the time. Its times are compared only with each other.
type Clock interface {
	Now() time.Time
}

// SetClock replaces the default clock; the times passed to the tracker's methods must
// be of the same clock. Call it before the tasks run.
func (tracker *Tracker) SetClock(clock Clock) { tracker.clock = clock }

// SetSeeds names peers to ask while no other host is known and the store can't
// be read. Call it before the tasks run.
func (tracker *Tracker) SetSeeds(names []string) { tracker.seeds = names }

// View returns the host's current view.
func (tracker *Tracker) View() *View {
	if view := tracker.current.Load(); view != nil {
		return view
	}
	return &emptyView
}

// Age returns the time since the view was last known to be current, or a day if
// it never was.
func (tracker *Tracker) Age(now time.Time) time.Duration {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.age(now)
}

// neverAge is the age of a view without a freshness check.
const neverAge = 24 * time.Hour

// age is Age where the caller holds mu.
func (tracker *Tracker) age(now time.Time) time.Duration {
	if tracker.checkedAt.IsZero() {
		return neverAge
	}
	return now.Sub(tracker.checkedAt)
}

// Current reports whether the last freshness check is within the bound.
func (tracker *Tracker) Current(now time.Time) bool { return tracker.Age(now) <= tracker.timing.bound }

// position returns the host's depth in the tree and its parent.
func (tracker *Tracker) position(now time.Time) (depth, definer.Host) {
	hosts := tracker.View().Hosts()
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return treePosition(tracker.self, hosts, tracker.disconnected, func(name string) bool { return now.Before(tracker.excludedUntil[name]) })
}

// Copied returns a channel that is closed once the host has a copy of the store, which may
// be old.
func (tracker *Tracker) Copied() <-chan struct{} { return tracker.firstCopy }

// Ready returns a channel that is closed at the first freshness check.
func (tracker *Tracker) Ready() <-chan struct{} { return tracker.firstCheck }

// Item returns the host's copy of a key, and the point of the whole copy, whose era the
// key's revision belongs to.
func (tracker *Tracker) Item(key string) (item Item, copied definer.Point, ok bool) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	item, ok = tracker.replica.items[key]
	return item, tracker.replica.point, ok
}

// baseDepth returns the host's depth in the tree if no host is excluded.
func (tracker *Tracker) baseDepth() depth {
	at, _ := treePosition(tracker.self, tracker.View().Hosts(), false, func(string) bool { return false })
	return at
}

// recordCheck records a freshness check: the replica was complete at the time at.
// The caller holds mu.
func (tracker *Tracker) recordCheck(at time.Time) {
	if !at.After(tracker.checkedAt) {
		return
	}
	if tracker.checkedAt.IsZero() {
		close(tracker.firstCheck)
	} else {
		tracker.meters.check(tracker.age(tracker.clock.Now()))
	}
	tracker.checkedAt = at
	tracker.checks++
	close(tracker.renewed)
	tracker.renewed = make(chan struct{})
}

// rebuild makes a new view of the replica; afterOutage is true where the store
// could not be read until now. The caller holds mu.
func (tracker *Tracker) rebuild(now time.Time, afterOutage bool) {
	if tracker.current.Swap(tracker.builder.build(now, &tracker.replica, afterOutage)) == nil {
		close(tracker.firstCopy)
	}
}

// outageAge is the length of an outage of the store above which entries may have
// lapsed in it.
const outageAge = 1500 * time.Millisecond

// afterOutage reports whether an outage of the store lasted until now. The age of
// the copy alone does not show one: an update may also be late because it is large
// or because a peer is slow. The caller holds mu.
func (tracker *Tracker) afterOutage(now time.Time) bool {
	return tracker.disconnected && tracker.age(now) > outageAge
}

// applyUpdate applies a peer's update that is as old as its age says at now.
func (tracker *Tracker) applyUpdate(now time.Time, update Update) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if tracker.replica.point.After(update.point) {
		return
	}
	checkedAt := now.Add(-update.age)
	afterOutage := tracker.afterOutage(now)
	if update.point.After(tracker.replica.point) {
		switch {
		case update.complete:
			tracker.replace(update.items, update.point)
		case !tracker.replica.apply(update.items, update.point):
			return
		}
		tracker.rebuild(now, afterOutage)
	} else if tracker.builder.changesWithTime() {
		tracker.rebuild(now, false)
	}
	if update.age < neverAge {
		tracker.recordCheck(checkedAt)
		tracker.disconnected = tracker.disconnected && !checkedAt.After(tracker.failedAt)
	}
}

// Serve returns the update for a peer whose copy is at a point; checks is the
// number of this host's freshness checks that the peer knows of. Serve blocks until
// there is a later point or a newer check, but returns before the peer excludes this
// host as failed.
func (tracker *Tracker) Serve(ctx context.Context, after definer.Point, checks uint64) Update {
	start := tracker.clock.Now()
	at, _ := tracker.position(start)
	timer := time.NewTimer(tracker.timing.holdTime(at, tracker.Age(start)))
	defer timer.Stop()
	for {
		update, renewed := tracker.update(tracker.clock.Now(), after)
		if update.checks > checks || update.point.After(after) {
			return update.WithHeld(tracker.clock.Now().Sub(start))
		}
		select {
		case <-renewed:
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		// The age has grown while the reply was held back.
		update, _ = tracker.update(tracker.clock.Now(), after)
		return update.WithHeld(tracker.clock.Now().Sub(start))
	}
}

// update returns the update after a point, and a channel that is closed at the
// next freshness check.
func (tracker *Tracker) update(now time.Time, after definer.Point) (Update, <-chan struct{}) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	items, complete := tracker.replica.changesAfter(after)
	return NewUpdate(tracker.replica.point, tracker.age(now), tracker.checks, complete, items), tracker.renewed
}
