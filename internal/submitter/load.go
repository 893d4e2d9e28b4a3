package submitter

import (
	"context"
	"fmt"

	"github.com/chivespool/chivespool/internal/arbiter"
	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/encoder"
)

// loaded is the committee's state and the version of its head in the store.
type loaded struct {
	state   arbiter.State
	version uint64
	// needsSnapshot is true if the store has no snapshot of the base yet.
	needsSnapshot bool
}

// load reads the head and computes the configuration at its revision. If the
// store was restored from an older copy, the configuration in force on this host
// becomes the base, so that the next revision is higher than any revision that
// was in force.
func (submitter *Submitter) load(ctx context.Context) (loaded, error) {
	entry, err := submitter.store.Get(ctx, encoder.HeadKey)
	if err != nil {
		return loaded{}, fmt.Errorf("read the committee's state: %w", err)
	}
	head, err := encoder.UnmarshalHead(entry.Data())
	if err != nil {
		return loaded{}, err
	}
	current := submitter.configurations.Current()
	if current.Revision() > head.Revision() {
		state := arbiter.NewState(head, current, submitter.bootstrap).Rebased(current)
		return loaded{state: state, version: entry.Version(), needsSnapshot: true}, nil
	}
	configuration, err := applySteps(current, head)
	if err != nil {
		configuration, err = submitter.loadFromSnapshot(ctx, head)
	}
	if err != nil {
		return loaded{}, err
	}
	return loaded{state: arbiter.NewState(head, configuration, submitter.bootstrap), version: entry.Version()}, nil
}

// applySteps applies the steps of head to configuration. It returns an error if
// configuration is older than head's base or has another history.
func applySteps(configuration *definer.Configuration, head arbiter.Head) (*definer.Configuration, error) {
	for _, step := range head.Steps() {
		if step.Revision() <= configuration.Revision() {
			continue
		}
		next, err := configuration.ApplyStep(step)
		if err != nil {
			return nil, fmt.Errorf("follow to revision %d: %w", step.Revision(), err)
		}
		configuration = next
	}
	if configuration.Revision() < head.Revision() {
		return nil, fmt.Errorf("revision %d is older than the base %d; read the base snapshot", configuration.Revision(), head.Base())
	}
	return configuration, nil
}

// loadFromSnapshot reads head's base snapshot and applies the steps of head to
// it.
func (submitter *Submitter) loadFromSnapshot(ctx context.Context, head arbiter.Head) (*definer.Configuration, error) {
	if head.Base() == 0 {
		return applySteps(new(definer.Configuration), head)
	}
	entry, err := submitter.store.Get(ctx, encoder.SnapshotKey(head.Base()))
	if err != nil {
		return nil, fmt.Errorf("read the base snapshot: %w", err)
	}
	snapshot, err := encoder.UnmarshalSnapshot(entry.Data())
	if err != nil {
		return nil, err
	}
	return applySteps(snapshot, head)
}

// prepareBase compacts the state if its steps exceed compactThresholdBytes, and
// writes the base snapshot if it is missing. A conflict means that another host
// wrote it first; both snapshots are equal, since an accepted revision never
// changes.
func (submitter *Submitter) prepareBase(ctx context.Context, loaded loaded) (arbiter.State, error) {
	state := loaded.state
	if encoder.StepsSize(state.Head) > compactThresholdBytes {
		deleted := submitter.deleteSuperseded(ctx, state.Superseded())
		state = state.Compacted(deleted...)
		loaded.needsSnapshot = true
	}
	if !loaded.needsSnapshot {
		return state, nil
	}
	data, err := encoder.MarshalSnapshot(state.Configuration())
	if err != nil {
		return state, err
	}
	_, err = submitter.store.CompareAndSwap(ctx, encoder.SnapshotKey(state.Base()), 0, data)
	if err != nil && !isKind(err, connector.Conflict) {
		return state, fmt.Errorf("write the base snapshot: %w", err)
	}
	return state, nil
}

// deleteSuperseded deletes the snapshots of bases and returns the bases whose
// snapshots no longer exist.
func (submitter *Submitter) deleteSuperseded(ctx context.Context, bases []uint64) []uint64 {
	var deleted []uint64
	for _, base := range bases {
		key := encoder.SnapshotKey(base)
		entry, err := submitter.store.Get(ctx, key)
		if err == nil && entry.Version() > 0 {
			err = submitter.store.Delete(ctx, key, entry.Version())
		}
		if err == nil {
			deleted = append(deleted, base)
		}
	}
	return deleted
}
