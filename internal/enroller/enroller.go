// Package enroller keeps an entry host registered in the platform's store, so
// that the others know of it: one key under a lease. The store may take the
// key away, or the lease, and no call need show it; the host then finds itself
// missing in its own copy of the store and registers again.
package enroller

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/connector"
)

// The times of a registration.
const (
	// leaseTime is how long a host is known after its last renewal. It is more
	// than two renewals, so that one lost answer does not end it.
	leaseTime = 6 * time.Second
	// renewInterval is the time between renewals.
	renewInterval = 2500 * time.Millisecond
	// firstWait is how long a host that has just started waits to see whether it
	// is registered still.
	firstWait = 300 * time.Millisecond
	// retryInterval is the pause after a call that failed: a lease outlives one
	// renewal and one such pause.
	retryInterval = 1200 * time.Millisecond
	// leaveTimeout bounds the call that ends a registration.
	leaveTimeout = 500 * time.Millisecond
)

// Store is what an enroller writes to.
type Store interface {
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, granted time.Duration, err error)
	Renew(ctx context.Context, lease uint64) error
	Release(ctx context.Context, lease uint64) error
	// Register writes value to key under lease, whatever the key holds.
	Register(ctx context.Context, key string, value []byte, lease uint64) (revision uint64, err error)
}

// Roll is the host's own copy of the store.
type Roll interface {
	// Registered returns the lease and the revision of the key where it holds
	// value; false where it does not.
	Registered(key string, value []byte) (lease, revision uint64, ok bool)
	// Known returns a channel that is closed once the copy is known to be whole.
	Known() <-chan struct{}
	// Missing reports whether the host is surely not registered at a revision of
	// the store after this one.
	Missing(revision uint64) bool
}

// Journal takes what happens to the registration.
type Journal interface {
	Learned(what string, details ...any)
}

// Enroller keeps one host registered. Make one with New.
type Enroller struct {
	store   Store
	roll    Roll
	journal Journal
	key     string
	value   []byte
	// mu guards the fields below.
	mu sync.Mutex
	// lease is the lease that the key is under; 0 for none.
	lease uint64
	// revision is that of the key; 0 while it is not written.
	revision uint64
	// left is true once the host leaves.
	left bool
	// ended is true once a lease has ended: what the copy of the store still
	// shows is not taken over any more. Only Run uses it.
	ended bool
}

// New returns an enroller that keeps value at key.
func New(store Store, roll Roll, journal Journal, key string, value []byte) *Enroller {
	return &Enroller{store: store, roll: roll, journal: journal, key: key, value: value}
}

// Run keeps the host registered until ctx is done.
func (enroller *Enroller) Run(ctx context.Context) error {
	enroller.begin(ctx)
	for ctx.Err() == nil {
		wait := renewInterval
		if err := enroller.keep(ctx); err != nil {
			wait = retryInterval
		}
		// Hosts that started together do not stay in step.
		timer := time.NewTimer(wait - rand.N(wait/8))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return nil
}

// begin waits for the copy of the store, for firstWait at most.
func (enroller *Enroller) begin(ctx context.Context) {
	timer := time.NewTimer(firstWait)
	defer timer.Stop()
	select {
	case <-enroller.roll.Known():
	case <-timer.C:
	case <-ctx.Done():
	}
}

// keep does the next thing that keeps the host registered.
func (enroller *Enroller) keep(ctx context.Context) error {
	lease, revision, left := enroller.state()
	if left {
		return nil
	}
	if revision > 0 && enroller.roll.Missing(revision) {
		enroller.journal.Learned("registration is gone; registering again", "key", enroller.key, "revision", revision)
		enroller.set(lease, 0)
		revision = 0
	}
	if lease == 0 && !enroller.ended {
		lease, revision = enroller.inherit()
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
		enroller.set(lease, 0)
	}
	if revision > 0 {
		return nil
	}
	revision, err := enroller.store.Register(ctx, enroller.key, enroller.value, lease)
	if err != nil {
		return enroller.failed("register", err)
	}
	enroller.set(lease, revision)
	enroller.journal.Learned("registered", "key", enroller.key, "revision", revision, "lease", lease)
	return nil
}

// inherit takes over the registration that an earlier start of the host left:
// its lease is renewed instead of a new one taken.
func (enroller *Enroller) inherit() (lease, revision uint64) {
	lease, revision, ok := enroller.roll.Registered(enroller.key, enroller.value)
	if !ok || lease == 0 {
		return 0, 0
	}
	enroller.journal.Learned("registration taken over", "key", enroller.key, "revision", revision, "lease", lease)
	enroller.set(lease, revision)
	return lease, revision
}

// failed takes in a call that failed; a lease that has ended is forgotten.
func (enroller *Enroller) failed(step string, err error) error {
	var failure *connector.CallError
	if errors.As(err, &failure) && failure.Kind() == connector.Ended {
		enroller.set(0, 0)
		enroller.ended = true
	}
	enroller.journal.Learned("registration failed", "step", step, "error", err)
	return err
}

func (enroller *Enroller) state() (lease, revision uint64, left bool) {
	enroller.mu.Lock()
	defer enroller.mu.Unlock()
	return enroller.lease, enroller.revision, enroller.left
}

func (enroller *Enroller) set(lease, revision uint64) {
	enroller.mu.Lock()
	defer enroller.mu.Unlock()
	enroller.lease, enroller.revision = lease, revision
}

// Leave ends the registration, so that the others stop naming the host.
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
		enroller.journal.Learned("registration ends only with its lease", "lease", lease, "error", err)
	}
}
