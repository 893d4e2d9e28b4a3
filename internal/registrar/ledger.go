package registrar

import (
	"slices"
	"time"
)

// Segment describes a sealed part of a shard: an immutable value of the store
// that holds the records which the ledger held at one version.
type Segment struct {
	// number is the version of the ledger that was sealed.
	number uint64
	count  int
	// expires is when the last of its records expires.
	expires time.Time
}

// NewSegment returns the segment that was sealed at version number.
func NewSegment(number uint64, count int, expires time.Time) Segment {
	return Segment{number: number, count: count, expires: expires}
}

// Number returns the version of the ledger that was sealed.
func (segment Segment) Number() uint64 { return segment.number }

// Count returns how many records the segment holds.
func (segment Segment) Count() int { return segment.count }

// Expires returns when the last of the segment's records expires.
func (segment Segment) Expires() time.Time { return segment.expires }

// maxSegments keeps the list of segments, at most 32 bytes each, well below the
// bound of the store's values.
const maxSegments = 8192

// Ledger holds the newest records of a shard and the list of its sealed
// segments. The zero value is the ledger of a shard that was never written.
// [Ledger.Rule] changes a ledger in place: one that could not be written must
// be read from the store again.
type Ledger struct {
	// segments are in the order of their numbers.
	segments []Segment
	// records holds at most one record for each key.
	records []Record
	// index says where in records a key is.
	index map[Key]int
	// size bounds the encoded bytes of the records.
	size int
}

// NewLedger returns a ledger, as read from the store.
func NewLedger(segments []Segment, records []Record) *Ledger {
	ledger := &Ledger{segments: segments}
	for _, record := range records {
		ledger.put(record)
	}
	return ledger
}

// Segments returns the sealed segments, oldest first; callers must not change
// the slice.
func (ledger *Ledger) Segments() []Segment { return ledger.segments }

// Records returns the records; callers must not change the slice.
func (ledger *Ledger) Records() []Record { return ledger.records }

// Find returns the record of key, if it is not in a sealed segment only.
func (ledger *Ledger) Find(key Key) (Record, bool) {
	place, ok := ledger.index[key]
	if !ok {
		return Record{}, false
	}
	return ledger.records[place], true
}

// Count returns how many records the shard holds, sealed ones included.
func (ledger *Ledger) Count() int {
	count := len(ledger.records)
	for _, segment := range ledger.segments {
		count += segment.count
	}
	return count
}

// RecordBytes bounds the encoded bytes of the records.
func (ledger *Ledger) RecordBytes() int { return ledger.size }

// Seal empties the ledger into a segment that is numbered by version, the
// version at which the store holds the ledger unchanged. The caller has
// written the records there before.
func (ledger *Ledger) Seal(version uint64) {
	var expires time.Time
	for _, record := range ledger.records {
		if record.expires.After(expires) {
			expires = record.expires
		}
	}
	segment := NewSegment(version, len(ledger.records), expires)
	ledger.segments = append(slices.Clip(ledger.segments), segment)
	ledger.records = nil
	ledger.index = nil
	ledger.size = 0
}

// Expire drops the records that no longer count at now and reports whether
// there were any. Segments stay until [Ledger.DropSegment].
func (ledger *Ledger) Expire(now time.Time) bool {
	before := len(ledger.records)
	for place := len(ledger.records) - 1; place >= 0; place-- {
		if record := ledger.records[place]; !now.Before(record.expires) {
			ledger.remove(record.key)
		}
	}
	return len(ledger.records) < before
}

// SameRecords reports whether both ledgers hold the same claims in the same
// states.
func (ledger *Ledger) SameRecords(other *Ledger) bool {
	if len(ledger.records) != len(other.records) {
		return false
	}
	for _, record := range ledger.records {
		match, ok := other.Find(record.key)
		if !ok || match.id != record.id || match.state != record.state {
			return false
		}
	}
	return true
}

// ExpiredSegment returns the first segment that no longer counts at now. Its
// value is deleted from the store before the ledger drops it, so that none is
// left behind.
func (ledger *Ledger) ExpiredSegment(now time.Time) (Segment, bool) {
	for _, segment := range ledger.segments {
		if !now.Before(segment.expires) {
			return segment, true
		}
	}
	return Segment{}, false
}

// DropSegment removes the segment from the list.
func (ledger *Ledger) DropSegment(number uint64) {
	gone := func(segment Segment) bool { return segment.number == number }
	ledger.segments = slices.DeleteFunc(slices.Clone(ledger.segments), gone)
}

// put sets the record of its key.
func (ledger *Ledger) put(record Record) {
	if ledger.index == nil {
		ledger.index = make(map[Key]int)
	}
	if place, ok := ledger.index[record.key]; ok {
		ledger.size += record.size() - ledger.records[place].size()
		ledger.records[place] = record
		return
	}
	ledger.index[record.key] = len(ledger.records)
	ledger.records = append(ledger.records, record)
	ledger.size += record.size()
}

// remove forgets the record of key; the last record takes its place.
func (ledger *Ledger) remove(key Key) {
	place, ok := ledger.index[key]
	if !ok {
		return
	}
	ledger.size -= ledger.records[place].size()
	last := len(ledger.records) - 1
	ledger.records[place] = ledger.records[last]
	ledger.index[ledger.records[place].key] = place
	ledger.records[last] = Record{}
	ledger.records = ledger.records[:last]
	delete(ledger.index, key)
}
