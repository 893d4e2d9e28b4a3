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
	// WatchWait is how long one watch waits, a counted call.
	WatchWait = 30 * time.Second
	// PollInterval is how often a host that doesn't watch asks its peers, as a
	// backstop for updates that were lost on their way.
	PollInterval = 5 * time.Second
	// retryPause is the wait after a failed call.
	retryPause = time.Second
	// fetchTimeout bounds one question to a peer.
	fetchTimeout = 3 * time.Second
	// readTimeout bounds one read of the store.
	readTimeout = 5 * time.Second
	// watchesBetweenReads is after how many empty watches the head is read
	// afresh: a store that went back has versions that no watch would show.
	watchesBetweenReads = 10
)

// Run follows until ctx is done.
func (follower *Follower) Run(ctx context.Context) error {
	follower.start(ctx)
	for ctx.Err() == nil {
		follower.turn(ctx)
	}
	return nil
}

// start takes what peers have, or else what the store has.
func (follower *Follower) start(ctx context.Context) {
	if err := follower.fetch(ctx); err == nil && follower.Current().Revision() > 0 {
		return
	}
	if err := follower.read(ctx); err != nil {
		klog.InfoS("no configuration yet", "cause", err)
	}
}

// turn waits once for news, as a watcher of the store or as a peer.
func (follower *Follower) turn(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watcher, wanted := follower.begin(cancel)
	switch {
	case wanted:
		follower.poll(ctx, 0)
	case watcher:
		follower.watch(ctx)
	case follower.Current().Revision() == 0:
		follower.poll(ctx, jitter(retryPause))
	default:
		follower.poll(ctx, jitter(PollInterval))
	}
}

// begin notes how to interrupt the turn and says what it is for.
func (follower *Follower) begin(interrupt context.CancelFunc) (watcher, wanted bool) {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	follower.interrupt = interrupt
	wanted = follower.wanted
	follower.wanted = false
	return follower.watcher, wanted
}

// watch waits for the store's next head. While the store is out it asks peers.
func (follower *Follower) watch(ctx context.Context) {
	entry, err := follower.store.Watch(ctx, encoder.HeadKey, follower.version, WatchWait)
	if err == nil {
		follower.unchanged = 0
		err = follower.takeHead(ctx, entry)
	}
	if isKind(err, connector.Unchanged) {
		err = follower.reread(ctx)
	}
	if err == nil || ctx.Err() != nil {
		return
	}
	klog.V(1).InfoS("watch failed", "cause", err)
	if err := follower.fetch(ctx); err != nil {
		klog.V(1).InfoS("no peer has the configuration", "cause", err)
	}
	pause(ctx, jitter(retryPause))
}

// reread reads the head afresh after some watches that showed nothing.
func (follower *Follower) reread(ctx context.Context) error {
	follower.unchanged++
	if follower.unchanged < watchesBetweenReads {
		return nil
	}
	follower.unchanged = 0
	return follower.read(ctx)
}

// poll waits and asks the peers, or the store where no peer answers.
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
		klog.V(1).InfoS("neither peers nor store have the configuration", "cause", err)
		pause(ctx, jitter(retryPause))
	}
}

// fetch asks a peer for what is newer, and for a whole snapshot where the
// peer's steps don't follow on what is in force here.
func (follower *Follower) fetch(ctx context.Context) error {
	err := follower.fetchSince(ctx, follower.Current().Revision())
	if errors.As(err, new(*definer.ChangeError)) {
		follower.record("steps of a peer follow on another history; asking for a snapshot")
		err = follower.fetchSince(ctx, 0)
	}
	return err
}

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
	return follower.take(update)
}

// read takes the store's head as it is now.
func (follower *Follower) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	entry, err := follower.store.Get(ctx, encoder.HeadKey)
	if err != nil {
		return fmt.Errorf("read the configuration: %w", err)
	}
	return follower.takeHead(ctx, entry)
}

// takeHead adopts the revision of a head, with its base snapshot where this
// host is further behind than the head's steps reach.
func (follower *Follower) takeHead(ctx context.Context, entry connector.Entry) error {
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
	follower.version = entry.Version()
	return nil
}

// adoptHead follows the head's steps, from its base snapshot where they don't
// follow on what is in force here.
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

// jitter returns a duration between half and one and a half of mean, so that
// hosts don't act in step.
func jitter(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
