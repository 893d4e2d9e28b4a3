package emulator

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Keyspace stands in for a store whose every change has a revision, whose keys
// may be under leases, and which tells the changes after a revision as long as
// it holds them. It has no interface of its own: what serves it does. The zero
// value is an empty one that keeps its history for good. It is safe for use by
// several goroutines.
type Keyspace struct {
	// mu guards all fields below.
	mu sync.Mutex
	// revision is that of the last change; it only rises.
	revision uint64
	pairs    map[string]Pair
	leases   map[uint64]keyLease
	// lastLease is the number of the newest lease; numbers only rise.
	lastLease uint64
	// history holds the changes after floor, in order.
	history []Pair
	// floor is the revision up to which the history is forgotten.
	floor uint64
	// changed is closed, and replaced, at each change.
	changed chan struct{}
	// paused is true while leases don't run out.
	paused bool
}

// Pair is a key with its value, or the removal of a key.
type Pair struct {
	key   string
	value []byte
	// revision is that of the pair's last change, created that of its creation.
	revision, created uint64
	// lease is that which the key is under; 0 for none.
	lease   uint64
	removed bool
}

// Key returns the key.
func (pair Pair) Key() string { return pair.key }

// Value returns the value; callers must not change it.
func (pair Pair) Value() []byte { return pair.value }

// Revision returns the revision of the last change; 0 for a key that never was.
func (pair Pair) Revision() uint64 { return pair.revision }

// Created returns the revision of the key's creation.
func (pair Pair) Created() uint64 { return pair.created }

// Lease returns the lease that the key is under, or 0.
func (pair Pair) Lease() uint64 { return pair.lease }

// Removed reports whether the key was removed at that revision.
func (pair Pair) Removed() bool { return pair.removed }

// keyLease is a lease that has not ended.
type keyLease struct {
	ttl   time.Duration
	lapse time.Time
}

// Change is what a commit does when all keys are at the revisions that it
// expects. The zero value changes nothing.
type Change struct {
	expected map[string]uint64
	writes   []Pair
	removals []string
}

// Expect demands that key is at revision; 0 demands that it does not exist.
func (change *Change) Expect(key string, revision uint64) {
	if change.expected == nil {
		change.expected = make(map[string]uint64)
	}
	change.expected[key] = revision
}

// Write sets key to value under lease; 0 for no lease.
func (change *Change) Write(key string, value []byte, lease uint64) {
	change.writes = append(change.writes, Pair{key: key, value: value, lease: lease})
}

// Remove removes key if it exists.
func (change *Change) Remove(key string) { change.removals = append(change.removals, key) }

// Outcome is what became of a commit.
type Outcome int

// The outcomes of a commit.
const (
	// Committed means that the whole change is made.
	Committed Outcome = iota
	// Conflicted means that a key is at another revision; nothing is changed.
	Conflicted
	// Leaseless means that a lease of the change has ended; nothing is changed.
	Leaseless
)

// Commit makes the whole change or none of it, and returns the revision of the
// keyspace.
func (keyspace *Keyspace) Commit(change Change) (Outcome, uint64) {
	keyspace.mu.Lock()
	defer keyspace.mu.Unlock()
	keyspace.lapse()
	for key, revision := range change.expected {
		if keyspace.pairs[key].revision != revision {
			return Conflicted, keyspace.revision
		}
	}
	for _, write := range change.writes {
		if _, ok := keyspace.leases[write.lease]; write.lease != 0 && !ok {
			return Leaseless, keyspace.revision
		}
	}
	if keyspace.pairs == nil {
		keyspace.pairs = make(map[string]Pair)
	}
	keyspace.revision++
	for _, write := range change.writes {
		write.revision, write.created = keyspace.revision, keyspace.revision
		if before, ok := keyspace.pairs[write.key]; ok {
			write.created = before.created
		}
		keyspace.pairs[write.key] = write
		keyspace.history = append(keyspace.history, write)
	}
	for _, key := range change.removals {
		keyspace.remove(key)
	}
	keyspace.announce()
	return Committed, keyspace.revision
}

// remove removes key at the current revision. The caller holds mu.
func (keyspace *Keyspace) remove(key string) {
	if _, ok := keyspace.pairs[key]; !ok {
		return
	}
	delete(keyspace.pairs, key)
	keyspace.history = append(keyspace.history, Pair{key: key, revision: keyspace.revision, removed: true})
}

// announce wakes those who wait for a change. The caller holds mu.
func (keyspace *Keyspace) announce() {
	if keyspace.changed != nil {
		close(keyspace.changed)
	}
	keyspace.changed = nil
}

// Pair returns the pair of key, with revision 0 where it doesn't exist, and the
// revision of the keyspace.
func (keyspace *Keyspace) Pair(key string) (Pair, uint64) {
	keyspace.mu.Lock()
	defer keyspace.mu.Unlock()
	keyspace.lapse()
	return keyspace.pairs[key], keyspace.revision
}

// Page returns up to most pairs whose keys begin with prefix and come after a
// key, in their order, whether there are more, and the keyspace's revision.
func (keyspace *Keyspace) Page(prefix, after string, most int) (pairs []Pair, more bool, revision uint64) {
	keyspace.mu.Lock()
	defer keyspace.mu.Unlock()
	keyspace.lapse()
	for _, key := range slices.Sorted(maps.Keys(keyspace.pairs)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(pairs) == most {
			return pairs, true, keyspace.revision
		}
		pairs = append(pairs, keyspace.pairs[key])
	}
	return pairs, false, keyspace.revision
}

// Changes returns the changes under prefix after a revision, in order, and the
// revision up to which they are whole. It reports false where a part of them is
// forgotten. Where there are none, changed is closed at the next change of any
// key.
func (keyspace *Keyspace) Changes(prefix string, after uint64) (changes []Pair, revision uint64, changed <-chan struct{}, ok bool) {
	keyspace.mu.Lock()
	defer keyspace.mu.Unlock()
	keyspace.lapse()
	if keyspace.changed == nil {
		keyspace.changed = make(chan struct{})
	}
	if after < keyspace.floor {
		return nil, keyspace.revision, nil, false
	}
	for _, change := range keyspace.history {
		if change.revision > after && strings.HasPrefix(change.key, prefix) {
			changes = append(changes, change)
		}
	}
	return changes, keyspace.revision, keyspace.changed, true
}

// Forget drops all history.
func (keyspace *Keyspace) Forget() {
	keyspace.mu.Lock()
	defer keyspace.mu.Unlock()
	keyspace.floor, keyspace.history = keyspace.revision, nil
}

// Grant returns the number of a new lease.
func (keyspace *Keyspace) Grant(ttl time.Duration) uint64 {
	keyspace.mu.Lock()
	defer keyspace.mu.Unlock()
	if keyspace.leases == nil {
		keyspace.leases = make(map[uint64]keyLease)
	}
	keyspace.lastLease++
	keyspace.leases[keyspace.lastLease] = keyLease{ttl: ttl, lapse: time.Now().Add(ttl)}
	return keyspace.lastLease
}

// Renew starts a lease's time anew and reports whether it had not ended.
func (keyspace *Keyspace) Renew(number uint64) (time.Duration, bool) {
	keyspace.mu.Lock()
	defer keyspace.mu.Unlock()
	keyspace.lapse()
	lease, ok := keyspace.leases[number]
	if !ok {
		return 0, false
	}
	lease.lapse = time.Now().Add(lease.ttl)
	keyspace.leases[number] = lease
	return lease.ttl, true
}

// End ends a lease, removes its keys, and reports whether it had not ended.
func (keyspace *Keyspace) End(number uint64) bool {
	keyspace.mu.Lock()
	defer keyspace.mu.Unlock()
	keyspace.lapse()
	_, ok := keyspace.leases[number]
	if ok {
		keyspace.end(number)
	}
	return ok
}

// end ends a lease and removes its keys in one change. The caller holds mu.
func (keyspace *Keyspace) end(number uint64) {
	delete(keyspace.leases, number)
	var keys []string
	for key, pair := range keyspace.pairs {
		if pair.lease == number {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	slices.Sort(keys)
	keyspace.revision++
	for _, key := range keys {
		keyspace.remove(key)
	}
	keyspace.announce()
}

// lapse ends the leases whose time is over. The caller holds mu.
func (keyspace *Keyspace) lapse() {
	if keyspace.paused {
		return
	}
	now := time.Now()
	for _, number := range slices.Sorted(maps.Keys(keyspace.leases)) {
		if now.After(keyspace.leases[number].lapse) {
			keyspace.end(number)
		}
	}
}

// Pause stops the time of all leases, or lets it run on from where it stopped
// at the last call that renewed them.
func (keyspace *Keyspace) Pause(paused bool) {
	keyspace.mu.Lock()
	defer keyspace.mu.Unlock()
	if keyspace.paused && !paused {
		for number, lease := range keyspace.leases {
			lease.lapse = time.Now().Add(lease.ttl)
			keyspace.leases[number] = lease
		}
	}
	keyspace.paused = paused
}
