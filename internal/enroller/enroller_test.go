package enroller

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/definer"
)

// fakeStore is a store with one key, and also the host's copy of it.
type fakeStore struct {
	mu       sync.Mutex
	era      uint64
	revision uint64
	value    []byte
	// keyLease is the lease of the key; expiry is the end of each lease.
	keyLease uint64
	expiry   map[uint64]time.Time
	calls    int
	// loseReply makes the next write take effect and fail with an unknown outcome.
	loseReply bool
}

func (fakeStore *fakeStore) Grant(_ context.Context, ttl time.Duration) (definer.Lease, error) {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	fakeStore.calls++
	lease := uint64(len(fakeStore.expiry) + 1)
	fakeStore.expiry[lease] = time.Now().Add(ttl)
	return definer.NewLease(lease, fakeStore.era, ttl), nil
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

func (fakeStore *fakeStore) Register(_ context.Context, _ string, value []byte, lease uint64) (definer.Point, error) {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	fakeStore.calls++
	fakeStore.revision++
	fakeStore.value, fakeStore.keyLease = value, lease
	if fakeStore.loseReply {
		fakeStore.loseReply = false
		return definer.Point{}, connector.NewError(connector.Unknown, "write", nil)
	}
	return definer.NewPoint(fakeStore.era, fakeStore.revision), nil
}

// isRegistered reports whether the key exists under a valid lease; mu is held.
func (fakeStore *fakeStore) isRegistered() bool {
	return fakeStore.value != nil && fakeStore.expiry[fakeStore.keyLease].After(time.Now())
}

func (fakeStore *fakeStore) Missing(_ string, written definer.Point) bool {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	return fakeStore.era == written.Era() && fakeStore.revision >= written.Revision() && !fakeStore.isRegistered()
}

func (fakeStore *fakeStore) Registered(string) (value []byte, lease definer.Lease, written definer.Point, ok bool) {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	lease, written = definer.NewLease(fakeStore.keyLease, fakeStore.era, leaseTime), definer.NewPoint(fakeStore.era, fakeStore.revision)
	return fakeStore.value, lease, written, fakeStore.isRegistered()
}

func (fakeStore *fakeStore) Era() uint64 {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	return fakeStore.era
}

func (*fakeStore) Copied() <-chan struct{} {
	ready := make(chan struct{})
	close(ready)
	return ready
}

type discardJournal struct{}

func (discardJournal) Change(string, ...any) {}

// runEnroller runs an enroller while during runs.
func runEnroller(store *fakeStore, during func(*Enroller)) {
	enroller := New(store, store, discardJournal{}, "hosts/a", []byte("a"), []byte("a leaves"))
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
			store.mu.Lock()
			if !bytes.Equal(store.value, enroller.leaving) {
				t.Errorf("the key holds %q as the host leaves", store.value)
			}
			store.mu.Unlock()
			time.Sleep(leaseTime)
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

// TestRestartAfterLeaving checks that a host that starts again soon after a planned stop
// keeps its lease, says that it does not leave, and knows that its registration outlived
// the restart.
func TestRestartAfterLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{expiry: make(map[uint64]time.Time)}
		runEnroller(store, func(enroller *Enroller) {
			time.Sleep(time.Second)
			enroller.Leave()
			if enroller.Adopted() != 0 {
				t.Error("a first start has adopted a registration")
			}
		})
		lease := store.keyLease
		time.Sleep(leaseTime / 2)
		runEnroller(store, func(enroller *Enroller) {
			time.Sleep(time.Second)
			store.checkRegistered(t, true, "after the restart")
			if !bytes.Equal(store.value, enroller.value) || store.keyLease != lease || enroller.Adopted() != lease {
				t.Errorf("the key holds %q under lease %d, adopted %d; want lease %d", store.value, store.keyLease, enroller.Adopted(), lease)
			}
		})
	})
}

// TestRegistrationsLostWithEra restores the store of 100 hosts that started together from
// a copy without their registrations. Each must be registered again in time, none under a
// lease number that now is another client's, and their calls must be spread: all hosts
// wrote within one retry interval.
func TestRegistrationsLostWithEra(t *testing.T) {
	const hosts, window = 100, 250 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		stores := make([]*fakeStore, hosts)
		ctx, cancel := context.WithCancel(context.Background())
		var wait sync.WaitGroup
		calls := func() (sum int) {
			for _, store := range stores {
				store.mu.Lock()
				sum += store.calls
				store.mu.Unlock()
			}
			return sum
		}
		for index := range stores {
			store := &fakeStore{expiry: make(map[uint64]time.Time)}
			stores[index] = store
			wait.Go(func() { _ = New(store, store, discardJournal{}, "hosts/a", []byte("a"), []byte("a leaves")).Run(ctx) })
		}
		time.Sleep(leaseTime)
		for index, store := range stores {
			store.mu.Lock()
			store.era, store.revision, store.value = 1, 0, nil
			store.expiry[store.keyLease] = time.Now().Add(time.Hour * time.Duration(index%2)) // Lost, or another client's.
			store.mu.Unlock()
		}
		for passed := time.Duration(0); passed < renewInterval+eraSpread; passed += window {
			before := calls()
			time.Sleep(window)
			if count, most := calls()-before, 3*2*hosts*int(window)/int(eraSpread); count > most {
				t.Errorf("%d calls within %v, want at most %d", count, window, most)
			}
		}
		for _, store := range stores {
			store.checkRegistered(t, true, "after the spread")
			if store.keyLease == 1 {
				t.Error("a host is registered under a lease number of the earlier era")
			}
		}
		cancel()
		wait.Wait()
	})
}
