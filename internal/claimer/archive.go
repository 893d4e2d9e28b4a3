package claimer

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/chivespool/chivespool/internal/registrar"
)

// archive knows which keys the sealed segments of a shard hold. It keeps 8
// bytes for each key in memory and reads a segment again where those match.
type archive struct {
	// indexes are in the order of the ledger's segments.
	indexes []segmentIndex
}

// segmentIndex is what the archive keeps of a segment, which never changes.
type segmentIndex struct {
	number uint64
	// prefixes are the sorted prefixes of the segment's keys.
	prefixes []uint64
}

func newSegmentIndex(number uint64, records []registrar.Record) segmentIndex {
	index := segmentIndex{number: number, prefixes: make([]uint64, len(records))}
	for place, record := range records {
		index.prefixes[place] = record.Key().Prefix()
	}
	slices.Sort(index.prefixes)
	return index
}

func (segmentIndex segmentIndex) holds(key registrar.Key) bool {
	_, ok := slices.BinarySearch(segmentIndex.prefixes, key.Prefix())
	return ok
}

// found holds the records that were looked up for one batch.
type found map[registrar.Key]registrar.Record

// Find returns the record of key.
func (found found) Find(key registrar.Key) (registrar.Record, bool) {
	record, ok := found[key]
	return record, ok
}

// sync reads the segments that are not known yet and forgets those that the
// ledger no longer names. What it read stays known after an error.
func (archive *archive) sync(ctx context.Context, committer *committer, segments []registrar.Segment) error {
	if archive.knows(segments) {
		return nil
	}
	known := make(map[uint64]segmentIndex, len(archive.indexes))
	for _, index := range archive.indexes {
		known[index.number] = index
	}
	archive.indexes = archive.indexes[:0]
	for _, segment := range segments {
		index, ok := known[segment.Number()]
		if !ok {
			records, err := committer.readSegment(ctx, segment)
			if err != nil {
				return err
			}
			index = newSegmentIndex(segment.Number(), records)
		}
		archive.indexes = append(archive.indexes, index)
	}
	return nil
}

// knows reports whether the archive holds these segments. Segments are added
// at the end with rising numbers, so the last one and the count tell.
func (archive *archive) knows(segments []registrar.Segment) bool {
	last := len(segments) - 1
	if len(archive.indexes) != len(segments) {
		return false
	}
	return last < 0 || archive.indexes[last].number == segments[last].Number()
}

// find looks up the keys of requests that the ledger itself does not hold. The
// newest segment that holds a key has its latest record.
func (archive *archive) find(ctx context.Context, committer *committer, requests []registrar.Request) (found, error) {
	found := make(found)
	for _, request := range requests {
		key := request.Key()
		if _, ok := committer.ledger.Find(key); ok {
			continue
		}
		for _, index := range slices.Backward(archive.indexes) {
			if !index.holds(key) {
				continue
			}
			record, ok, err := committer.readRecord(ctx, index.number, key)
			if err != nil {
				return nil, err
			}
			if ok {
				found[key] = record
				break
			}
		}
	}
	return found, nil
}

// write puts records in the store as the segment that was sealed at version.
func (archive *archive) write(ctx context.Context, committer *committer, version uint64, records []registrar.Record) error {
	data, err := encoder.EncodeLedger(registrar.NewLedger(nil, records))
	if err != nil {
		return err
	}
	_, err = committer.store.CompareAndSwap(ctx, committer.segmentName(version), 0, data)
	if err != nil && kindOf(err) != connector.Conflict {
		return err
	}
	archive.indexes = append(archive.indexes, newSegmentIndex(version, records))
	return nil
}

// remove deletes an expired segment from the store.
func (archive *archive) remove(ctx context.Context, committer *committer, segment registrar.Segment) error {
	name := committer.segmentName(segment.Number())
	entry, err := committer.store.Get(ctx, name)
	if err != nil || entry.Version() == 0 {
		return err
	}
	return committer.store.Delete(ctx, name, entry.Version())
}

func (committer *committer) segmentName(number uint64) string {
	return fmt.Sprintf("%s/%d", committer.name, number)
}

// readRecord returns the record of key in a segment, if it is there.
func (committer *committer) readRecord(ctx context.Context, number uint64, key registrar.Key) (registrar.Record, bool, error) {
	for _, segment := range committer.ledger.Segments() {
		if segment.Number() != number {
			continue
		}
		records, err := committer.readSegment(ctx, segment)
		if err != nil {
			return registrar.Record{}, false, err
		}
		for _, record := range records {
			if record.Key() == key {
				return record, true, nil
			}
		}
	}
	return registrar.Record{}, false, nil
}

// readSegment returns the records of a segment. One that is gone holds nothing
// if it has expired; otherwise claims were lost, and the shard stays shut.
func (committer *committer) readSegment(ctx context.Context, segment registrar.Segment) ([]registrar.Record, error) {
	entry, err := committer.store.Get(ctx, committer.segmentName(segment.Number()))
	if err != nil {
		return nil, err
	}
	if entry.Version() == 0 && time.Now().Before(segment.Expires()) {
		return nil, &LostError{name: committer.segmentName(segment.Number())}
	}
	ledger, err := encoder.DecodeLedger(entry.Data())
	if err != nil {
		return nil, err
	}
	return ledger.Records(), nil
}

// LostError says that the store lost claims that still count.
type LostError struct{ name string }

// Error names the key and the remedy.
func (lostError *LostError) Error() string {
	return fmt.Sprintf("claims: the store has no value at %s; restore it, or delete the shard's key and accept that its operations may run again", lostError.name)
}
