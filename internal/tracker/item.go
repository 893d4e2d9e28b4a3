package tracker

// Item is a key of the platform's store with its value, or its removal.
type Item struct {
	key   string
	value []byte
	// revision is the revision of the last change to the key; it only rises.
	revision uint64
	// lease is the lease that the key is attached to; 0 for none.
	lease uint64
	// removed is true where the key was removed at revision.
	removed bool
}

// NewItem returns a key with its value.
func NewItem(key string, value []byte, revision uint64) Item {
	return Item{key: key, value: value, revision: revision}
}

// RemovedItem returns a key that was removed at revision.
func RemovedItem(key string, revision uint64) Item {
	return Item{key: key, revision: revision, removed: true}
}

// Key returns the key.
func (item Item) Key() string { return item.key }

// Value returns the value; callers must not change it.
func (item Item) Value() []byte { return item.value }

// Revision returns the revision of the last change to the key.
func (item Item) Revision() uint64 { return item.revision }

// Removed reports whether the key was removed at that revision.
func (item Item) Removed() bool { return item.removed }

// Lease returns the lease that the key is attached to, or 0.
func (item Item) Lease() uint64 { return item.lease }

// WithLease returns a copy that is attached to a lease.
func (item Item) WithLease(lease uint64) Item {
	item.lease = lease
	return item
}
