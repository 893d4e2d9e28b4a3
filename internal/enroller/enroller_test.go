package enroller

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivespool/chivespool/internal/connector"
)

// fakeStore is a store with one key, and also the host's copy of it.
type fakeStore struct {
	mu       sync.Mutex
	revision uint64
	value    []byte
	// keyLease is the lease of the key; expiry is the end of each lease.
	keyLease uint64
	expiry   map[uint64]time.Time
	calls    int
	// loseReply makes the next write take effect and fail with an unknown outcome.
	loseReply bool
}

func (fakeStore *fakeStore) Grant(_ context.Context, ttl time.Duration) (uint64, time.Duration, error) {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	fakeStore.calls++
	lease := uint64(len(fakeStore.expiry) + 1)
	fakeStore.expiry[lease] = time.Now().Add(ttl)
	return lease, ttl, nil
}

func (fakeStore *fakeStore) Renew(_ context.Context, lease uint64) error {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	if !fakeStore.expiry[lease].After(time.Now()) {
		return connector.NewError(connector.LeaseExpired, "renew", nil)
	}
	fakeStore.expiry[lease] = time.Now().Add(leaseTime)
	return nil
}

func (fakeStore *fakeStore) Release(_ context.Context, lease uint64) error {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	fakeStore.expiry[lease] = time.Time{}
	return nil
}

func (fakeStore *fakeStore) Register(_ context.Context, _ string, value []byte, lease uint64) (uint64, error) {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	fakeStore.calls++
	fakeStore.revision++
	fakeStore.value, fakeStore.keyLease = value, lease
	if fakeStore.loseReply {
		fakeStore.loseReply = false
		return 0, connector.NewError(connector.Unknown, "write", nil)
	}
	return fakeStore.revision, nil
}

// isRegistered reports whether the key exists under a valid lease; mu is held.
func (fakeStore *fakeStore) isRegistered() bool {
	return fakeStore.value != nil && fakeStore.expiry[fakeStore.keyLease].After(time.Now())
}

func (fakeStore *fakeStore) Missing(revision uint64) bool {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	return fakeStore.revision >= revision && !fakeStore.isRegistered()
}

func (fakeStore *fakeStore) Registered(_ string, value []byte) (lease, revision uint64, ok bool) {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	return fakeStore.keyLease, fakeStore.revision, fakeStore.isRegistered() && bytes.Equal(value, fakeStore.value)
}

func (*fakeStore) Ready() <-chan struct{} {
	ready := make(chan struct{})
	close(ready)
	return ready
}

type discardJournal struct{}

func (discardJournal) Change(string, ...any) {}

// runEnroller runs an enroller while during runs.
func runEnroller(store *fakeStore, during func(*Enroller)) {
	enroller := New(store, store, discardJournal{}, "hosts/a", []byte("a"))
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { _ = enroller.Run(ctx) })
	during(enroller)
	cancel()
	wait.Wait()
}

func (fakeStore *fakeStore) checkRegistered(t *testing.T, registered bool, when string) {
	t.Helper()
	synctest.Wait()
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	if fakeStore.isRegistered() != registered {
		t.Errorf("%s the host is registered: %v, want %v", when, fakeStore.isRegistered(), registered)
	}
}

// TestRegistration checks that a host stays registered after a lost answer, a
// dropped key and an ended lease, and not after it has left.
func TestRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{expiry: make(map[uint64]time.Time), loseReply: true}
		runEnroller(store, func(enroller *Enroller) {
			time.Sleep(2 * retryInterval)
			store.checkRegistered(t, true, "after a lost answer")
			time.Sleep(time.Minute)
			store.checkRegistered(t, true, "after a minute")
			store.mu.Lock()
			store.value = nil // The store drops the key; no call fails.
			store.revision++
			store.mu.Unlock()
			time.Sleep(2 * renewInterval)
			store.checkRegistered(t, true, "after its key was dropped")
			store.mu.Lock()
			store.expiry[store.keyLease] = time.Time{}
			store.mu.Unlock()
			time.Sleep(2 * renewInterval)
			store.checkRegistered(t, true, "after its lease was ended")
			enroller.Leave()
			time.Sleep(2 * renewInterval)
			store.checkRegistered(t, false, "after it left")
		})
	})
}

// TestAdoptsRegistration checks that a host that restarts while its registration
// still exists renews it, with no new lease and no write.
func TestAdoptsRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{expiry: make(map[uint64]time.Time)}
		runEnroller(store, func(*Enroller) { time.Sleep(time.Second) })
		calls := store.calls
		time.Sleep(time.Second)
		runEnroller(store, func(*Enroller) {
			time.Sleep(time.Minute)
			store.checkRegistered(t, true, "after a restart")
		})
		if store.calls != calls {
			t.Errorf("a restart needed %d new leases and writes, want none", store.calls-calls)
		}
	})
}
