// Package follower holds the configuration in force on an entry host, for package
// runner. It applies accepted revisions as steps or snapshots, from the
// platform's store or from peers.
//
// A follower never returns to a lower revision, even if the store does. Package
// submitter writes the configuration.
//
// One host of each data centre watches the store; the others receive updates from
// peers and also poll them. Run does this in the caller's goroutine, with timers;
// the calls to the store and to peers are made through interfaces.
package follower

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/chivespool/chivespool/internal/recorder"
)

// Store is the part of the platform's store that the follower reads.
type Store interface {
	Get(ctx context.Context, key string) (connector.Entry, error)
	Watch(ctx context.Context, key string, version uint64, wait time.Duration) (connector.Entry, error)
}

// Peers are the other entry hosts.
type Peers interface {
	// Fetch returns a peer's encoded update from revision since, as the peer's
	// UpdateSince returns it. It is empty if the peer has no higher revision.
	Fetch(ctx context.Context, since uint64) (update []byte, err error)
}

// Journal records events of the timeline.
type Journal interface {
	Record(kind recorder.Kind, object, text string)
}

// MaxKeptSteps bounds the steps that a follower keeps for peers at a lower
// revision; a peer that lacks more steps gets a snapshot.
const MaxKeptSteps = 512

// Follower holds the configuration in force. The zero value holds the empty
// configuration and has no store or peers; New returns a follower that can run.
type Follower struct {
	store   Store
	peers   Peers
	journal Journal

	// current is the configuration in force, nil before the first. It is only
	// replaced by one of a higher revision.
	current atomic.Pointer[definer.Configuration]

	// mu guards the fields below.
	mu sync.Mutex
	// recentSteps holds the last steps up to current's revision, without a gap.
	recentSteps []definer.Step
	// changed is closed when current is replaced, and is then nil until the next
	// call of Changed.
	changed chan struct{}
	// watcher is true while this host watches the store for its data centre.
	watcher bool
	// fetchWanted is true after a peer offered a revision that its update did not
	// lead to.
	fetchWanted bool
	// interrupt cancels the current wait of Run; nil before the first wait.
	interrupt context.CancelFunc

	// headVersion is the store's version of the last head that was applied; only
	// Run uses it.
	headVersion uint64
	// emptyWatches counts the watches in a row that ended without a change;
	// only Run uses it.
	emptyWatches int
}

// New returns a follower; journal may be nil.
func New(store Store, peers Peers, journal Journal) *Follower {
	return &Follower{store: store, peers: peers, journal: journal}
}

var empty definer.Configuration

// Current returns the configuration in force, an immutable snapshot.
func (follower *Follower) Current() *definer.Configuration {
	if current := follower.current.Load(); current != nil {
		return current
	}
	return &empty
}

// Changed returns a channel that is closed when a revision above the current
// one is in force. Call it before Current, so that no change is missed.
func (follower *Follower) Changed() <-chan struct{} {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if follower.changed == nil {
		follower.changed = make(chan struct{})
	}
	return follower.changed
}

// SetWatcher sets whether this host watches the store for its data centre.
func (follower *Follower) SetWatcher(watcher bool) {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if follower.watcher != watcher && follower.interrupt != nil {
		follower.interrupt()
	}
	follower.watcher = watcher
}

// ApplyOffer applies an update that a peer pushed together with the peer's
// revision; update may be empty. If it does not lead to revision, Run fetches the
// missing steps from the peers.
func (follower *Follower) ApplyOffer(revision uint64, update []byte) {
	if revision <= follower.Current().Revision() {
		return
	}
	if len(update) > 0 {
		// An invalid update counts as none: Run fetches the missing steps.
		_ = follower.applyEncoded(update)
	}
	if follower.Current().Revision() >= revision {
		return
	}
	follower.mu.Lock()
	defer follower.mu.Unlock()
	follower.fetchWanted = true
	if follower.interrupt != nil {
		follower.interrupt()
	}
}

// UpdateSince returns the encoded update from revision to the current one, or no
// bytes if revision is not lower. From revision 0 it is a snapshot.
func (follower *Follower) UpdateSince(revision uint64) []byte {
	update, ok := follower.updateSince(revision)
	if !ok {
		return nil
	}
	data, err := encoder.MarshalUpdate(update)
	if err != nil {
		follower.record(fmt.Sprintf("no update for a peer: %v", err))
		return nil
	}
	return data
}

func (follower *Follower) updateSince(revision uint64) (encoder.Update, bool) {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	current := follower.Current()
	if revision >= current.Revision() {
		return encoder.Update{}, false
	}
	missing := current.Revision() - revision
	if revision == 0 || missing > uint64(len(follower.recentSteps)) {
		return encoder.NewUpdate(current, nil), true
	}
	return encoder.NewUpdate(nil, follower.recentSteps[uint64(len(follower.recentSteps))-missing:]), true
}

// Adopt puts the configuration that update leads to in force, if its revision is
// higher. It fails with a [definer.ChangeError] if the steps do not apply to
// the configuration in force; an update with a snapshot always applies.
func (follower *Follower) Adopt(update encoder.Update) error {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	current := follower.Current()
	if update.Revision() <= current.Revision() {
		return nil
	}
	next, kept := current, follower.recentSteps
	if snapshot := update.Snapshot(); snapshot != nil {
		next, kept = snapshot, nil
	}
	for _, step := range update.Steps() {
		if step.Revision() <= next.Revision() {
			continue
		}
		following, err := next.ApplyStep(step)
		if err != nil {
			return fmt.Errorf("follow to revision %d: %w", step.Revision(), err)
		}
		next, kept = following, append(kept[:len(kept):len(kept)], step)
	}
	follower.recentSteps = kept[max(0, len(kept)-MaxKeptSteps):]
	follower.putInForce(next)
	return nil
}

// putInForce makes next the configuration in force. The caller holds mu.
func (follower *Follower) putInForce(next *definer.Configuration) {
	follower.current.Store(next)
	if follower.changed != nil {
		close(follower.changed)
		follower.changed = nil
	}
	text := fmt.Sprintf("revision %d is in force", next.Revision())
	if last := len(follower.recentSteps) - 1; last >= 0 {
		origin := follower.recentSteps[last].Origin()
		text += fmt.Sprintf(", proposal %s by %s", origin.Proposal(), origin.Author())
	}
	follower.record(text)
}

// applyEncoded decodes and adopts an update of a peer. It fails if the update
// can't be decoded, or if its steps do not apply to the configuration in force.
func (follower *Follower) applyEncoded(data []byte) error {
	update, err := encoder.UnmarshalUpdate(data)
	if err != nil {
		return err
	}
	return follower.Adopt(update)
}

// record records an event of the configuration in the timeline.
func (follower *Follower) record(text string) {
	if follower.journal != nil {
		follower.journal.Record(recorder.KindConfiguration, "configuration", text)
	}
}

// isKind reports whether err is the error of a store call, of that kind.
func isKind(err error, kind connector.ErrorKind) bool {
	var failure *connector.CallError
	return errors.As(err, &failure) && failure.Kind() == kind
}
