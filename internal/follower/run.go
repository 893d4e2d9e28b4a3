package follower

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/chivespool/chivespool/internal/arbiter"
	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/encoder"
)

const (
	// WatchWait is the longest wait of a watch. Each watch is one metered call.
	WatchWait = 30 * time.Second
	// PollInterval is the mean time between polls of the peers by a host that is
	// not the watcher, in case pushed updates are lost.
	PollInterval = 5 * time.Second
	// retryDelay is the mean wait after a failed call.
	retryDelay = time.Second
	// fetchTimeout bounds one request to a peer.
	fetchTimeout = 3 * time.Second
	// readTimeout bounds one read of the store.
	readTimeout = 5 * time.Second
	// watchesBetweenReads is the number of empty watches after which the head
	// is read again: once the store has returned to an older version, a watch
	// no longer reports changes.
	watchesBetweenReads = 10
)

// Run follows the configuration until ctx is done.
func (follower *Follower) Run(ctx context.Context) error {
	follower.load(ctx)
	for ctx.Err() == nil {
		follower.awaitUpdate(ctx)
	}
	return nil
}

// load gets the configuration from peers, or else from the store.
func (follower *Follower) load(ctx context.Context) {
	if err := follower.fetch(ctx); err == nil && follower.Current().Revision() > 0 {
		return
	}
	if err := follower.read(ctx); err != nil {
		klog.InfoS("configuration not loaded at start; will retry", "cause", err)
	}
}

// awaitUpdate waits for one update: from the store on the watcher, or else from
// peers.
func (follower *Follower) awaitUpdate(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watcher, fetchWanted := follower.beginWait(cancel)
	switch {
	case fetchWanted:
		follower.poll(ctx, 0)
	case watcher:
		follower.watch(ctx)
	case follower.Current().Revision() == 0:
		follower.poll(ctx, jitter(retryDelay))
	default:
		follower.poll(ctx, jitter(PollInterval))
	}
}

// beginWait records how to interrupt the wait. It returns whether this host is the
// watcher, and whether an update has to be fetched at once.
func (follower *Follower) beginWait(interrupt context.CancelFunc) (watcher, fetchWanted bool) {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	follower.interrupt = interrupt
	fetchWanted = follower.fetchWanted
	follower.fetchWanted = false
	return follower.watcher, fetchWanted
}

// watch waits for the next head in the store. If the store fails, it asks peers.
func (follower *Follower) watch(ctx context.Context) {
	entry, err := follower.store.Watch(ctx, encoder.HeadKey, follower.headVersion, WatchWait)
	if err == nil {
		follower.emptyWatches = 0
		err = follower.applyHead(ctx, entry)
	}
	if isKind(err, connector.Unchanged) {
		err = follower.reread(ctx)
	}
	if err == nil || ctx.Err() != nil {
		return
	}
	klog.V(1).InfoS("configuration watch failed; asking peers", "cause", err)
	if err := follower.fetch(ctx); err != nil {
		klog.V(1).InfoS("configuration not fetched from peers", "cause", err)
	}
	pause(ctx, jitter(retryDelay))
}

// reread counts a watch without a change, and reads the head again after
// watchesBetweenReads of them.
func (follower *Follower) reread(ctx context.Context) error {
	follower.emptyWatches++
	if follower.emptyWatches < watchesBetweenReads {
		return nil
	}
	follower.emptyWatches = 0
	return follower.read(ctx)
}

// poll waits, then asks the peers, or the store if no peer answers.
func (follower *Follower) poll(ctx context.Context, wait time.Duration) {
	pause(ctx, wait)
	if ctx.Err() != nil {
		return
	}
	err := follower.fetch(ctx)
	if err == nil && follower.Current().Revision() > 0 {
		return
	}
	if err := follower.read(ctx); err != nil && ctx.Err() == nil {
		klog.V(1).InfoS("configuration unavailable from peers and store", "cause", err)
		pause(ctx, jitter(retryDelay))
	}
}

// fetch applies a peer's update. If the peer's steps do not apply to the
// configuration in force, it fetches a snapshot instead.
func (follower *Follower) fetch(ctx context.Context) error {
	err := follower.fetchSince(ctx, follower.Current().Revision())
	if errors.As(err, new(*definer.ChangeError)) {
		follower.record("steps of a peer follow on another history; asking for a snapshot")
		err = follower.fetchSince(ctx, 0)
	}
	return err
}

// fetchSince applies a peer's update from revision since.
func (follower *Follower) fetchSince(ctx context.Context, since uint64) error {
	if follower.peers == nil {
		return fmt.Errorf("fetch the configuration: there are no peers; read it from the store")
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	update, err := follower.peers.Fetch(ctx, since)
	if err != nil {
		return fmt.Errorf("fetch the configuration: %w", err)
	}
	if len(update) == 0 {
		return nil
	}
	return follower.applyEncoded(update)
}

// read reads and applies the store's current head.
func (follower *Follower) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	entry, err := follower.store.Get(ctx, encoder.HeadKey)
	if err != nil {
		return fmt.Errorf("read the configuration: %w", err)
	}
	return follower.applyHead(ctx, entry)
}

// applyHead adopts the revision of a head, if it is higher.
func (follower *Follower) applyHead(ctx context.Context, entry connector.Entry) error {
	head, err := encoder.UnmarshalHead(entry.Data())
	if err != nil {
		return err
	}
	current := follower.Current().Revision()
	if head.Revision() < current {
		follower.record(fmt.Sprintf("the store went back to revision %d; revision %d stays in force", head.Revision(), current))
	}
	if head.Revision() > current {
		if err := follower.adoptHead(ctx, head); err != nil {
			return err
		}
	}
	follower.headVersion = entry.Version()
	return nil
}

// adoptHead applies the head's steps to the configuration in force, or to the
// head's base snapshot if they do not apply to that.
func (follower *Follower) adoptHead(ctx context.Context, head arbiter.Head) error {
	if head.Base() <= follower.Current().Revision() {
		err := follower.Adopt(encoder.NewUpdate(nil, head.Steps()))
		if !errors.As(err, new(*definer.ChangeError)) {
			return err
		}
	}
	snapshot := new(definer.Configuration)
	if head.Base() > 0 {
		entry, err := follower.store.Get(ctx, encoder.SnapshotKey(head.Base()))
		if err != nil {
			return fmt.Errorf("read the base snapshot: %w", err)
		}
		if snapshot, err = encoder.UnmarshalSnapshot(entry.Data()); err != nil {
			return err
		}
	}
	return follower.Adopt(encoder.NewUpdate(snapshot, head.Steps()))
}

// jitter returns a random duration between 0.5 and 1.5 times mean, so that
// hosts do not act at the same time.
func jitter(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}

// pause waits until wait has passed or ctx is done.
func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
