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

// fakeStore is a store with one key, and the host's copy of it.
type fakeStore struct {
	mu       sync.Mutex
	revision uint64
	value    []byte
	// under is the lease of the key; until says when each lease ends.
	under uint64
	until map[uint64]time.Time
	calls int
	// lost makes the next write take effect and its answer get lost.
	lost bool
}

func (fakeStore *fakeStore) Grant(_ context.Context, ttl time.Duration) (uint64, time.Duration, error) {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	fakeStore.calls++
	lease := uint64(len(fakeStore.until) + 1)
	fakeStore.until[lease] = time.Now().Add(ttl)
	return lease, ttl, nil
}

func (fakeStore *fakeStore) Renew(_ context.Context, lease uint64) error {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	if !fakeStore.until[lease].After(time.Now()) {
		return connector.NewError(connector.Ended, "renew", nil)
	}
	fakeStore.until[lease] = time.Now().Add(leaseTime)
	return nil
}

func (fakeStore *fakeStore) Release(_ context.Context, lease uint64) error {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	fakeStore.until[lease] = time.Time{}
	return nil
}

func (fakeStore *fakeStore) Register(_ context.Context, _ string, value []byte, lease uint64) (uint64, error) {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	fakeStore.calls++
	fakeStore.revision++
	fakeStore.value, fakeStore.under = value, lease
	if fakeStore.lost {
		fakeStore.lost = false
		return 0, connector.NewError(connector.Unknown, "write", nil)
	}
	return fakeStore.revision, nil
}

// there reports whether the key is there now.
func (fakeStore *fakeStore) there() bool {
	return fakeStore.value != nil && fakeStore.until[fakeStore.under].After(time.Now())
}

func (fakeStore *fakeStore) Missing(revision uint64) bool {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	return fakeStore.revision >= revision && !fakeStore.there()
}

func (fakeStore *fakeStore) Registered(_ string, value []byte) (lease, revision uint64, ok bool) {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	return fakeStore.under, fakeStore.revision, fakeStore.there() && bytes.Equal(value, fakeStore.value)
}

func (*fakeStore) Known() <-chan struct{} {
	known := make(chan struct{})
	close(known)
	return known
}

type quiet struct{}

func (quiet) Learned(string, ...any) {}

// live runs an enroller for as long as during takes.
func live(store *fakeStore, during func(*Enroller)) {
	enroller := New(store, store, quiet{}, "hosts/a", []byte("a"))
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { _ = enroller.Run(ctx) })
	during(enroller)
	cancel()
	wait.Wait()
}

func (fakeStore *fakeStore) want(t *testing.T, there bool, when string) {
	t.Helper()
	synctest.Wait()
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	if fakeStore.there() != there {
		t.Errorf("%s the host is registered: %v, want %v", when, fakeStore.there(), there)
	}
}

func TestRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{until: make(map[uint64]time.Time), lost: true}
		live(store, func(enroller *Enroller) {
			time.Sleep(2 * retryInterval)
			store.want(t, true, "after a lost answer")
			time.Sleep(time.Minute)
			store.want(t, true, "after a minute")
			store.mu.Lock()
			store.value = nil // Taken away; no call shows it.
			store.revision++
			store.mu.Unlock()
			time.Sleep(2 * renewInterval)
			store.want(t, true, "after its key was taken away")
			store.mu.Lock()
			store.until[store.under] = time.Time{}
			store.mu.Unlock()
			time.Sleep(2 * renewInterval)
			store.want(t, true, "after its lease was ended")
			enroller.Leave()
			time.Sleep(2 * renewInterval)
			store.want(t, false, "after it left")
		})
	})
}

// TestTakesOver restarts a host while its old registration is still there.
func TestTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{until: make(map[uint64]time.Time)}
		live(store, func(*Enroller) { time.Sleep(time.Second) })
		calls := store.calls
		time.Sleep(time.Second)
		live(store, func(*Enroller) {
			time.Sleep(time.Minute)
			store.want(t, true, "after a restart")
		})
		if store.calls != calls {
			t.Errorf("a restart took %d leases and writes, want none", store.calls-calls)
		}
	})
}
