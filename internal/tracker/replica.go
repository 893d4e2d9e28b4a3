package tracker

import "slices"

// logMost bounds the changes that a copy keeps for peers that are behind; one
// that is further behind gets the whole copy.
const logMost = 1024

// replica is a copy of parts of the store, whole up to a revision. It decides
// what a change or a reading is worth and does no I/O. The zero value is the
// empty copy at revision 0, to be filled by a whole reading.
type replica struct {
	// revision is that up to which the copy is whole; it only rises.
	revision uint64
	// items holds the keys that exist.
	items map[string]Item
	// log holds the last changes in order, without a gap from since on.
	log   []Item
	since uint64
}

// apply takes in the changes from the copy's revision up to upTo, and reports
// whether they are all there: each revision in between changed some key.
func (replica *replica) apply(changes []Item, upTo uint64) bool {
	if upTo <= replica.revision {
		return true
	}
	seen := make(map[uint64]bool, len(changes))
	for _, change := range changes {
		seen[change.revision] = true
	}
	for revision := replica.revision + 1; revision <= upTo; revision++ {
		if !seen[revision] {
			return false
		}
	}
	for _, change := range changes {
		if change.revision > replica.revision && change.revision <= upTo {
			replica.set(change)
		}
	}
	replica.revision = upTo
	return true
}

// set puts one change in force. A key never goes back to an older revision.
func (replica *replica) set(change Item) {
	if old, ok := replica.items[change.key]; ok && old.revision > change.revision {
		return
	}
	if change.removed {
		delete(replica.items, change.key)
	} else {
		replica.put(change)
	}
	replica.log = append(replica.log, change)
	if extra := len(replica.log) - logMost; extra > 0 {
		replica.since = replica.log[extra-1].revision
		replica.log = slices.Clone(replica.log[extra:])
	}
}

func (replica *replica) put(item Item) {
	if replica.items == nil {
		replica.items = make(map[string]Item)
	}
	replica.items[item.key] = item
}

// replace takes in a whole reading that is at least as new as revision. It
// reports whether the reading is newer than the copy.
func (replica *replica) replace(items []Item, revision uint64) bool {
	if revision <= replica.revision {
		return false
	}
	replica.items = nil
	for _, item := range items {
		replica.put(item)
	}
	replica.revision = revision
	replica.log = nil
	replica.since = revision
	return true
}

// after returns the changes after revision; whole is true where they are all
// items instead, since the changes are not kept from there.
func (replica *replica) after(revision uint64) (items []Item, whole bool) {
	if revision >= replica.revision {
		return nil, false
	}
	if revision < replica.since || replica.since == 0 && revision == 0 {
		for _, item := range replica.items {
			items = append(items, item)
		}
		return items, true
	}
	for _, change := range replica.log {
		if change.revision > revision {
			items = append(items, change)
		}
	}
	return items, false
}
