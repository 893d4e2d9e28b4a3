// Package tracker keeps what a host believes of the world current: a copy of
// parts of the platform's store, with the time at which it was last proved.
package tracker

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/chivespool/chivespool/internal/definer"
)

// Store is what the tracker reads of the platform's store.
type Store interface {
	Scan(ctx context.Context, prefix string) ([]Item, uint64, error)
	Get(ctx context.Context, key string) (Item, uint64, error)
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error)
}

// Decoder turns values of the store into the product's types.
type Decoder interface {
	Table(value []byte) (*definer.RouteTable, error)
	Endpoint(name string, value []byte) (definer.Endpoint, error)
}

// Keys says where the store holds what a host has to know.
type Keys struct {
	table     string
	endpoints string
	hosts     string
}

// NewKeys returns the key of the routing, and the prefixes of the keys of
// endpoints and of entry hosts.
func NewKeys(table, endpoints, hosts string) Keys {
	return Keys{table: table, endpoints: endpoints, hosts: hosts}
}

// Tracker keeps a View current. Make one with New.
type Tracker struct {
	store   Store
	decoder Decoder
	keys    Keys
	current atomic.Pointer[View]
}

// New returns a tracker that knows nothing yet.
func New(store Store, decoder Decoder, keys Keys) *Tracker {
	return &Tracker{store: store, decoder: decoder, keys: keys}
}

// View returns what the host believes now.
func (tracker *Tracker) View() *View {
	if view := tracker.current.Load(); view != nil {
		return view
	}
	return &nothing
}

// Run polls until ctx is done.
func (tracker *Tracker) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		tracker.poll(ctx)
		timer := time.NewTimer(500 * time.Millisecond)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
	return nil
}

func (tracker *Tracker) poll(ctx context.Context) {
	start := time.Now()
	item, asOf, err := tracker.store.Get(ctx, tracker.keys.table)
	if err != nil {
		klog.ErrorS(err, "poll")
		return
	}
	items, asOf2, err := tracker.store.Scan(ctx, tracker.keys.endpoints)
	if err != nil {
		klog.ErrorS(err, "poll")
		return
	}
	old := tracker.View()
	view := &View{table: old.table, endpoints: make(map[string][]definer.Endpoint), revision: asOf, proved: start}
	if len(item.value) > 0 {
		if table, err := tracker.decoder.Table(item.value); err == nil && table.Version() > old.table.Version() {
			view.table = table
		}
	}
	for _, item := range items {
		endpoint, err := tracker.decoder.Endpoint(strings.TrimPrefix(item.key, tracker.keys.endpoints), item.value)
		if err != nil || endpoint.Drained() {
			continue
		}
		path, _ := view.table.HealthPath(endpoint.Pool())
		view.endpoints[endpoint.Pool()] = append(view.endpoints[endpoint.Pool()], endpoint.WithHealthPath(path))
	}
	tracker.current.Store(view)
	changes, asOf3, err := tracker.store.Changes(ctx, "", old.revision, time.Millisecond)
	klog.InfoS("poll", "config", item.revision, "bytes", len(item.value), "asOf", asOf, "servers", len(items), "asOf2", asOf2, "changes", len(changes), "asOf3", asOf3, "err", err, "took", time.Since(start))
	for _, change := range changes {
		klog.InfoS("change", "key", change.key, "revision", change.revision, "removed", change.removed, "value", string(change.value[:min(len(change.value), 300)]))
	}
}
