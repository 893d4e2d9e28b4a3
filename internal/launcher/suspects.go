package launcher

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/quarantiner"
)

// Limits of the suspects: requests during which an endpoint crashed.
const (
	// suspectPeriod is how long a request remains a suspect after a crash.
	suspectPeriod = 15 * time.Minute
	// suspectLists is the number of lists that the suspects of the fleet are divided
	// among. Hosts conflict where they change the same one at the same time.
	suspectLists = 64
	// maxSuspects bounds the suspects of one list, which goes to all hosts with each
	// change.
	maxSuspects = 16
	// suspectInterval is the time between two reads of the host's copy of the lists.
	suspectInterval = 500 * time.Millisecond
	// suspectTimeout limits a write of a list, and is the time until the next one if
	// it fails.
	suspectTimeout = 4 * time.Second
)

// suspectLimits returns the limits of a gateway's quarantiner.
func suspectLimits() quarantiner.Limits {
	return quarantiner.DefaultLimits().WithSuspicion(suspectPeriod).WithMaxSuspects(maxSuspects).
		WithPoll(suspectInterval).WithMaxWait(suspectTimeout).WithRetry(suspectTimeout).WithoutTrials()
}

// suspectStore gives the quarantiners the lists of suspects. The tracker's copy of the
// store brings them to every host, so that reading one takes no call of the store.
type suspectStore struct {
	gateway *Gateway
	// mu guards latest.
	mu sync.Mutex
	// latest holds the entry of each key that the store itself returned last, with its
	// era.
	latest map[string]connector.Entry
}

// Get returns the newest entry of key that the host knows. In a copy of a later era than
// the latest entry, a missing entry is lost and not just unknown yet.
func (suspectStore *suspectStore) Get(_ context.Context, key string) (connector.Entry, error) {
	suspectStore.mu.Lock()
	defer suspectStore.mu.Unlock()
	latest := suspectStore.latest[key]
	item, copied, ok := suspectStore.gateway.tracker.Item(key)
	copiedEntry := connector.NewEntry(item.Value(), item.Revision()).WithEra(copied.Era())
	lost := !ok && copied.Era() > latest.Point().Era()
	if lost || ok && !latest.Point().After(copiedEntry.Point()) {
		return copiedEntry, nil
	}
	return latest, nil
}

// CompareAndSwap writes key in the store. After a conflict it reads the entry, since
// the host's copy may lag behind.
func (suspectStore *suspectStore) CompareAndSwap(ctx context.Context, key string, version uint64, data []byte) (connector.Entry, error) {
	store := suspectStore.gateway.store
	point, err := store.CompareAndSwap(ctx, key, version, data)
	var failure *connector.CallError
	switch {
	case err == nil:
		written := connector.NewEntry(data, point.Revision()).WithEra(point.Era())
		suspectStore.setLatest(key, written)
		return written, nil
	case errors.As(err, &failure) && (failure.Kind() == connector.Conflict || failure.Kind() == connector.Unknown):
		item, point, readErr := store.Get(ctx, key)
		if readErr != nil {
			return connector.Entry{}, readErr
		}
		suspectStore.setLatest(key, connector.NewEntry(item.Value(), item.Revision()).WithEra(point.Era()))
	}
	return connector.Entry{}, err
}

// setLatest keeps an entry that the store returned, unless a later era is known already.
func (suspectStore *suspectStore) setLatest(key string, entry connector.Entry) {
	suspectStore.mu.Lock()
	defer suspectStore.mu.Unlock()
	if entry.Point().Era() >= suspectStore.latest[key].Point().Era() {
		suspectStore.latest[key] = entry
	}
}
