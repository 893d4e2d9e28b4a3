package registrar

import (
	"slices"
	"time"
)

// Segment describes a sealed segment of a shard: an immutable value in the store
// with the records that the ledger held at one version.
type Segment struct {
	// number is the version at which the ledger was sealed.
	number uint64
	count  int
	// expires is the latest expiry of the segment's records.
	expires time.Time
}

// NewSegment returns a segment of count records sealed at version number.
func NewSegment(number uint64, count int, expires time.Time) Segment {
	return Segment{number: number, count: count, expires: expires}
}

// Number returns the version at which the ledger was sealed.
func (segment Segment) Number() uint64 { return segment.number }

// Count returns the number of records in the segment.
func (segment Segment) Count() int { return segment.count }

// Expires returns the latest expiry of the segment's records.
func (segment Segment) Expires() time.Time { return segment.expires }

// maxSegments keeps the list of segments, at most 32 bytes each, well below the
// size limit of a value in the store.
const maxSegments = 8192

// Ledger holds the newest records of a shard and the list of its sealed
// segments. The zero value is the ledger of a shard that was never written.
// [Ledger.Apply] modifies a ledger in place: if the write to the store fails, the
// ledger must be read from the store again.
type Ledger struct {
	// segments is sorted by number.
	segments []Segment
	// records holds at most one record for each key.
	records []Record
	// index maps each key to its position in records.
	index map[Key]int
	// size is an upper bound on the encoded bytes of the records.
	size int
}

// NewLedger returns a ledger that was read from the store.
func NewLedger(segments []Segment, records []Record) *Ledger {
	ledger := &Ledger{segments: segments}
	for _, record := range records {
		ledger.put(record)
	}
	return ledger
}

// Segments returns the sealed segments, oldest first; callers must not modify
// the slice.
func (ledger *Ledger) Segments() []Segment { return ledger.segments }

// Records returns the records that are not sealed; callers must not modify the
// slice.
func (ledger *Ledger) Records() []Record { return ledger.records }

// Find returns the record of key. It does not search sealed segments.
func (ledger *Ledger) Find(key Key) (Record, bool) {
	position, ok := ledger.index[key]
	if !ok {
		return Record{}, false
	}
	return ledger.records[position], true
}

// Count returns the number of records in the shard, including sealed ones.
func (ledger *Ledger) Count() int {
	count := len(ledger.records)
	for _, segment := range ledger.segments {
		count += segment.count
	}
	return count
}

// RecordBytes returns an upper bound on the encoded bytes of the records that are
// not sealed.
func (ledger *Ledger) RecordBytes() int { return ledger.size }

// Seal moves all records to a new segment numbered version, the version at which
// the store holds this ledger unmodified. The caller must have written the
// segment's records to the store before.
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

// Expire removes the records that have expired at now and reports whether there
// were any. Segments stay until [Ledger.DropSegment].
func (ledger *Ledger) Expire(now time.Time) bool {
	before := len(ledger.records)
	for position := len(ledger.records) - 1; position >= 0; position-- {
		if record := ledger.records[position]; !now.Before(record.expires) {
			ledger.remove(record.key)
		}
	}
	return len(ledger.records) < before
}

// SameRecords reports whether both ledgers hold the same unsealed claims in the
// same states.
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

// ExpiredSegment returns the first segment that has expired at now. The caller
// deletes its value from the store before it calls [Ledger.DropSegment], so that
// no unreferenced value stays in the store.
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
	matches := func(segment Segment) bool { return segment.number == number }
	ledger.segments = slices.DeleteFunc(slices.Clone(ledger.segments), matches)
}

// put inserts record or replaces the record of the same key.
func (ledger *Ledger) put(record Record) {
	if ledger.index == nil {
		ledger.index = make(map[Key]int)
	}
	if position, ok := ledger.index[record.key]; ok {
		ledger.size += record.size() - ledger.records[position].size()
		ledger.records[position] = record
		return
	}
	ledger.index[record.key] = len(ledger.records)
	ledger.records = append(ledger.records, record)
	ledger.size += record.size()
}

// remove deletes the record of key by moving the last record to its position.
func (ledger *Ledger) remove(key Key) {
	position, ok := ledger.index[key]
	if !ok {
		return
	}
	ledger.size -= ledger.records[position].size()
	last := len(ledger.records) - 1
	ledger.records[position] = ledger.records[last]
	ledger.index[ledger.records[position].key] = position
	ledger.records[last] = Record{}
	ledger.records = ledger.records[:last]
	delete(ledger.index, key)
}
