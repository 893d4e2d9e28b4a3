package quarantiner

import (
	"context"
	"time"

	"github.com/chivespool/chivespool/internal/refuser"
	"github.com/chivespool/chivespool/internal/suspecter"
)

// busyWait is the Retry-After of a suspect whose trial is taken.
const busyWait = time.Second

// try gets the trial of a suspect, or refuses it.
func (quarantiner *Quarantiner) try(ctx context.Context, fingerprint suspecter.Fingerprint) (Admission, error) {
	limits := quarantiner.prepare()
	ctx, cancel := context.WithTimeout(ctx, limits.patience)
	defer cancel()
	trial := quarantiner.newID()
	busy := false
	for {
		changed := quarantiner.changes()
		verdict, err := quarantiner.ask(ctx, fingerprint, trial)
		if err != nil {
			// The store may have granted the trial; nobody uses it.
			quarantiner.later(change{kind: giveBack, fingerprint: fingerprint, trial: trial})
			if busy && ctx.Err() != nil {
				return Admission{}, occupied()
			}
			return Admission{}, unasked(err)
		}
		switch verdict {
		case suspecter.Free:
			return Admission{}, nil
		case suspecter.Trial:
			quarantiner.hold(fingerprint, trial)
			return Admission{isolated: true}, nil
		case suspecter.Deadly:
			return Admission{}, deadly()
		}
		busy = true
		if !await(ctx, changed, limits.poll) {
			return Admission{}, occupied()
		}
	}
}

// occupied refuses a suspect whose trial is taken.
func occupied() error {
	return refuser.New(refuser.KindOverloaded, refuser.NotRun,
		"an equal request that may be deadly runs on trial, or its end is not known").WithRetryAfter(busyWait)
}

// unasked refuses a suspect for which the store could not be asked.
func unasked(cause error) error {
	return refuser.New(refuser.KindStoreUnavailable, refuser.NotRun,
		"an equal request ran on a backend server that crashed, and the store can't be asked for its trial").
		WithRetryAfter(busyWait).WithCause(cause)
}

// ask asks the list in the store for a trial.
func (quarantiner *Quarantiner) ask(ctx context.Context, fingerprint suspecter.Fingerprint, trial suspecter.ID) (suspecter.Verdict, error) {
	var verdict suspecter.Verdict
	_, err := quarantiner.update(ctx, func(list *suspecter.List) bool {
		var changed bool
		verdict, changed = list.Try(fingerprint, trial, time.Now())
		return changed
	})
	return verdict, err
}

// hold notes that this host runs the trial.
func (quarantiner *Quarantiner) hold(fingerprint suspecter.Fingerprint, trial suspecter.ID) {
	quarantiner.mu.Lock()
	defer quarantiner.mu.Unlock()
	quarantiner.trials[fingerprint] = trial
}

// trial returns the trial of fingerprint that this host runs, if any.
func (quarantiner *Quarantiner) trial(fingerprint suspecter.Fingerprint) (suspecter.ID, bool) {
	quarantiner.mu.Lock()
	defer quarantiner.mu.Unlock()
	trial, ok := quarantiner.trials[fingerprint]
	return trial, ok
}

// forget ends the trial on this host.
func (quarantiner *Quarantiner) forget(fingerprint suspecter.Fingerprint) {
	quarantiner.mu.Lock()
	defer quarantiner.mu.Unlock()
	delete(quarantiner.trials, fingerprint)
}

// end forgets the trial on this host and has Run write the change.
func (quarantiner *Quarantiner) end(fingerprint suspecter.Fingerprint, change change) {
	quarantiner.forget(fingerprint)
	quarantiner.later(change)
}

// changes returns a channel that is closed when the known list changes.
func (quarantiner *Quarantiner) changes() <-chan struct{} {
	quarantiner.mu.Lock()
	defer quarantiner.mu.Unlock()
	return quarantiner.changed
}

// await waits for changed, but no longer than wait. It returns false once ctx
// is done.
func await(ctx context.Context, changed <-chan struct{}, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// sleep waits for wait or until ctx is done.
func sleep(ctx context.Context, wait time.Duration) { await(ctx, nil, wait) }
