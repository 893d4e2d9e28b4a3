package connector

import (
	"context"
	"net/http"
	"net/url"
	"time"
)

// Lease is a lease as the store granted it. A holder that was paused may hold
// a lapsed lease without knowing: what it protects must check the fence.
type Lease struct {
	name   string
	holder string
	// fence is greater than that of every lease granted before on any name.
	fence uint64
	// duration counts from when the store granted or renewed the lease, which
	// is after the call was sent.
	duration time.Duration
}

// Name returns the lease's name.
func (lease Lease) Name() string { return lease.name }

// Holder returns who holds the lease.
func (lease Lease) Holder() string { return lease.holder }

// Fence returns the fencing number.
func (lease Lease) Fence() uint64 { return lease.fence }

// Duration returns how long the lease holds from its grant or renewal.
func (lease Lease) Duration() time.Duration { return lease.duration }

// wireLease is a lease as sent to and from the store.
type wireLease struct {
	Holder     string `json:"holder"`
	Fence      uint64 `json:"fence,omitempty"`
	DurationMs int64  `json:"duration-ms"`
}

// Acquire takes the lease called name for holder. While another holds it the
// call fails as Conflict; a holder that holds it already gets it renewed, with
// the same fence, so that Acquire may be sent again after a lost reply.
func (store *Store) Acquire(ctx context.Context, name, holder string, duration time.Duration) (Lease, error) {
	return store.lease(ctx, "acquire", Lease{name: name, holder: holder, duration: duration})
}

// Renew extends lease by its duration from now. A lapsed lease fails as Conflict.
func (store *Store) Renew(ctx context.Context, lease Lease) (Lease, error) {
	return store.lease(ctx, "renew", lease)
}

// Release gives lease back. A lapsed lease fails as Conflict.
func (store *Store) Release(ctx context.Context, lease Lease) error {
	_, err := store.lease(ctx, "release", lease)
	return err
}

func (store *Store) lease(ctx context.Context, action string, lease Lease) (Lease, error) {
	store.calls.writes.Inc(1)
	body := wireLease{Holder: lease.holder, Fence: lease.fence, DurationMs: lease.duration.Milliseconds()}
	var answer wireLease
	err := store.do(ctx, Call{
		operation: action + " lease " + lease.name, method: http.MethodPost,
		path: "/leases/" + url.PathEscape(lease.name) + "/" + action, effect: true, body: body,
	}, &answer)
	if err != nil {
		return Lease{}, err
	}
	lease.fence = answer.Fence
	return lease, nil
}
