// Package enroller keeps an entry host registered in the platform's store, where
// the other hosts find it: one key under a lease. Package launcher runs it.
//
// The store may drop the key or end the lease while no call fails; the enroller
// notices that by the host's own copy of the store, and registers the host again. A
// store that is restored from an older copy may have lost the registration of every
// host; the hosts then spread their writes over eraSpread.
// The package starts no goroutines, calls the store through an interface, and
// uses timers.
package enroller

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/definer"
)

// Times of a registration.
const (
	// leaseTime is the time for which a registration lasts after its last renewal:
	// more than two intervals, so that one lost answer does not end it.
	leaseTime = 6 * time.Second
	// renewInterval is the time between renewals.
	renewInterval = 2500 * time.Millisecond
	// viewTimeout bounds the wait of a host that has just started for its copy of
	// the store, which shows whether it is still registered. Where all hosts restart at
	// once with many routes, small ones need half a second for it.
	viewTimeout = 1500 * time.Millisecond
	// retryInterval is the wait after a failed call. A lease lasts longer than a
	// renewal interval and a retry interval together.
	retryInterval = 1200 * time.Millisecond
	// leaveTimeout bounds the call that ends a registration.
	leaveTimeout = 500 * time.Millisecond
	// eraSpread is the time over which hosts spread the writes of registrations that
	// were lost with an era. A registration takes two calls, so that these come no more
	// often than the renewals do. Other hosts keep a lost entry for longer than
	// renewInterval, eraSpread and retryInterval together.
	eraSpread = 2 * renewInterval
)

// Store is the store that holds the registration.
type Store interface {
	Grant(ctx context.Context, ttl time.Duration) (definer.Lease, error)
	Renew(ctx context.Context, lease uint64) error
	// Register writes value to key under lease, and overwrites any other value. It
	// returns the point of the write.
	Register(ctx context.Context, key string, value []byte, lease uint64) (definer.Point, error)
	// Era returns the highest era in any answer of the store.
	Era() uint64
}

// View is the host's own copy of the store.
type View interface {
	// Registered returns the value and the lease of key and the point at which it was
	// written, if it exists.
	Registered(key string) (value []byte, lease definer.Lease, written definer.Point, ok bool)
	// Copied returns a channel that is closed once there is a copy, which may be old.
	Copied() <-chan struct{}
	// Missing reports whether the copy is at a later point of the era than written and
	// does not hold key.
	Missing(key string, written definer.Point) bool
	// Era returns the era of the copy; it only rises.
	Era() uint64
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
	// value is that of the key, and leaving replaces it during a planned stop.
	value, leaving []byte
	// mu guards the fields below.
	mu sync.Mutex
	// lease is the lease of the key. Its era is the last one in which it is known to
	// exist: in a later one it may be lost, and its number another host's.
	lease definer.Lease
	// written is the point at which the key was written; zero for not written.
	written definer.Point
	// adopted is the number of the lease that was adopted from an earlier start; 0 for
	// none.
	adopted uint64
	// left is true once Leave has been called.
	left bool
	// leaseEnded is true once a lease has ended: the copy of the store may still
	// show the old registration, which must not be adopted. Only Run uses it.
	leaseEnded bool
}

// New returns an enroller that keeps value at key, and leaving during a planned stop.
func New(store Store, view View, journal Journal, key string, value, leaving []byte) *Enroller {
	return &Enroller{store: store, view: view, journal: journal, key: key, value: value, leaving: leaving}
}

// Adopted returns the number of the lease of an earlier start of the host that still
// existed at this start, or 0.
func (enroller *Enroller) Adopted() uint64 {
	enroller.mu.Lock()
	defer enroller.mu.Unlock()
	return enroller.adopted
}

// Run keeps the host registered until ctx is done.
func (enroller *Enroller) Run(ctx context.Context) error {
	enroller.awaitView(ctx)
	for ctx.Err() == nil {
		timer := time.NewTimer(enroller.nextWait(enroller.maintain(ctx)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return nil
}

// errLostWithEra is the result of maintain where the store has lost the registration by
// coming back from an older copy.
var errLostWithEra = errors.New("registration is lost with the store's era")

// nextWait returns the wait after a call of maintain that returned err.
func (enroller *Enroller) nextWait(err error) time.Duration {
	wait := renewInterval
	switch {
	case errors.Is(err, errLostWithEra):
		return rand.N(eraSpread)
	case err != nil:
		wait = retryInterval
	}
	// The jitter keeps hosts that started together from calling at one time.
	return wait - rand.N(wait/8)
}

// awaitView waits until there is a copy of the store, for viewTimeout at most.
func (enroller *Enroller) awaitView(ctx context.Context) {
	timer := time.NewTimer(viewTimeout)
	defer timer.Stop()
	select {
	case <-enroller.view.Copied():
	case <-timer.C:
	case <-ctx.Done():
	}
}

// maintain renews the lease or restores the registration, as needed.
func (enroller *Enroller) maintain(ctx context.Context) error {
	lease, written, left := enroller.registration()
	if left {
		return nil
	}
	if lease.Number() > 0 && enroller.view.Era() > lease.Era() {
		if lease, written = enroller.adopt(); lease.Number() == 0 {
			return enroller.lost("copy")
		}
	}
	if written.Revision() > 0 && enroller.view.Missing(enroller.key, written) {
		enroller.journal.Change("registration is missing in the store; registering again", "key", enroller.key, "revision", written.Revision())
		written = definer.Point{}
		enroller.setRegistration(lease, written)
	}
	if lease.Number() == 0 && !enroller.leaseEnded {
		lease, written = enroller.adopt()
	}
	if lease.Number() > 0 {
		if err := enroller.store.Renew(ctx, lease.Number()); err != nil {
			return enroller.failed("renew", lease, err)
		}
	}
	if lease.Number() == 0 {
		granted, err := enroller.store.Grant(ctx, leaseTime)
		if err != nil {
			return enroller.failed("grant", lease, err)
		}
		lease = granted
		enroller.setRegistration(lease, definer.Point{})
	}
	if written.Revision() > 0 {
		return nil
	}
	return enroller.register(ctx, lease)
}

// register writes the key under lease.
func (enroller *Enroller) register(ctx context.Context, lease definer.Lease) error {
	written, err := enroller.store.Register(ctx, enroller.key, enroller.value, lease.Number())
	switch {
	case err != nil:
		return enroller.failed("register", lease, err)
	case written.Era() > lease.Era():
		return enroller.lost("register") // The lease may be another host's.
	}
	enroller.setRegistration(lease, written)
	enroller.journal.Change("registered", "key", enroller.key, "era", written.Era(), "revision", written.Revision(), "lease", lease.Number())
	return nil
}

// lost drops a registration that the store lost with an era, as a step showed.
func (enroller *Enroller) lost(step string) error {
	enroller.setRegistration(definer.Lease{}, definer.Point{})
	enroller.leaseEnded = true
	enroller.journal.Change("registration is lost with the store's era; registering again", "key", enroller.key,
		"step", step, "era", enroller.store.Era(), "within", eraSpread)
	return errLostWithEra
}

// adopt takes over the registration in the host's copy of the store, of an earlier start
// of the host or from before a new era, so that its lease is renewed and no new one is
// needed.
func (enroller *Enroller) adopt() (definer.Lease, definer.Point) {
	value, lease, written, ok := enroller.view.Registered(enroller.key)
	wasLeaving := bytes.Equal(value, enroller.leaving)
	if !ok || lease.Number() == 0 || !wasLeaving && !bytes.Equal(value, enroller.value) {
		return definer.Lease{}, definer.Point{}
	}
	enroller.journal.Change("adopted the registration of an earlier start", "key", enroller.key,
		"era", written.Era(), "revision", written.Revision(), "lease", lease.Number(), "was-leaving", wasLeaving)
	if wasLeaving {
		written = definer.Point{} // The value has to be written again.
	}
	enroller.setRegistration(lease, written)
	enroller.mu.Lock()
	defer enroller.mu.Unlock()
	enroller.adopted = lease.Number()
	return lease, written
}

// failed logs and returns the error of a call under lease. It drops the lease if the
// error says that the lease has ended.
func (enroller *Enroller) failed(step string, lease definer.Lease, err error) error {
	var failure *connector.CallError
	if errors.As(err, &failure) && failure.Kind() == connector.LeaseExpired {
		if enroller.store.Era() > lease.Era() {
			return enroller.lost(step)
		}
		enroller.setRegistration(definer.Lease{}, definer.Point{})
		enroller.leaseEnded = true
	}
	enroller.journal.Change("registration failed", "step", step, "error", err)
	return err
}

func (enroller *Enroller) registration() (lease definer.Lease, written definer.Point, left bool) {
	enroller.mu.Lock()
	defer enroller.mu.Unlock()
	return enroller.lease, enroller.written, enroller.left
}

func (enroller *Enroller) setRegistration(lease definer.Lease, written definer.Point) {
	enroller.mu.Lock()
	defer enroller.mu.Unlock()
	enroller.lease, enroller.written = lease, written
}

// Leave writes that the host leaves, so that other hosts stop listing it. The key remains
// until its lease expires: a host that starts again before keeps its shares of quotas.
func (enroller *Enroller) Leave() {
	enroller.mu.Lock()
	lease := enroller.lease.Number()
	enroller.left = true
	enroller.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	err := enroller.store.Renew(ctx, lease)
	if err == nil {
		_, err = enroller.store.Register(ctx, enroller.key, enroller.leaving, lease)
	}
	if err != nil {
		enroller.journal.Change("cannot write that the host leaves; its registration ends when the lease expires", "lease", lease, "error", err)
	}
}
