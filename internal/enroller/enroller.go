// Package enroller keeps an entry host registered in the platform's store, where
// the other hosts find it: one key under a lease. Package launcher runs it.
//
// The store may drop the key or end the lease while no call fails; the enroller
// notices that by the host's own copy of the store, and registers the host again.
// The package starts no goroutines, calls the store through an interface, and
// uses timers.
package enroller

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/connector"
)

// Times of a registration.
const (
	// leaseTime is the time for which a registration lasts after its last renewal:
	// more than two intervals, so that one lost answer does not end it.
	leaseTime = 6 * time.Second
	// renewInterval is the time between renewals.
	renewInterval = 2500 * time.Millisecond
	// viewTimeout bounds the wait of a host that has just started for its copy of
	// the store, which shows whether it is still registered.
	viewTimeout = 300 * time.Millisecond
	// retryInterval is the wait after a failed call. A lease lasts longer than a
	// renewal interval and a retry interval together.
	retryInterval = 1200 * time.Millisecond
	// leaveTimeout bounds the call that ends a registration.
	leaveTimeout = 500 * time.Millisecond
)

// Store is the store that holds the registration.
type Store interface {
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, granted time.Duration, err error)
	Renew(ctx context.Context, lease uint64) error
	Release(ctx context.Context, lease uint64) error
	// Register writes value to key under lease, and overwrites any other value.
	Register(ctx context.Context, key string, value []byte, lease uint64) (revision uint64, err error)
}

// View is the host's own copy of the store.
type View interface {
	// Registered returns the lease and the revision of key, and whether it holds
	// value.
	Registered(key string, value []byte) (lease, revision uint64, ok bool)
	// Ready returns a channel that is closed once the copy is known to be complete.
	Ready() <-chan struct{}
	// Missing reports whether the copy is newer than revision and does not hold the
	// host's registration.
	Missing(revision uint64) bool
}

// Journal records events of the registration.
type Journal interface {
	Change(message string, details ...any)
}

// Enroller keeps one host registered. Make one with New.
type Enroller struct {
	store   Store
	view    View
	journal Journal
	key     string
	value   []byte
	// mu guards the fields below.
	mu sync.Mutex
	// lease is the lease of the key; 0 for none.
	lease uint64
	// revision is the revision at which the key was written; 0 for not written.
	revision uint64
	// left is true once Leave has been called.
	left bool
	// leaseEnded is true once a lease has ended: the copy of the store may still
	// show the old registration, which must not be adopted. Only Run uses it.
	leaseEnded bool
}

// New returns an enroller that keeps value at key.
func New(store Store, view View, journal Journal, key string, value []byte) *Enroller {
	return &Enroller{store: store, view: view, journal: journal, key: key, value: value}
}

// Run keeps the host registered until ctx is done.
func (enroller *Enroller) Run(ctx context.Context) error {
	enroller.awaitView(ctx)
	for ctx.Err() == nil {
		wait := renewInterval
		if err := enroller.maintain(ctx); err != nil {
			wait = retryInterval
		}
		// The jitter keeps hosts that started together from calling at one time.
		timer := time.NewTimer(wait - rand.N(wait/8))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return nil
}

// awaitView waits until the copy of the store is complete, for viewTimeout at
// most.
func (enroller *Enroller) awaitView(ctx context.Context) {
	timer := time.NewTimer(viewTimeout)
	defer timer.Stop()
	select {
	case <-enroller.view.Ready():
	case <-timer.C:
	case <-ctx.Done():
	}
}

// maintain renews the lease or restores the registration, as needed.
func (enroller *Enroller) maintain(ctx context.Context) error {
	lease, revision, left := enroller.registration()
	if left {
		return nil
	}
	if revision > 0 && enroller.view.Missing(revision) {
		enroller.journal.Change("registration is missing in the store; registering again", "key", enroller.key, "revision", revision)
		enroller.setRegistration(lease, 0)
		revision = 0
	}
	if lease == 0 && !enroller.leaseEnded {
		lease, revision = enroller.adopt()
	}
	if lease > 0 {
		if err := enroller.store.Renew(ctx, lease); err != nil {
			return enroller.failed("renew", err)
		}
	}
	if lease == 0 {
		granted, _, err := enroller.store.Grant(ctx, leaseTime)
		if err != nil {
			return enroller.failed("grant", err)
		}
		lease = granted
		enroller.setRegistration(lease, 0)
	}
	if revision > 0 {
		return nil
	}
	revision, err := enroller.store.Register(ctx, enroller.key, enroller.value, lease)
	if err != nil {
		return enroller.failed("register", err)
	}
	enroller.setRegistration(lease, revision)
	enroller.journal.Change("registered", "key", enroller.key, "revision", revision, "lease", lease)
	return nil
}

// adopt takes over the registration of an earlier start of the host, so that its
// lease is renewed and no new one is needed.
func (enroller *Enroller) adopt() (lease, revision uint64) {
	lease, revision, ok := enroller.view.Registered(enroller.key, enroller.value)
	if !ok || lease == 0 {
		return 0, 0
	}
	enroller.journal.Change("adopted the registration of an earlier start", "key", enroller.key, "revision", revision, "lease", lease)
	enroller.setRegistration(lease, revision)
	return lease, revision
}

// failed logs and returns the error of a call. It drops the lease if the error
// says that the lease has ended.
func (enroller *Enroller) failed(step string, err error) error {
	var failure *connector.CallError
	if errors.As(err, &failure) && failure.Kind() == connector.LeaseExpired {
		enroller.setRegistration(0, 0)
		enroller.leaseEnded = true
	}
	enroller.journal.Change("registration failed", "step", step, "error", err)
	return err
}

func (enroller *Enroller) registration() (lease, revision uint64, left bool) {
	enroller.mu.Lock()
	defer enroller.mu.Unlock()
	return enroller.lease, enroller.revision, enroller.left
}

func (enroller *Enroller) setRegistration(lease, revision uint64) {
	enroller.mu.Lock()
	defer enroller.mu.Unlock()
	enroller.lease, enroller.revision = lease, revision
}

// Leave ends the registration, so that other hosts stop listing the host.
func (enroller *Enroller) Leave() {
	enroller.mu.Lock()
	lease := enroller.lease
	enroller.left = true
	enroller.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := enroller.store.Release(ctx, lease); err != nil {
		enroller.journal.Change("cannot release the lease; the registration ends when the lease expires", "lease", lease, "error", err)
	}
}
