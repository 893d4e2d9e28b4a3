// Package tracker keeps what a host believes of the world current: a copy of
// the platform's store, with the time at which it was last proved to be whole.
//
// A proof is a reading of the store's own revision: a watch that hears nothing
// proves nothing. One host of the fleet reads; the others ask it, along a tree
// of regions and data centres (place). Nothing safe rests on the tree: a host
// whose proof grows old reads the store itself, and hands on what it read. A
// host never goes back to an older revision or an older routing.
//
// Two tasks work on a tracker: the poller reads the store, and the puller asks
// the peer above.
package tracker

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Store is what a tracker reads of the platform's store.
type Store interface {
	// Revision returns the revision of the store.
	Revision(ctx context.Context) (uint64, error)
	// Scan returns all items, and a revision that they are at least as new as.
	// A stale scan costs less and may be seconds behind.
	Scan(ctx context.Context, prefix string, stale bool) ([]Item, uint64, error)
	// Changes returns what changed after a revision, and up to which revision
	// that is whole.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error)
}

// Peers are the other entry hosts.
type Peers interface {
	// Fetch asks host for what it knows after revision. It takes until host has
	// a newer proof than the one numbered proof.
	Fetch(ctx context.Context, host string, revision, proof uint64) (News, error)
}

// News takes a copy of the store from one revision to a later one.
type News struct {
	revision uint64
	// age is how long ago the store was known to be at revision.
	age time.Duration
	// proof counts the proofs of the host that the news come from.
	proof uint64
	// whole is true where items are the whole copy and not changes.
	whole bool
	items []Item
}

// NewNews returns the news of a host whose copy was proved age ago.
func NewNews(revision uint64, age time.Duration, proof uint64, whole bool, items []Item) News {
	return News{revision: revision, age: age, proof: proof, whole: whole, items: items}
}

// Revision returns the revision that the news lead to.
func (news News) Revision() uint64 { return news.revision }

// Age returns how long ago the store was known to be at that revision.
func (news News) Age() time.Duration { return news.age }

// Proof counts the proofs of the host that the news come from.
func (news News) Proof() uint64 { return news.proof }

// Whole reports whether the items are the whole copy and not changes.
func (news News) Whole() bool { return news.whole }

// Items returns what the news bring; callers must not change it.
func (news News) Items() []Item { return news.items }

// Tracker keeps a View current. Make one with New.
type Tracker struct {
	self    definer.Host
	store   Store
	peers   Peers
	pace    pace
	journal Journal
	current atomic.Pointer[View]
	// known is closed at the first proof.
	known chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	replica replica
	builder builder
	// proved is when the store was last known to be at the replica's revision;
	// zero for never.
	proved time.Time
	// begun is when the first copy was read.
	begun time.Time
	// looked is when the store was last read without a proof.
	looked time.Time
	// proof counts the proofs; it begins with the time of the start, so that it
	// rises over starts.
	proof uint64
	// renewed is closed at the next proof, and then replaced.
	renewed chan struct{}
	// blind is true where the last reading of the store failed, at failed, and no
	// peer has proved since then that it can be read.
	blind  bool
	failed time.Time
	// lost is when the host last began to ask all peers again since its own
	// reading had failed.
	lost time.Time
	// seeds are asked by a host that knows no other and can't read the store.
	seeds []string
	// out holds until when peers are passed over that did not answer.
	out map[string]time.Time
}

// New returns a tracker of the host self that knows nothing yet. What it
// believes is never older than bound while the store or a peer can be reached.
func New(self definer.Host, store Store, peers Peers, decoder Decoder, keys Keys, bound time.Duration, journal Journal) *Tracker {
	return &Tracker{
		self: self, store: store, peers: peers, journal: journal, pace: pace{bound: bound},
		builder: builder{decoder: decoder, keys: keys, journal: journal},
		proof:   self.Incarnation(), renewed: make(chan struct{}), known: make(chan struct{}), out: make(map[string]time.Time),
	}
}

// SetSeeds names peers to ask where nothing is known yet and the store can't be
// read; before the tasks run.
func (tracker *Tracker) SetSeeds(names []string) { tracker.seeds = names }

// View returns what the host believes now.
func (tracker *Tracker) View() *View {
	if view := tracker.current.Load(); view != nil {
		return view
	}
	return &nothing
}

// Age returns how long ago the view was known to be current; a day where it
// never was.
func (tracker *Tracker) Age(now time.Time) time.Duration {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.age(now)
}

// never is the age of what was never known to be current.
const never = 24 * time.Hour

func (tracker *Tracker) age(now time.Time) time.Duration {
	if tracker.proved.IsZero() {
		return never
	}
	return now.Sub(tracker.proved)
}

// Current reports whether the view is known to be no older than the bound.
func (tracker *Tracker) Current(now time.Time) bool { return tracker.Age(now) <= tracker.pace.bound }

// place returns the host's depth in the tree and the host that it asks.
func (tracker *Tracker) place(now time.Time) (depth, definer.Host) {
	hosts := tracker.View().Hosts()
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return place(tracker.self, hosts, tracker.blind, func(name string) bool { return now.Before(tracker.out[name]) })
}

// Known returns a channel that is closed once the view was proved.
func (tracker *Tracker) Known() <-chan struct{} { return tracker.known }

// Item returns the host's copy of a key.
func (tracker *Tracker) Item(key string) (Item, bool) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	item, ok := tracker.replica.items[key]
	return item, ok
}

// rank returns the host's depth among all hosts, whatever is known of them.
func (tracker *Tracker) rank() depth {
	at, _ := place(tracker.self, tracker.View().Hosts(), false, func(string) bool { return false })
	return at
}

// prove takes in that the store was at revision at a moment. The caller holds
// mu; the replica is at revision or beyond.
func (tracker *Tracker) prove(at time.Time) {
	if !at.After(tracker.proved) {
		return
	}
	if tracker.proved.IsZero() {
		close(tracker.known)
	}
	tracker.proved = at
	tracker.proof++
	close(tracker.renewed)
	tracker.renewed = make(chan struct{})
}

// rebuild makes a new view; unseen is true where the store could not be read
// for a while until now. The caller holds mu.
func (tracker *Tracker) rebuild(now time.Time, unseen bool) {
	tracker.current.Store(tracker.builder.build(now, &tracker.replica, unseen))
}

// unseenAge is the age of a proof from which on entries may have lapsed in an
// outage that nobody saw.
const unseenAge = 1500 * time.Millisecond

// read takes in one reading of the store that began at start.
func (tracker *Tracker) read(ctx context.Context, start time.Time) error {
	known := tracker.revision()
	if known == 0 || tracker.alone(start) {
		return tracker.readFirst(ctx)
	}
	revision, err := tracker.store.Revision(ctx)
	if err != nil {
		return err
	}
	if revision > known {
		return tracker.catchUp(ctx, start, known, revision)
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.prove(start)
	if tracker.builder.waits() {
		tracker.rebuild(time.Now(), false)
	}
	return nil
}

func (tracker *Tracker) revision() uint64 {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.replica.revision
}

// catchUp reads what changed after the revision known, or everything where the
// store does not tell all of it.
func (tracker *Tracker) catchUp(ctx context.Context, start time.Time, known, revision uint64) error {
	for {
		changes, upTo, err := tracker.changes(ctx, known)
		if err != nil || upTo <= known || !tracker.adopt(start, changes, upTo, revision) {
			tracker.journal.Learned("changes are incomplete; reading everything", "after", known, "to", upTo,
				"revision", revision, "told", len(changes), "error", err)
			return tracker.readAll(ctx, start)
		}
		if upTo >= revision {
			return nil
		}
		known = upTo // The store tells a part of many changes at a time.
	}
}

// changes asks for the changes after a revision; a watch that hangs is given up
// soon, since the store has just answered another call.
func (tracker *Tracker) changes(ctx context.Context, after uint64) ([]Item, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, changesTimeout)
	defer cancel()
	return tracker.store.Changes(ctx, "", after, changesWait)
}

// readFirst reads the whole store as cheaply as it can be had. That proves
// nothing, but tells of the peers: one of them has the rest and the proof.
func (tracker *Tracker) readFirst(ctx context.Context) error {
	items, asOf, err := tracker.store.Scan(ctx, "", true)
	if err != nil {
		return err
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if tracker.begun.IsZero() {
		tracker.begun = time.Now()
	}
	tracker.looked = time.Now()
	if tracker.replica.replace(items, asOf) {
		tracker.rebuild(time.Now(), false)
	}
	return nil
}

// The first moments of a host that knows of no other.
const (
	// aloneTime is how long it looks for others before it reads for itself: hosts
	// that start together register within that time.
	aloneTime = time.Second
	// aloneInterval is the time between two looks.
	aloneInterval = 250 * time.Millisecond
)

// alone reports whether the host has only just started and knows of no other.
func (tracker *Tracker) alone(now time.Time) bool {
	hosts := tracker.View().Hosts()
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if !tracker.proved.IsZero() || now.Sub(tracker.begun) >= aloneTime {
		return false
	}
	return len(hosts) == 0 || len(hosts) == 1 && hosts[0].Name() == tracker.self.Name()
}

// readAll reads the whole store as it is.
func (tracker *Tracker) readAll(ctx context.Context, start time.Time) error {
	items, asOf, err := tracker.store.Scan(ctx, "", false)
	if err != nil {
		return err
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	unseen := tracker.age(start) > unseenAge
	if tracker.replica.replace(items, asOf) {
		tracker.rebuild(time.Now(), unseen)
	}
	tracker.prove(start)
	return nil
}

// changesWait is how long the store may wait for a change that it has told of
// already.
const changesWait = 20 * time.Millisecond

// changesTimeout bounds the call: a store that is slow takes a quarter of a
// second for an answer.
const changesTimeout = 400 * time.Millisecond

// adopt takes in changes up to upTo; false where they are not whole. Where that
// is as far as the store's revision, it is a proof.
func (tracker *Tracker) adopt(start time.Time, changes []Item, upTo, revision uint64) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	unseen := tracker.age(start) > unseenAge
	if !tracker.replica.apply(changes, upTo) {
		return false
	}
	tracker.rebuild(time.Now(), unseen)
	if upTo >= revision {
		tracker.prove(start)
	}
	return true
}

// transit is taken off the moment of a peer's proof for the way of its reply: a
// way between regions takes 12 ms, and some for the processors.
const transit = 30 * time.Millisecond

// take takes in the news of a peer that arrived at now.
func (tracker *Tracker) take(now time.Time, news News) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if news.revision < tracker.replica.revision {
		return
	}
	proved := now.Add(-news.age - transit)
	unseen := tracker.age(now) > unseenAge
	if news.revision > tracker.replica.revision {
		switch {
		case news.whole:
			tracker.replica.replace(news.items, news.revision)
		case !tracker.replica.apply(news.items, news.revision):
			return
		}
		tracker.rebuild(now, unseen)
	} else if tracker.builder.waits() {
		tracker.rebuild(now, false)
	}
	if news.age < never {
		tracker.prove(proved)
		tracker.blind = tracker.blind && !proved.After(tracker.failed)
	}
}

// Serve answers a peer whose copy is at revision and who has this host's proof
// numbered proof. It waits for something to tell, but no longer than a peer
// takes for a sign of life.
func (tracker *Tracker) Serve(ctx context.Context, revision, proof uint64) News {
	at, _ := tracker.place(time.Now())
	timer := time.NewTimer(tracker.pace.holdAt(at, tracker.Age(time.Now())))
	defer timer.Stop()
	for {
		news, renewed := tracker.news(time.Now(), revision)
		if news.proof > proof || news.revision > revision {
			return news
		}
		select {
		case <-renewed:
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		// The age grew while the reply was held back.
		news, _ = tracker.news(time.Now(), revision)
		return news
	}
}

func (tracker *Tracker) news(now time.Time, revision uint64) (News, <-chan struct{}) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	items, whole := tracker.replica.after(revision)
	return NewNews(tracker.replica.revision, tracker.age(now), tracker.proof, whole, items), tracker.renewed
}
