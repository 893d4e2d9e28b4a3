package emulator

import (
	"os"
	"sync"
	"time"
)

// maxValueBytes limits the size of a value.
const maxValueBytes = 1 << 20

// Store emulates the platform's key-value store. The zero value is an empty
// store without faults. It is safe for concurrent use.
type Store struct {
	// mu guards all fields below.
	mu sync.Mutex
	// revision is the latest version of any key or fence of any lease, which
	// share one sequence; it never decreases.
	revision uint64
	// values holds the existing keys.
	values map[string]value
	leases map[string]grant
	// changed holds, by key, a channel that is closed and dropped at the next
	// write of the key.
	changed map[string]chan struct{}
	faults  StoreFaults
	// faultsChanged is closed and replaced when faults are set.
	faultsChanged chan struct{}
	calls         StoreCalls
	// log receives every write; nil if writes are not persisted.
	log *os.File
}

// value is the data of a key with its version.
type value struct {
	data    []byte
	version uint64
}

// grant is a lease, which may have expired.
type grant struct {
	holder string
	fence  uint64
	expiry time.Time
}

// StoreFaults are the injected faults of a store, set by PUT /faults.
type StoreFaults struct {
	// Outage makes the store refuse every call; refused calls have no effect.
	Outage bool `json:"outage"`
	// DelayMs delays each call before it takes effect.
	DelayMs int64 `json:"delay-ms"`
	// LoseReplies is the number of next writes that take effect and then close
	// the connection without a reply.
	LoseReplies int `json:"lose-replies"`
}

// StoreCalls counts the calls that reached a store; it is the response to
// GET /calls.
type StoreCalls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// get returns the value of key, with version 0 if it does not exist.
func (store *Store) get(key string) value {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.values[key]
}

// compareAndSwap writes data if key is at version and reports whether it did.
func (store *Store) compareAndSwap(key string, version uint64, data []byte) (value, bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.values[key].version != version {
		return store.values[key], false
	}
	store.revision++
	written := value{data: data, version: store.revision}
	if store.values == nil {
		store.values = make(map[string]value)
	}
	store.values[key] = written
	store.appendLog(logEntry{Key: key, Version: written.version, Data: data})
	store.notifyWatchers(key)
	return written, true
}

// remove deletes key if it is at version and reports whether it did.
func (store *Store) remove(key string, version uint64) bool {
	store.mu.Lock()
	defer store.mu.Unlock()
	if version == 0 || store.values[key].version != version {
		return false
	}
	store.revision++
	delete(store.values, key)
	store.appendLog(logEntry{Key: key, Version: store.revision, Removed: true})
	store.notifyWatchers(key)
	return true
}

// notifyWatchers wakes the watchers of key. The caller holds mu.
func (store *Store) notifyWatchers(key string) {
	if changed, ok := store.changed[key]; ok {
		close(changed)
		delete(store.changed, key)
	}
}

// watch returns the value of key, and channels that are closed at its next write
// and at the next change of faults.
func (store *Store) watch(key string) (current value, changed, faultsChanged <-chan struct{}) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.changed == nil {
		store.changed = make(map[string]chan struct{})
	}
	if store.changed[key] == nil {
		store.changed[key] = make(chan struct{})
	}
	if store.faultsChanged == nil {
		store.faultsChanged = make(chan struct{})
	}
	return store.values[key], store.changed[key], store.faultsChanged
}

// acquire grants the lease called name to holder, or renews it if holder already
// holds it, and reports whether it did.
func (store *Store) acquire(name, holder string, duration time.Duration, now time.Time) (grant, bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	held, ok := store.leases[name]
	ok = ok && now.Before(held.expiry)
	if ok && held.holder != holder {
		return held, false
	}
	if !ok {
		store.revision++
		held = grant{holder: holder, fence: store.revision}
	}
	held.expiry = now.Add(duration)
	if store.leases == nil {
		store.leases = make(map[string]grant)
	}
	store.leases[name] = held
	return held, true
}

// renew extends the lease with fence if it has not expired; a duration of 0 ends
// it.
func (store *Store) renew(name string, fence uint64, duration time.Duration, now time.Time) (grant, bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	held, ok := store.leases[name]
	if !ok || held.fence != fence || !now.Before(held.expiry) {
		return held, false
	}
	held.expiry = now.Add(duration)
	store.leases[name] = held
	return held, true
}

// setFaults replaces the faults and wakes all waiting watches.
func (store *Store) setFaults(faults StoreFaults) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.faults = faults
	if store.faultsChanged != nil {
		close(store.faultsChanged)
	}
	store.faultsChanged = nil
}

func (store *Store) currentFaults() StoreFaults {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.faults
}

// takeReplyLoss reports whether the reply to the current write is to be lost,
// and if so decrements LoseReplies.
func (store *Store) takeReplyLoss() bool {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.faults.LoseReplies == 0 {
		return false
	}
	store.faults.LoseReplies--
	return true
}

// count increments the counter that selectCounter returns.
func (store *Store) count(selectCounter func(calls *StoreCalls) *int64) {
	store.mu.Lock()
	defer store.mu.Unlock()
	*selectCounter(&store.calls)++
}

func (store *Store) currentCalls() StoreCalls {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.calls
}
