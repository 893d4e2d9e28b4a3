package tracker

import (
	"context"
	"errors"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// errEarlierEra is returned where the store answers from an earlier era than the copy's.
var errEarlierEra = errors.New("the store's answer is of an earlier era than this host's copy; " +
	"check that all addresses and replicas of the store lead to the same store")

// read brings the replica up to the store's point; start is the time at which
// the read began.
func (tracker *Tracker) read(ctx context.Context, start time.Time) error {
	known := tracker.point()
	if known.Revision() == 0 || tracker.alone(start) {
		return tracker.readFirst(ctx)
	}
	found, err := tracker.store.Point(ctx)
	switch {
	case err != nil:
		return err
	case found.Era() < known.Era():
		return errEarlierEra
	case found.Era() > known.Era():
		return tracker.readAll(ctx, start)
	case found.After(known):
		return tracker.catchUp(ctx, start, known, found)
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.recordCheck(start)
	if tracker.builder.changesWithTime() {
		tracker.rebuild(tracker.clock.Now(), false)
	}
	return nil
}

// point returns the replica's point.
func (tracker *Tracker) point() definer.Point {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.replica.point
}

// replace replaces the replica by a scan at point if that is later, and reports whether
// it is. The caller holds mu.
func (tracker *Tracker) replace(items []Item, point definer.Point) bool {
	known := tracker.replica.point
	if !tracker.replica.replace(items, point) {
		return false
	}
	if known.Revision() > 0 && point.Era() > known.Era() {
		tracker.meters.eraChange()
	}
	return true
}

// catchUp reads the changes after the point known up to found, or the whole store where
// the changes are incomplete or of another era.
func (tracker *Tracker) catchUp(ctx context.Context, start time.Time, known, found definer.Point) error {
	for {
		early := tracker.startEarly(ctx, known)
		changes, upTo, err := tracker.store.Changes(ctx, "", known.Revision(), changesWait, changesLimit)
		early.Close()
		if err != nil || !upTo.After(known) || !tracker.applyChanges(start, changes, upTo, found) {
			tracker.journal.Change("store changes incomplete; reading the whole store", "after", known.Revision(), "to", upTo.Revision(),
				"revision", found.Revision(), "era", upTo.Era(), "told", len(changes), "error", err)
			return tracker.readAll(ctx, start)
		}
		if !found.After(upTo) {
			return nil
		}
		known = upTo // The store returns many changes in parts.
	}
}

// readFirst reads the whole store with a stale scan, which costs least. It is no
// freshness check, but it shows which peers exist, and a peer sends the changes
// since.
func (tracker *Tracker) readFirst(ctx context.Context) error {
	items, asOf, err := tracker.store.Scan(ctx, "", true)
	if err != nil {
		return err
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if tracker.firstCopyAt.IsZero() {
		tracker.firstCopyAt = tracker.clock.Now()
	}
	tracker.lastScanAt = tracker.clock.Now()
	if tracker.replace(items, asOf) {
		tracker.rebuild(tracker.clock.Now(), false)
	}
	return nil
}

// Limits for a host that has just started and knows no other.
const (
	// aloneWindow is the time for which the host looks for others before it makes
	// its own freshness check: hosts that start together register within it.
	aloneWindow = time.Second
	// aloneInterval is the time between two scans.
	aloneInterval = 250 * time.Millisecond
)

// alone reports whether the host has just started and knows no other.
func (tracker *Tracker) alone(now time.Time) bool {
	hosts := tracker.View().Hosts()
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if !tracker.checkedAt.IsZero() || now.Sub(tracker.firstCopyAt) >= aloneWindow {
		return false
	}
	return len(hosts) == 0 || len(hosts) == 1 && hosts[0].Name() == tracker.self.Name()
}

// readAll reads the whole store with a scan that is not stale, and records a
// freshness check.
func (tracker *Tracker) readAll(ctx context.Context, start time.Time) error {
	tracker.meters.completeRead()
	items, asOf, err := tracker.store.Scan(ctx, "", false)
	if err != nil {
		return err
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if asOf.Era() < tracker.replica.point.Era() {
		return errEarlierEra
	}
	afterOutage := tracker.afterOutage(start)
	if tracker.replace(items, asOf) {
		tracker.rebuild(tracker.clock.Now(), afterOutage)
	}
	tracker.recordCheck(start)
	return nil
}

// changesWait is how long the store may wait for a change that its revision
// already covers.
const changesWait = 20 * time.Millisecond

// changesLimit bounds the time until the reply with the changes begins. It is short:
// the store has just answered another call, so only the watch may hang. A slow store
// takes 250 ms for an answer.
const changesLimit = 400 * time.Millisecond

// applyChanges applies changes up to upTo and reports whether they are
// complete. Where upTo reaches the store's point found, it records a freshness
// check.
func (tracker *Tracker) applyChanges(start time.Time, changes []Item, upTo, found definer.Point) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	afterOutage := tracker.afterOutage(start)
	if !tracker.replica.apply(changes, upTo) {
		return false
	}
	tracker.rebuild(tracker.clock.Now(), afterOutage)
	if !found.After(upTo) {
		tracker.recordCheck(start)
	}
	return true
}
