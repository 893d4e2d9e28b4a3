package emulator

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Keyspace emulates a store in which every change has a revision, keys may be
// attached to leases, and the changes after a revision can be read until they are
// compacted. Package platform serves it over HTTP. The zero value is empty and
// retains its history until Compact is called. It is safe for concurrent use.
type Keyspace struct {
	// mu guards all fields below.
	mu sync.Mutex
	// revision is the revision of the last change; it decreases only with a new era.
	revision uint64
	pairs    map[string]Pair
	leases   map[uint64]keyLease
	// lastLease is the number of the newest lease; numbers are reused only in a new era.
	lastLease uint64
	// history holds the changes after compacted, in order.
	history []Pair
	// compacted is the revision up to which the history has been dropped.
	compacted uint64
	// changed is closed and dropped at each change.
	changed chan struct{}
	// paused is true while leases do not expire.
	paused bool
	// era counts the restores; it only rises.
	era uint64
}

// Pair is a key with its value, or the removal of a key.
type Pair struct {
	key   string
	value []byte
	// revision is the revision of the last change, created that of the creation.
	revision, created uint64
	// lease is the number of the lease that the key is attached to; 0 for none.
	lease   uint64
	removed bool
}

// Key returns the key of the pair.
func (pair Pair) Key() string { return pair.key }

// Value returns the value; callers must not change it.
func (pair Pair) Value() []byte { return pair.value }

// Revision returns the revision of the last change; 0 for a key that does not
// exist.
func (pair Pair) Revision() uint64 { return pair.revision }

// Created returns the revision of the key's creation.
func (pair Pair) Created() uint64 { return pair.created }

// Lease returns the lease that the key is attached to, or 0.
func (pair Pair) Lease() uint64 { return pair.lease }

// Removed reports whether the key was removed at that revision.
func (pair Pair) Removed() bool { return pair.removed }

// keyLease is a lease that has not ended.
type keyLease struct {
	ttl    time.Duration
	expiry time.Time
}

// Change is a transaction that is applied if all keys are at the expected
// revisions. The zero value changes nothing.
type Change struct {
	expected map[string]uint64
	writes   []Pair
	removals []string
}

// Expect requires key to be at revision; 0 requires that it does not exist.
func (change *Change) Expect(key string, revision uint64) {
	if change.expected == nil {
		change.expected = make(map[string]uint64)
	}
	change.expected[key] = revision
}

// Write sets key to value and attaches it to lease; 0 for no lease.
func (change *Change) Write(key string, value []byte, lease uint64) {
	change.writes = append(change.writes, Pair{key: key, value: value, lease: lease})
}

// Remove removes key if it exists.
func (change *Change) Remove(key string) { change.removals = append(change.removals, key) }

// Outcome is the result of a commit.
type Outcome int

// The outcomes of a commit.
const (
	// Committed means that the complete change was applied.
	Committed Outcome = iota
	// Conflicted means that a key is at another revision; nothing was changed.
	Conflicted
	// LeaseEnded means that a lease of the change has ended; nothing was changed.
	LeaseEnded
)

// Commit applies change atomically and returns the outcome and the revision of
// the keyspace.
func (keyspace *Keyspace) Commit(change Change) (Outcome, uint64) {
	keyspace.mu.Lock()
	defer keyspace.mu.Unlock()
	keyspace.expireLeases()
	for key, revision := range change.expected {
		if keyspace.pairs[key].revision != revision {
			return Conflicted, keyspace.revision
		}
	}
	for _, write := range change.writes {
		if _, ok := keyspace.leases[write.lease]; write.lease != 0 && !ok {
			return LeaseEnded, keyspace.revision
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
	keyspace.notifyWatchers()
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

// notifyWatchers wakes the callers that wait for a change. The caller holds mu.
func (keyspace *Keyspace) notifyWatchers() {
	if keyspace.changed != nil {
		close(keyspace.changed)
	}
	keyspace.changed = nil
}

// Pair returns the pair of key, with revision 0 if it does not exist, and the
// revision of the keyspace.
func (keyspace *Keyspace) Pair(key string) (Pair, uint64) {
	keyspace.mu.Lock()
	defer keyspace.mu.Unlock()
	keyspace.expireLeases()
	return keyspace.pairs[key], keyspace.revision
}

// Page returns up to limit pairs whose keys begin with prefix and sort after the
// key after, in order, whether there are more, and the keyspace's revision.
func (keyspace *Keyspace) Page(prefix, after string, limit int) (pairs []Pair, more bool, revision uint64) {
	keyspace.mu.Lock()
	defer keyspace.mu.Unlock()
	keyspace.expireLeases()
	for _, key := range slices.Sorted(maps.Keys(keyspace.pairs)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(pairs) == limit {
			return pairs, true, keyspace.revision
		}
		pairs = append(pairs, keyspace.pairs[key])
	}
	return pairs, false, keyspace.revision
}

// Changes returns the changes under prefix after a revision, in order, and the
// revision up to which they are complete. It reports false if some of them have
// been dropped from the history, or if the keyspace does not have that revision. The
// channel changed is closed at the next change of any key and at a restore.
func (keyspace *Keyspace) Changes(prefix string, after uint64) (changes []Pair, revision uint64, changed <-chan struct{}, ok bool) {
	keyspace.mu.Lock()
	defer keyspace.mu.Unlock()
	keyspace.expireLeases()
	if keyspace.changed == nil {
		keyspace.changed = make(chan struct{})
	}
	if after < keyspace.compacted || after > keyspace.revision {
		return nil, keyspace.revision, nil, false
	}
	for _, change := range keyspace.history {
		if change.revision > after && strings.HasPrefix(change.key, prefix) {
			changes = append(changes, change)
		}
	}
	return changes, keyspace.revision, keyspace.changed, true
}

// Compact drops the history up to the current revision.
func (keyspace *Keyspace) Compact() {
	keyspace.mu.Lock()
	defer keyspace.mu.Unlock()
	keyspace.compacted, keyspace.history = keyspace.revision, nil
}

// Grant creates a lease that lasts for ttl and returns its number.
func (keyspace *Keyspace) Grant(ttl time.Duration) uint64 {
	keyspace.mu.Lock()
	defer keyspace.mu.Unlock()
	if keyspace.leases == nil {
		keyspace.leases = make(map[uint64]keyLease)
	}
	keyspace.lastLease++
	keyspace.leases[keyspace.lastLease] = keyLease{ttl: ttl, expiry: time.Now().Add(ttl)}
	return keyspace.lastLease
}

// Renew restarts the time to live of a lease, returns it, and reports whether the
// lease still existed.
func (keyspace *Keyspace) Renew(number uint64) (time.Duration, bool) {
	keyspace.mu.Lock()
	defer keyspace.mu.Unlock()
	keyspace.expireLeases()
	lease, ok := keyspace.leases[number]
	if !ok {
		return 0, false
	}
	lease.expiry = time.Now().Add(lease.ttl)
	keyspace.leases[number] = lease
	return lease.ttl, true
}

// End ends a lease, removes its keys, and reports whether the lease still existed.
func (keyspace *Keyspace) End(number uint64) bool {
	keyspace.mu.Lock()
	defer keyspace.mu.Unlock()
	keyspace.expireLeases()
	_, ok := keyspace.leases[number]
	if ok {
		keyspace.end(number)
	}
	return ok
}

// end ends a lease and removes its keys in one revision. The caller holds mu.
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
	keyspace.notifyWatchers()
}

// expireLeases ends the leases whose time to live is over. The caller holds mu.
func (keyspace *Keyspace) expireLeases() {
	if keyspace.paused {
		return
	}
	now := time.Now()
	for _, number := range slices.Sorted(maps.Keys(keyspace.leases)) {
		if now.After(keyspace.leases[number].expiry) {
			keyspace.end(number)
		}
	}
}

// PauseLeases suspends the expiry of all leases. Resuming it restarts the time to
// live of every lease.
func (keyspace *Keyspace) PauseLeases(paused bool) {
	keyspace.mu.Lock()
	defer keyspace.mu.Unlock()
	if keyspace.paused && !paused {
		for number, lease := range keyspace.leases {
			lease.expiry = time.Now().Add(lease.ttl)
			keyspace.leases[number] = lease
		}
	}
	keyspace.paused = paused
}
