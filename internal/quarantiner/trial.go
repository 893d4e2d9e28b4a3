package quarantiner

import (
	"context"
	"time"

	"github.com/chivespool/chivespool/internal/detector"
	"github.com/chivespool/chivespool/internal/refuser"
)

// trialRetryAfter is the Retry-After of a suspect without a trial.
const trialRetryAfter = time.Second

// acquireTrial acquires the trial of a suspect or refuses the request.
func (quarantiner *Quarantiner) acquireTrial(ctx context.Context, fingerprint detector.Fingerprint) (Admission, error) {
	limits := quarantiner.prepare()
	ctx, cancel := context.WithTimeout(ctx, limits.maxWait)
	defer cancel()
	trial := quarantiner.newID()
	busy := false
	for {
		changed := quarantiner.changedSignal()
		verdict, err := quarantiner.requestTrial(ctx, fingerprint, trial)
		if err != nil {
			// The store may hold the trial although it is unused; release it.
			quarantiner.queue(change{kind: releaseTrial, fingerprint: fingerprint, trial: trial})
			if busy && ctx.Err() != nil {
				return Admission{}, trialTaken()
			}
			return Admission{}, storeUnavailable(err)
		}
		switch verdict {
		case detector.NotSuspect:
			return Admission{}, nil
		case detector.Trial:
			quarantiner.addTrial(fingerprint, trial)
			return Admission{isolated: true}, nil
		case detector.Deadly:
			return Admission{}, deadlyRequest()
		}
		busy = true
		if !await(ctx, changed, limits.pollInterval) {
			return Admission{}, trialTaken()
		}
	}
}

// trialTaken returns the refusal of a suspect whose trial is taken.
func trialTaken() error {
	return refuser.New(refuser.KindOverloaded, refuser.NotRun,
		"an equal request that may be deadly runs on trial, or its end is not known").WithRetryAfter(trialRetryAfter)
}

// storeUnavailable returns the refusal of a suspect whose trial could not be
// requested from the store.
func storeUnavailable(cause error) error {
	return refuser.New(refuser.KindStoreUnavailable, refuser.NotRun,
		"an equal request ran on a backend server that crashed, and the store can't be asked for its trial").
		WithRetryAfter(trialRetryAfter).WithCause(cause)
}

// requestTrial requests the trial in the list in the store.
func (quarantiner *Quarantiner) requestTrial(ctx context.Context, fingerprint detector.Fingerprint, trial detector.ID) (detector.Verdict, error) {
	var verdict detector.Verdict
	_, err := quarantiner.update(ctx, func(list *detector.List) bool {
		var changed bool
		verdict, changed = list.AcquireTrial(fingerprint, trial, time.Now())
		return changed
	})
	return verdict, err
}

// addTrial records that the trial is granted to this host.
func (quarantiner *Quarantiner) addTrial(fingerprint detector.Fingerprint, trial detector.ID) {
	quarantiner.mu.Lock()
	defer quarantiner.mu.Unlock()
	quarantiner.trials[fingerprint] = trial
}

// trial returns the trial of fingerprint granted to this host, if any.
func (quarantiner *Quarantiner) trial(fingerprint detector.Fingerprint) (detector.ID, bool) {
	quarantiner.mu.Lock()
	defer quarantiner.mu.Unlock()
	trial, ok := quarantiner.trials[fingerprint]
	return trial, ok
}

// removeTrial removes the trial from those of this host.
func (quarantiner *Quarantiner) removeTrial(fingerprint detector.Fingerprint) {
	quarantiner.mu.Lock()
	defer quarantiner.mu.Unlock()
	delete(quarantiner.trials, fingerprint)
}

// endTrial removes the trial from those of this host and queues the change.
func (quarantiner *Quarantiner) endTrial(fingerprint detector.Fingerprint, change change) {
	quarantiner.removeTrial(fingerprint)
	quarantiner.queue(change)
}

// changedSignal returns a channel that is closed when the known list is replaced.
func (quarantiner *Quarantiner) changedSignal() <-chan struct{} {
	quarantiner.mu.Lock()
	defer quarantiner.mu.Unlock()
	return quarantiner.changed
}

// await waits until changed is closed, but no longer than wait. It returns
// false if ctx is done first.
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

// sleep pauses for wait, or until ctx is done.
func sleep(ctx context.Context, wait time.Duration) { await(ctx, nil, wait) }
