package quarantiner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/detector"
	"github.com/chivespool/chivespool/internal/encoder"
)

const (
	// readBackPause is the wait before an update is retried after a lost reply.
	readBackPause = 20 * time.Millisecond
	// maxQueued limits the queue of changes. A change beyond it is dropped; its
	// suspicion then ends when the suspicion period is over.
	maxQueued = 1024
)

// changeKind is the kind of a change.
type changeKind int

const (
	// endSuspicion ends a suspicion.
	endSuspicion changeKind = iota
	// releaseTrial releases a trial that was not used.
	releaseTrial
)

// change is a change of the list that Run writes.
type change struct {
	kind        changeKind
	fingerprint detector.Fingerprint
	// trial is set for releaseTrial.
	trial detector.ID
}

func (change change) apply(list *detector.List) bool {
	if change.kind == endSuspicion {
		return list.Clear(change.fingerprint)
	}
	return list.ReleaseTrial(change.fingerprint, change.trial)
}

// writeUnrecorded writes the unrecorded crashes by an update without further
// changes.
func (quarantiner *Quarantiner) writeUnrecorded(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, quarantiner.limits.maxWait/2)
	defer cancel()
	_, err := quarantiner.update(ctx, func(*detector.List) bool { return false })
	return err
}

// update adds the unrecorded crashes to the list in the store, applies a change
// to it, and writes it by compare-and-swap. It reports whether it wrote. After a
// conflict with another host or a lost reply it calls apply again on a newer
// list, so apply must be idempotent. After an error the change may or may not
// have been written.
func (quarantiner *Quarantiner) update(ctx context.Context, apply func(*detector.List) bool) (bool, error) {
	select {
	case quarantiner.writing <- struct{}{}:
	case <-ctx.Done():
		return false, fmt.Errorf("update suspects: %w", ctx.Err())
	}
	defer func() { <-quarantiner.writing }()
	for {
		wrote, err := quarantiner.attempt(ctx, apply)
		if err == nil {
			return wrote, nil
		}
		var failure *connector.CallError
		again := errors.As(err, &failure) && (failure.Kind() == connector.Conflict || failure.Kind() == connector.Unknown)
		if !again || ctx.Err() != nil {
			return false, fmt.Errorf("update suspects: %w", err)
		}
		if failure.Kind() == connector.Unknown {
			sleep(ctx, readBackPause)
		}
	}
}

// attempt makes one attempt of update.
func (quarantiner *Quarantiner) attempt(ctx context.Context, apply func(*detector.List) bool) (bool, error) {
	entry, err := quarantiner.store.Get(ctx, quarantiner.key)
	if err != nil {
		return false, err
	}
	list, _, err := encoder.DecodeSuspects(entry.Data())
	if err != nil {
		return false, err
	}
	unrecorded := quarantiner.copyUnrecorded()
	changed := false
	for _, crash := range unrecorded {
		changed = list.RecordCrash(crash.fingerprint, crash.id, time.Now(), quarantiner.limits.detectorLimits()) || changed
	}
	applied := apply(list)
	changed = applied || changed
	if !changed {
		quarantiner.adopt(list, entry.Point(), unrecorded)
		return false, nil
	}
	data, err := encoder.EncodeSuspects(list, 0)
	if err != nil {
		return false, err
	}
	written, err := quarantiner.store.CompareAndSwap(ctx, quarantiner.key, entry.Version(), data)
	klog.InfoS("write of a list of suspects", "key", quarantiner.key, "crashes", len(unrecorded),
		"other-changes", applied, "suspects", len(list.Suspects()),
		"known-version", entry.Version(), "version", written.Version(), "err", err)
	if err != nil {
		return false, err
	}
	quarantiner.adopt(list, written.Point(), unrecorded)
	return true, nil
}

// refresh reads the list without writing changes.
func (quarantiner *Quarantiner) refresh(ctx context.Context) error {
	entry, err := quarantiner.store.Get(ctx, quarantiner.key)
	if err != nil || quarantiner.holds(entry.Point()) {
		return err
	}
	list, _, err := encoder.DecodeSuspects(entry.Data())
	if err != nil {
		return err
	}
	quarantiner.adopt(list, entry.Point(), nil)
	return nil
}

// holds reports whether the known list is from point or a later one.
func (quarantiner *Quarantiner) holds(point definer.Point) bool {
	quarantiner.mu.Lock()
	defer quarantiner.mu.Unlock()
	return quarantiner.known.Load() != nil && !point.After(quarantiner.point)
}

// hasChanges reports whether crashes or queued changes of this host may have to be
// written.
func (quarantiner *Quarantiner) hasChanges() bool {
	quarantiner.mu.Lock()
	defer quarantiner.mu.Unlock()
	return len(quarantiner.unrecorded) > 0 || len(quarantiner.queued) > 0
}

// adopt replaces the recorded list by list, unless the recorded one is newer. It
// drops the unrecorded crashes that are in included, in the recorded list, or
// without effect.
func (quarantiner *Quarantiner) adopt(list *detector.List, point definer.Point, included []crash) {
	quarantiner.mu.Lock()
	defer quarantiner.mu.Unlock()
	if !quarantiner.point.After(point) {
		quarantiner.recorded = list
		quarantiner.point = point
	}
	now := time.Now()
	done := func(crash crash) bool {
		suspect, ok := quarantiner.recorded.Find(crash.fingerprint, now)
		return slices.Contains(included, crash) || quarantiner.recorded.HasCrash(crash.fingerprint, crash.id) ||
			ok && suspect.Deadly() || now.Sub(crash.at) > quarantiner.limits.suspicionPeriod
	}
	quarantiner.unrecorded = slices.DeleteFunc(slices.Clone(quarantiner.unrecorded), done)
	quarantiner.publish(now)
}

// addUnrecorded adds a crash that may not be in the store yet.
func (quarantiner *Quarantiner) addUnrecorded(crash crash) {
	quarantiner.mu.Lock()
	defer quarantiner.mu.Unlock()
	if quarantiner.recorded.HasCrash(crash.fingerprint, crash.id) || quarantiner.isUnrecorded(crash.id) {
		return
	}
	if len(quarantiner.unrecorded) < quarantiner.limits.maxSuspects {
		quarantiner.unrecorded = append(quarantiner.unrecorded, crash)
	}
	quarantiner.publish(time.Now())
}

// isUnrecorded reports whether the crash is among the unrecorded; the caller
// holds mu.
func (quarantiner *Quarantiner) isUnrecorded(id detector.ID) bool {
	same := func(crash crash) bool { return crash.id == id }
	return slices.ContainsFunc(quarantiner.unrecorded, same)
}

// publish replaces the known list by the recorded one with the unrecorded
// crashes, and closes changed; the caller holds mu.
func (quarantiner *Quarantiner) publish(now time.Time) {
	known := detector.NewList(quarantiner.recorded.Suspects())
	for _, crash := range quarantiner.unrecorded {
		known.RecordCrash(crash.fingerprint, crash.id, now, quarantiner.limits.detectorLimits())
	}
	quarantiner.known.Store(known)
	close(quarantiner.changed)
	quarantiner.changed = make(chan struct{})
}

// copyUnrecorded returns a copy of the unrecorded crashes.
func (quarantiner *Quarantiner) copyUnrecorded() []crash {
	quarantiner.mu.Lock()
	defer quarantiner.mu.Unlock()
	return slices.Clone(quarantiner.unrecorded)
}

// queue queues the change for Run, unless the queue is full.
func (quarantiner *Quarantiner) queue(change change) {
	quarantiner.mu.Lock()
	defer quarantiner.mu.Unlock()
	if len(quarantiner.queued) < maxQueued {
		quarantiner.queued = append(quarantiner.queued, change)
	}
	quarantiner.wakeRun()
}

// wakeRun makes Run synchronize at once.
func (quarantiner *Quarantiner) wakeRun() {
	select {
	case quarantiner.wake <- struct{}{}:
	default:
	}
}

func (quarantiner *Quarantiner) takeQueued() []change {
	quarantiner.mu.Lock()
	defer quarantiner.mu.Unlock()
	queued := quarantiner.queued
	quarantiner.queued = nil
	return queued
}

func (quarantiner *Quarantiner) requeue(changes []change) {
	quarantiner.mu.Lock()
	defer quarantiner.mu.Unlock()
	quarantiner.queued = append(changes, quarantiner.queued...)
}
