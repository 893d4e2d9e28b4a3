package sender

import (
	"context"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

const (
	// idleEach bounds the kept connections to one endpoint.
	idleEach = 8
	// sweepInterval is how often expired connections are closed.
	sweepInterval = time.Second
)

// keeper keeps idle connections. The zero value is empty.
type keeper struct {
	// mu guards idle.
	mu sync.Mutex
	// idle holds the connections of each endpoint, the last used last.
	idle map[string][]*connection
}

// take returns the connection to endpoint that was used last, or nil.
func (keeper *keeper) take(endpoint definer.Endpoint, now time.Time) *connection {
	for {
		connection := keeper.pop(keyOf(endpoint))
		if connection == nil || (!connection.expired(now) && connection.silent()) {
			return connection
		}
		_ = connection.Close()
	}
}

func (keeper *keeper) pop(key string) *connection {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	list := keeper.idle[key]
	if len(list) == 0 {
		return nil
	}
	connection := list[len(list)-1]
	keeper.idle[key] = list[:len(list)-1]
	return connection
}

// put keeps a connection on which nothing is under way.
func (keeper *keeper) put(connection *connection) {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	list := keeper.idle[connection.key]
	if connection.expired(time.Now()) || connection.reader.Buffered() > 0 || len(list) >= idleEach {
		_ = connection.Close()
		return
	}
	keeper.ensure()
	keeper.idle[connection.key] = append(list, connection)
}

// ensure makes the zero value ready to keep; mu is held.
func (keeper *keeper) ensure() {
	if keeper.idle == nil {
		keeper.idle = make(map[string][]*connection)
	}
}

// Run closes expired connections until ctx is done.
func (keeper *keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			keeper.sweep(now)
		case <-ctx.Done():
			return nil
		}
	}
}

func (keeper *keeper) sweep(now time.Time) {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	for key, list := range keeper.idle {
		kept := list[:0]
		for _, connection := range list {
			if connection.expired(now) {
				_ = connection.Close()
				continue
			}
			kept = append(kept, connection)
		}
		clear(list[len(kept):])
		if keeper.idle[key] = kept; len(kept) == 0 {
			delete(keeper.idle, key)
		}
	}
}

// Close closes the kept connections; those in use close with their answers.
func (keeper *keeper) Close() error {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	for _, list := range keeper.idle {
		for _, connection := range list {
			_ = connection.Close()
		}
	}
	keeper.idle = nil
	return nil
}
