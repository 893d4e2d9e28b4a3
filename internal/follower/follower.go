// Package follower keeps the configuration in force on an entry host. It takes
// every accepted revision as a step or a snapshot, from the platform's store
// or from peers, and never goes back to a lower one, also when the store does.
//
// One host in a data centre watches the store; the others learn from peers and
// ask them again from time to time. Package submitter is the writing side.
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

// Store is what the follower reads of the platform's store.
type Store interface {
	Get(ctx context.Context, key string) (connector.Entry, error)
	Watch(ctx context.Context, key string, version uint64, wait time.Duration) (connector.Entry, error)
}

// Peers are the other entry hosts.
type Peers interface {
	// Fetch asks a peer for what it has above revision since; no bytes mean
	// that it has nothing newer. The bytes are what UpdateSince returned there.
	Fetch(ctx context.Context, since uint64) (update []byte, err error)
}

// Journal takes events of the time line.
type Journal interface {
	Record(kind recorder.Kind, object, text string)
}

// MostKept is how many steps a follower keeps for peers that are behind; one
// that is further behind gets a snapshot.
const MostKept = 512

// Follower holds the configuration in force. The zero value holds the empty
// configuration; New makes one that follows.
type Follower struct {
	store   Store
	peers   Peers
	journal Journal

	// current only ever moves to a higher revision; nil before the first.
	current atomic.Pointer[definer.Configuration]

	// mu guards the fields below.
	mu sync.Mutex
	// kept are the last steps, without a gap, up to current's revision.
	kept []definer.Step
	// changed is closed when current moves, and then replaced; nil until
	// somebody asks for it.
	changed chan struct{}
	// watcher is true while this host watches the store for its data centre.
	watcher bool
	// wanted is true when a peer told of a revision that could not be taken.
	wanted bool
	// interrupt ends the wait that Run is in; nil while it is in none.
	interrupt context.CancelFunc

	// version is the store's version of the head last taken; only Run uses it.
	version uint64
	// unchanged counts the watches in a row that ended with nothing new; only
	// Run uses it.
	unchanged int
}

// New returns a follower; journal may be nil.
func New(store Store, peers Peers, journal Journal) *Follower {
	return &Follower{store: store, peers: peers, journal: journal}
}

var empty definer.Configuration

// Current returns the configuration in force. It is an immutable snapshot.
func (follower *Follower) Current() *definer.Configuration {
	if current := follower.current.Load(); current != nil {
		return current
	}
	return &empty
}

// Changed returns a channel that is closed when a revision higher than the
// current one is in force. Ask for it before Current to miss none.
func (follower *Follower) Changed() <-chan struct{} {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if follower.changed == nil {
		follower.changed = make(chan struct{})
	}
	return follower.changed
}

// SetWatcher says whether this host watches the store for its data centre.
func (follower *Follower) SetWatcher(watcher bool) {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if follower.watcher != watcher && follower.interrupt != nil {
		follower.interrupt()
	}
	follower.watcher = watcher
}

// Offer takes an update that a peer at revision sent unasked; update may be
// empty. Where it doesn't lead to revision, Run asks the peers for the rest.
func (follower *Follower) Offer(revision uint64, update []byte) {
	if revision <= follower.Current().Revision() {
		return
	}
	if len(update) > 0 {
		// A bad update is as good as none: what is missing is asked for below.
		_ = follower.take(update)
	}
	if follower.Current().Revision() >= revision {
		return
	}
	follower.mu.Lock()
	defer follower.mu.Unlock()
	follower.wanted = true
	if follower.interrupt != nil {
		follower.interrupt()
	}
}

// UpdateSince returns what takes a peer from revision to the current one, or
// no bytes where the peer is as far. For revision 0 it is a whole snapshot.
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
	if revision == 0 || missing > uint64(len(follower.kept)) {
		return encoder.NewUpdate(current, nil), true
	}
	return encoder.NewUpdate(nil, follower.kept[uint64(len(follower.kept))-missing:]), true
}

// Adopt moves to the configuration that update leads to, if it is higher. It
// fails with a [definer.ChangeError] where the steps don't follow on what is in
// force; an update with a snapshot always does.
func (follower *Follower) Adopt(update encoder.Update) error {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	current := follower.Current()
	if update.Revision() <= current.Revision() {
		return nil
	}
	next, kept := current, follower.kept
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
	follower.kept = kept[max(0, len(kept)-MostKept):]
	follower.enforce(next)
	return nil
}

// enforce puts next in force; mu is held.
func (follower *Follower) enforce(next *definer.Configuration) {
	follower.current.Store(next)
	if follower.changed != nil {
		close(follower.changed)
		follower.changed = nil
	}
	text := fmt.Sprintf("revision %d is in force", next.Revision())
	if last := len(follower.kept) - 1; last >= 0 {
		origin := follower.kept[last].Origin()
		text += fmt.Sprintf(", proposal %s by %s", origin.Proposal(), origin.Author())
	}
	follower.record(text)
}

// take decodes and adopts an update of a peer. It fails where the update can't
// be read, or its steps follow on another history than this host's.
func (follower *Follower) take(data []byte) error {
	update, err := encoder.UnmarshalUpdate(data)
	if err != nil {
		return err
	}
	return follower.Adopt(update)
}

func (follower *Follower) record(text string) {
	if follower.journal != nil {
		follower.journal.Record(recorder.KindConfiguration, "configuration", text)
	}
}

// isKind reports whether err is the store's failure of kind.
func isKind(err error, kind connector.ErrorKind) bool {
	var failure *connector.CallError
	return errors.As(err, &failure) && failure.Kind() == kind
}
