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
	// latest holds the entry of each key that the store itself returned last.
	latest map[string]connector.Entry
}

// Get returns the newest entry of key that the host knows.
func (suspectStore *suspectStore) Get(_ context.Context, key string) (connector.Entry, error) {
	suspectStore.mu.Lock()
	defer suspectStore.mu.Unlock()
	if item, ok := suspectStore.gateway.tracker.Item(key); ok && item.Revision() >= suspectStore.latest[key].Version() {
		return connector.NewEntry(item.Value(), item.Revision()), nil
	}
	return suspectStore.latest[key], nil
}

// CompareAndSwap writes key in the store. After a conflict it reads the entry, since
// the host's copy may lag behind.
func (suspectStore *suspectStore) CompareAndSwap(ctx context.Context, key string, version uint64, data []byte) (connector.Entry, error) {
	store := suspectStore.gateway.store
	revision, err := store.CompareAndSwap(ctx, key, version, data)
	var failure *connector.CallError
	switch {
	case err == nil:
		suspectStore.setLatest(key, connector.NewEntry(data, revision))
		return connector.NewEntry(data, revision), nil
	case errors.As(err, &failure) && (failure.Kind() == connector.Conflict || failure.Kind() == connector.Unknown):
		item, _, readErr := store.Get(ctx, key)
		if readErr != nil {
			return connector.Entry{}, readErr
		}
		suspectStore.setLatest(key, connector.NewEntry(item.Value(), item.Revision()))
	}
	return connector.Entry{}, err
}

func (suspectStore *suspectStore) setLatest(key string, entry connector.Entry) {
	suspectStore.mu.Lock()
	defer suspectStore.mu.Unlock()
	suspectStore.latest[key] = entry
}
