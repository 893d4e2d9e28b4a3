package emulator

import (
	"os"
	"sync"
	"time"
)

// maxValueBytes is the largest value that the store takes.
const maxValueBytes = 1 << 20

// Store stands in for the platform's key-value store. The zero value is an
// empty store without faults. It is safe for use by several goroutines.
type Store struct {
	// mu guards all fields below.
	mu sync.Mutex
	// revision is the version of the last write of any key and the fence of
	// the last lease; it only rises.
	revision uint64
	// values holds the keys that exist.
	values map[string]value
	leases map[string]grant
	// changed is closed, and dropped, at the next write of its key.
	changed map[string]chan struct{}
	faults  StoreFaults
	// faulted is closed, and replaced, when faults are set.
	faulted chan struct{}
	calls   StoreCalls
	// log gets every write; nil where none is kept.
	log *os.File
}

// value is what a key holds.
type value struct {
	data    []byte
	version uint64
}

// grant is a lease that is held, unless it has lapsed.
type grant struct {
	holder string
	fence  uint64
	lapse  time.Time
}

// StoreFaults are the faults of a store, switched by PUT /faults.
type StoreFaults struct {
	// Outage makes the store refuse every call with no effect.
	Outage bool `json:"outage"`
	// DelayMs slows each call, before it takes effect.
	DelayMs int64 `json:"delay-ms"`
	// LoseReplies is how many of the next writes take effect and then break
	// the connection in place of an answer.
	LoseReplies int `json:"lose-replies"`
}

// StoreCalls counts the calls that reached a store, as GET /calls shows them.
type StoreCalls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// get returns the value of key; a key that doesn't exist has version 0.
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
	store.note(logEntry{Key: key, Version: written.version, Data: data})
	store.announce(key)
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
	store.note(logEntry{Key: key, Version: store.revision, Removed: true})
	store.announce(key)
	return true
}

// announce wakes those who watch key. It is called with mu held.
func (store *Store) announce(key string) {
	if changed, ok := store.changed[key]; ok {
		close(changed)
		delete(store.changed, key)
	}
}

// watch returns the value of key, and channels that close at its next write
// and at the next change of faults.
func (store *Store) watch(key string) (current value, changed, faulted <-chan struct{}) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.changed == nil {
		store.changed = make(map[string]chan struct{})
	}
	if store.changed[key] == nil {
		store.changed[key] = make(chan struct{})
	}
	if store.faulted == nil {
		store.faulted = make(chan struct{})
	}
	return store.values[key], store.changed[key], store.faulted
}

// acquire grants the lease called name to holder, or renews it where holder
// has it, and reports whether it did.
func (store *Store) acquire(name, holder string, duration time.Duration, now time.Time) (grant, bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	held, ok := store.leases[name]
	ok = ok && now.Before(held.lapse)
	if ok && held.holder != holder {
		return held, false
	}
	if !ok {
		store.revision++
		held = grant{holder: holder, fence: store.revision}
	}
	held.lapse = now.Add(duration)
	if store.leases == nil {
		store.leases = make(map[string]grant)
	}
	store.leases[name] = held
	return held, true
}

// renew extends the lease with fence if it has not lapsed; a duration of 0
// ends it.
func (store *Store) renew(name string, fence uint64, duration time.Duration, now time.Time) (grant, bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	held, ok := store.leases[name]
	if !ok || held.fence != fence || !now.Before(held.lapse) {
		return held, false
	}
	held.lapse = now.Add(duration)
	store.leases[name] = held
	return held, true
}

// setFaults replaces the faults and ends all waiting watches.
func (store *Store) setFaults(faults StoreFaults) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.faults = faults
	if store.faulted != nil {
		close(store.faulted)
	}
	store.faulted = nil
}

// currentFaults returns the faults that are on.
func (store *Store) currentFaults() StoreFaults {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.faults
}

// losesReply reports whether the reply to a write is to be lost, and uses up
// one of the replies to lose.
func (store *Store) losesReply() bool {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.faults.LoseReplies == 0 {
		return false
	}
	store.faults.LoseReplies--
	return true
}

// count adds one to the calls of a sort.
func (store *Store) count(sort func(calls *StoreCalls) *int64) {
	store.mu.Lock()
	defer store.mu.Unlock()
	*sort(&store.calls)++
}

// currentCalls returns how many calls reached the store so far.
func (store *Store) currentCalls() StoreCalls {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.calls
}
