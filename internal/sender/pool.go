package sender

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

const (
	// maxIdlePerEndpoint limits the idle connections to one endpoint.
	maxIdlePerEndpoint = 8
	// sweepInterval is how often connections that can't be reused are closed.
	sweepInterval = time.Second
)

// idlePool is a pool of idle connections. The zero value is an empty pool.
type idlePool struct {
	// mu guards idle.
	mu sync.Mutex
	// idle holds each endpoint's connections, the most recently used last.
	idle map[string][]*connection
}

// usable selects connections of the pool.
type usable func(*connection) bool

// anyConnection selects all connections.
func anyConnection(*connection) bool { return true }

// take returns the most recently used connection to endpoint that is usable, or nil. It
// closes those that cannot be reused.
func (idlePool *idlePool) take(endpoint definer.Endpoint, now time.Time, usable usable) *connection {
	for {
		connection := idlePool.pop(connectionKey(endpoint), usable)
		if connection == nil || (!connection.expired(now) && connection.reusable()) {
			return connection
		}
		_ = connection.Close()
	}
}

func (idlePool *idlePool) pop(key string, usable usable) *connection {
	idlePool.mu.Lock()
	defer idlePool.mu.Unlock()
	list := idlePool.idle[key]
	for index := len(list) - 1; index >= 0; index-- {
		if connection := list[index]; usable(connection) {
			idlePool.idle[key] = slices.Delete(list, index, index+1)
			return connection
		}
	}
	return nil
}

// HasIdle reports whether an idle connection to endpoint may be reused now.
func (idlePool *idlePool) HasIdle(endpoint definer.Endpoint) bool {
	idlePool.mu.Lock()
	defer idlePool.mu.Unlock()
	list := idlePool.idle[connectionKey(endpoint)]
	return len(list) > 0 && !list[len(list)-1].expired(time.Now())
}

// put adds a connection without a request in flight, or closes it if it has
// expired or has unread data. Beyond the limit, it closes the one that was idle for the
// longest time, which would expire first.
func (idlePool *idlePool) put(connection *connection) {
	idlePool.mu.Lock()
	defer idlePool.mu.Unlock()
	list := idlePool.idle[connection.key]
	if connection.expired(time.Now()) || connection.reader.Buffered() > 0 {
		_ = connection.Close()
		return
	}
	if len(list) >= maxIdlePerEndpoint {
		_ = list[0].Close()
		list = slices.Delete(list, 0, 1)
	}
	idlePool.initialize()
	idlePool.idle[connection.key] = append(list, connection)
}

// initialize allocates the map of a zero value. The caller holds mu.
func (idlePool *idlePool) initialize() {
	if idlePool.idle == nil {
		idlePool.idle = make(map[string][]*connection)
	}
}

// Run closes connections that can't be reused until ctx is done.
func (idlePool *idlePool) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			idlePool.sweep(now)
		case <-ctx.Done():
			return nil
		}
	}
}

// sweep closes connections that have expired or can't be reused: one that receives bytes
// while it is idle would hold them in memory.
func (idlePool *idlePool) sweep(now time.Time) {
	idlePool.mu.Lock()
	defer idlePool.mu.Unlock()
	for key, list := range idlePool.idle {
		kept := list[:0]
		for _, connection := range list {
			if connection.expired(now) || !connection.reusable() {
				_ = connection.Close()
				continue
			}
			kept = append(kept, connection)
		}
		clear(list[len(kept):])
		if idlePool.idle[key] = kept; len(kept) == 0 {
			delete(idlePool.idle, key)
		}
	}
}

// Close closes the idle connections. Those in use are closed when their
// responses end.
func (idlePool *idlePool) Close() error {
	idlePool.mu.Lock()
	defer idlePool.mu.Unlock()
	for _, list := range idlePool.idle {
		for _, connection := range list {
			_ = connection.Close()
		}
	}
	idlePool.idle = nil
	return nil
}
