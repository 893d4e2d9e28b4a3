package connector

import (
	"context"
	"net/http"
	"net/url"
	"time"
)

// Lease is a lease that the store granted. A holder that was suspended may not know
// that its lease has expired, so the protected resource must check the fence.
type Lease struct {
	name   string
	holder string
	// fence is greater than that of every lease granted before, of any name.
	fence uint64
	// duration starts when the store grants or renews the lease, which is after the
	// call is sent.
	duration time.Duration
}

// Name returns the lease's name.
func (lease Lease) Name() string { return lease.name }

// Holder returns the lease's holder.
func (lease Lease) Holder() string { return lease.holder }

// Fence returns the fencing token.
func (lease Lease) Fence() uint64 { return lease.fence }

// Duration returns how long the lease is valid after its grant or renewal.
func (lease Lease) Duration() time.Duration { return lease.duration }

// wireLease is the JSON form of a lease.
type wireLease struct {
	Holder     string `json:"holder"`
	Fence      uint64 `json:"fence,omitempty"`
	DurationMs int64  `json:"duration-ms"`
}

// Acquire acquires the lease called name for holder. It fails as Conflict while
// another holder has the lease. If holder already has it, the lease is renewed with
// the same fence, so Acquire can be retried after a lost reply.
func (store *Store) Acquire(ctx context.Context, name, holder string, duration time.Duration) (Lease, error) {
	return store.lease(ctx, "acquire", Lease{name: name, holder: holder, duration: duration})
}

// Renew extends lease by its duration from now. It fails as Conflict if the lease
// has expired.
func (store *Store) Renew(ctx context.Context, lease Lease) (Lease, error) {
	return store.lease(ctx, "renew", lease)
}

// Release releases lease. It fails as Conflict if the lease has expired.
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
