package tracker

import (
	"context"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// earlyDelay is the time after which the endpoints' changes are read beside a read of
// all changes: a slow store takes 250 ms for an answer, so that a reply that takes longer
// is large.
const earlyDelay = 300 * time.Millisecond

// earlyReader is a task that reads the endpoints' changes while a large reply with all
// changes is on its way, so that endpoints that leave are not used for that long.
type earlyReader struct {
	tracker *Tracker
	// after is the point of the host's copy.
	after  definer.Point
	cancel context.CancelFunc
	// done is closed when the task has ended.
	done chan struct{}
}

// startEarly starts a read of the endpoints' changes after a point, which begins
// unless it is closed within earlyDelay.
func (tracker *Tracker) startEarly(ctx context.Context, after definer.Point) *earlyReader {
	ctx, cancel := context.WithCancel(ctx)
	earlyReader := &earlyReader{tracker: tracker, after: after, cancel: cancel, done: make(chan struct{})}
	go earlyReader.run(ctx)
	return earlyReader
}

func (earlyReader *earlyReader) run(ctx context.Context) {
	defer close(earlyReader.done)
	timer := time.NewTimer(earlyDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	tracker := earlyReader.tracker
	changes, upTo, err := tracker.store.Changes(ctx, tracker.builder.keys.endpoints, earlyReader.after.Revision(), changesWait, changesLimit)
	if err != nil {
		if ctx.Err() == nil {
			tracker.journal.Change("early read of endpoints failed", "after", earlyReader.after.Revision(), "error", err)
		}
		return
	}
	tracker.applyEarly(changes, upTo)
}

// Close ends the task and waits for it.
func (earlyReader *earlyReader) Close() {
	earlyReader.cancel()
	<-earlyReader.done
}

// applyEarly takes endpoints out of use that leave by changes up to upTo, which are after
// the replica's point. It ignores changes of another era than the replica's.
func (tracker *Tracker) applyEarly(changes []Item, upTo definer.Point) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if upTo.Era() != tracker.replica.point.Era() {
		return
	}
	tracker.builder.recordLeft(changes)
	tracker.rebuild(tracker.clock.Now(), false)
}
