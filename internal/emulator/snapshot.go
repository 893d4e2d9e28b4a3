package emulator

import (
	"maps"
	"slices"
	"time"
)

// Snapshot is a copy of a keyspace, from which it can be restored.
type Snapshot struct {
	revision  uint64
	pairs     map[string]Pair
	leases    map[uint64]keyLease
	lastLease uint64
	history   []Pair
	compacted uint64
}

// Snapshot returns a copy of the keyspace.
func (keyspace *Keyspace) Snapshot() *Snapshot {
	keyspace.mu.Lock()
	defer keyspace.mu.Unlock()
	keyspace.expireLeases()
	return &Snapshot{
		revision: keyspace.revision, pairs: maps.Clone(keyspace.pairs), leases: maps.Clone(keyspace.leases),
		lastLease: keyspace.lastLease, history: slices.Clone(keyspace.history), compacted: keyspace.compacted,
	}
}

// Restore replaces the content by an older copy and begins the next era: all writes and
// leases since the copy are lost, and their numbers will be used again. It restarts the
// time to live of the leases in the copy.
func (keyspace *Keyspace) Restore(snapshot *Snapshot) {
	keyspace.mu.Lock()
	defer keyspace.mu.Unlock()
	keyspace.era++
	keyspace.revision, keyspace.lastLease, keyspace.compacted = snapshot.revision, snapshot.lastLease, snapshot.compacted
	keyspace.pairs, keyspace.history = maps.Clone(snapshot.pairs), slices.Clone(snapshot.history)
	keyspace.leases = maps.Clone(snapshot.leases)
	for number, lease := range keyspace.leases {
		lease.expiry = time.Now().Add(lease.ttl)
		keyspace.leases[number] = lease
	}
	keyspace.notifyWatchers()
}

// Era returns the number of restores so far.
func (keyspace *Keyspace) Era() uint64 {
	keyspace.mu.Lock()
	defer keyspace.mu.Unlock()
	return keyspace.era
}
