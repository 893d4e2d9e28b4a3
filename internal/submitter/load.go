package submitter

import (
	"context"
	"fmt"

	"github.com/chivespool/chivespool/internal/arbiter"
	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/encoder"
)

// loaded is the committee's state with the store's version of its head.
type loaded struct {
	state   arbiter.State
	version uint64
	// rebased is true where the state's base has no snapshot in the store yet.
	rebased bool
}

// load reads the head and works out the configuration at its revision. Where
// the store went back behind this host, what is in force here stays the base,
// so that the next revision is higher than any that was in force.
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
		return loaded{state: state, version: entry.Version(), rebased: true}, nil
	}
	configuration, err := follow(current, head)
	if err != nil {
		configuration, err = submitter.fromBase(ctx, head)
	}
	if err != nil {
		return loaded{}, err
	}
	return loaded{state: arbiter.NewState(head, configuration, submitter.bootstrap), version: entry.Version()}, nil
}

// follow returns the configuration of head, reached from configuration. It
// fails where that is older than head's base, or of another history.
func follow(configuration *definer.Configuration, head arbiter.Head) (*definer.Configuration, error) {
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

// fromBase returns the configuration of head, reached from its base snapshot.
func (submitter *Submitter) fromBase(ctx context.Context, head arbiter.Head) (*definer.Configuration, error) {
	if head.Base() == 0 {
		return follow(new(definer.Configuration), head)
	}
	entry, err := submitter.store.Get(ctx, encoder.SnapshotKey(head.Base()))
	if err != nil {
		return nil, fmt.Errorf("read the base snapshot: %w", err)
	}
	snapshot, err := encoder.UnmarshalSnapshot(entry.Data())
	if err != nil {
		return nil, err
	}
	return follow(snapshot, head)
}

// rebase gives the state a new base once its steps have grown. It writes the
// base snapshot, which any host would write alike, since what was accepted as
// a revision never changes.
func (submitter *Submitter) rebase(ctx context.Context, loaded loaded) (arbiter.State, error) {
	state := loaded.state
	if encoder.StepsSize(state.Head) > compactBytes {
		deleted := submitter.deleteSuperseded(ctx, state.Superseded())
		state = state.Compacted(deleted...)
		loaded.rebased = true
	}
	if !loaded.rebased {
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

// deleteSuperseded deletes old base snapshots and returns which are gone.
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
