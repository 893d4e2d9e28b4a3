package tracker

import (
	"slices"

	"github.com/chivespool/chivespool/internal/definer"
)

// maxLogged bounds the changes that a replica keeps for peers that are behind;
// a peer further behind gets a complete copy. Of each key only the last change has a
// value, so that the log holds no values besides those of the copy.
const maxLogged = 1024

// replica is a copy of parts of the store, complete up to a point. It
// decides whether a change or a scan is newer than the copy, and does no I/O.
// The zero value is the empty copy at revision 0 of era 0, to be filled by a scan.
type replica struct {
	// point is the point up to which the copy is complete; it only rises. All items and
	// all of the log belong to its era.
	point definer.Point
	// items holds the existing keys.
	items map[string]Item
	// log holds the last changes in order: all after revision since. A change that a
	// later one in the log supersedes is kept as a removal, without its value: the
	// changes after any revision include the later one and are applied together.
	log   []Item
	since uint64
}

// apply applies the changes after the replica's revision up to upTo, if they are
// of the same era and complete: each of these revisions has a change. It reports
// whether they are.
func (replica *replica) apply(changes []Item, upTo definer.Point) bool {
	if upTo.Era() != replica.point.Era() {
		return false
	}
	known, last := replica.point.Revision(), upTo.Revision()
	if last <= known {
		return true
	}
	seen := make(map[uint64]bool, len(changes))
	for _, change := range changes {
		seen[change.revision] = true
	}
	for revision := known + 1; revision <= last; revision++ {
		if !seen[revision] {
			return false
		}
	}
	for _, change := range changes {
		if change.revision > known && change.revision <= last {
			replica.applyChange(change)
		}
	}
	replica.point = upTo
	return true
}

// applyChange applies one change. A key never returns to an older revision.
func (replica *replica) applyChange(change Item) {
	if old, ok := replica.items[change.key]; ok && old.revision > change.revision {
		return
	}
	if change.removed {
		delete(replica.items, change.key)
	} else {
		replica.put(change)
	}
	replica.supersede(change.key)
	replica.log = append(replica.log, change)
	if extra := len(replica.log) - maxLogged; extra > 0 {
		replica.since = replica.log[extra-1].revision
		replica.log = slices.Clone(replica.log[extra:])
	}
}

// supersede drops the value of the last change to key in the log.
func (replica *replica) supersede(key string) {
	for index := len(replica.log) - 1; index >= 0; index-- {
		if logged := replica.log[index]; logged.key == key {
			replica.log[index] = RemovedItem(key, logged.revision)
			return
		}
	}
}

func (replica *replica) put(item Item) {
	if replica.items == nil {
		replica.items = make(map[string]Item)
	}
	replica.items[item.key] = item
}

// replace replaces the copy by a scan whose items are at least as new as
// point, if that is after the copy's. It reports whether it is.
func (replica *replica) replace(items []Item, point definer.Point) bool {
	if !point.After(replica.point) {
		return false
	}
	replica.items = nil
	for _, item := range items {
		replica.put(item)
	}
	replica.point = point
	replica.log = nil
	replica.since = point.Revision()
	return true
}

// changesAfter returns the changes after a point. If the log does not reach
// back that far, or the point is of an earlier era, it returns all items, and complete
// is true.
func (replica *replica) changesAfter(after definer.Point) (items []Item, complete bool) {
	if !replica.point.After(after) {
		return nil, false
	}
	revision := after.Revision()
	if after.Era() < replica.point.Era() || revision < replica.since || replica.since == 0 && revision == 0 {
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
