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

// recentSegments is the number of a shard's newest segments whose records stay in
// memory, since most outcomes arrive soon after their claims.
const recentSegments = 4

// archive indexes the keys in the sealed segments of a shard. It keeps an 8-byte
// prefix of each key in memory and reads an older segment from the store again if
// a prefix matches.
type archive struct {
	// indexes is in the order of the ledger's segments.
	indexes []segmentIndex
}

// segmentIndex is the index of one segment; segments are immutable.
type segmentIndex struct {
	number uint64
	// prefixes are the sorted prefixes of the segment's keys.
	prefixes []uint64
	// records holds the segment's records, or is nil for an older segment.
	records *registrar.Ledger
}

func newSegmentIndex(number uint64, records []registrar.Record) segmentIndex {
	index := segmentIndex{
		number: number, prefixes: make([]uint64, len(records)), records: registrar.NewLedger(nil, records),
	}
	for position, record := range records {
		index.prefixes[position] = record.Key().Prefix()
	}
	slices.Sort(index.prefixes)
	return index
}

func (segmentIndex segmentIndex) mayContain(key registrar.Key) bool {
	_, ok := slices.BinarySearch(segmentIndex.prefixes, key.Prefix())
	return ok
}

// sealedRecords holds the records that were looked up for one batch.
type sealedRecords map[registrar.Key]registrar.Record

// Find returns the record of key.
func (sealedRecords sealedRecords) Find(key registrar.Key) (registrar.Record, bool) {
	record, ok := sealedRecords[key]
	return record, ok
}

// sync reads the segments that are not indexed yet and drops the indexes of
// segments that the ledger no longer lists. After an error, the segments read up
// to the failed one stay indexed.
func (archive *archive) sync(ctx context.Context, committer *committer, segments []registrar.Segment) error {
	if archive.inSync(segments) {
		return nil
	}
	known := make(map[uint64]segmentIndex, len(archive.indexes))
	for _, index := range archive.indexes {
		known[index.number] = index
	}
	archive.indexes = nil
	for group := range slices.Chunk(segments, parallelReads) {
		if err := archive.addAll(readAll(ctx, committer, group, known)); err != nil {
			return err
		}
	}
	return nil
}

// addAll adds segments up to the first read that failed.
func (archive *archive) addAll(segmentReads []*segmentRead) error {
	for _, segmentRead := range segmentReads {
		if segmentRead.err != nil {
			return segmentRead.err
		}
		archive.add(segmentRead.index)
	}
	return nil
}

// add appends the index of the newest segment.
func (archive *archive) add(index segmentIndex) {
	archive.indexes = append(archive.indexes, index)
	if old := len(archive.indexes) - 1 - recentSegments; old >= 0 {
		archive.indexes[old].records = nil
	}
}

// inSync reports whether the archive indexes exactly these segments.
func (archive *archive) inSync(segments []registrar.Segment) bool {
	same := func(index segmentIndex, segment registrar.Segment) bool {
		return index.number == segment.Number()
	}
	return slices.EqualFunc(archive.indexes, segments, same)
}

// find looks up the keys of requests that have no record in the ledger itself. The
// newest segment with a record of a key has the latest one.
func (archive *archive) find(ctx context.Context, committer *committer, requests []registrar.Request) (sealedRecords, error) {
	sealedRecords := make(sealedRecords)
	for _, request := range requests {
		key := request.Key()
		if _, ok := committer.ledger.Find(key); ok {
			continue
		}
		for _, index := range slices.Backward(archive.indexes) {
			if !index.mayContain(key) {
				continue
			}
			record, ok, err := committer.readRecord(ctx, index, key)
			if err != nil {
				return nil, err
			}
			if ok {
				sealedRecords[key] = record
				break
			}
		}
	}
	return sealedRecords, nil
}

// write writes records to the store as the segment sealed at version.
func (archive *archive) write(ctx context.Context, committer *committer, version uint64, records []registrar.Record) error {
	data, err := encoder.EncodeLedger(registrar.NewLedger(nil, records))
	if err != nil {
		return err
	}
	name := committer.segmentName(version)
	_, err = committer.store.CompareAndSwap(ctx, name, 0, data)
	if err != nil && kindOf(err) == connector.Conflict {
		err = committer.checkSegment(ctx, name, records)
	}
	if err != nil {
		return err
	}
	archive.add(newSegmentIndex(version, records))
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

// readRecord returns the record of key in a segment, if the segment has one.
func (committer *committer) readRecord(ctx context.Context, index segmentIndex, key registrar.Key) (registrar.Record, bool, error) {
	if index.records != nil {
		record, ok := index.records.Find(key)
		return record, ok, nil
	}
	for _, segment := range committer.ledger.Segments() {
		if segment.Number() != index.number {
			continue
		}
		records, err := committer.readSegment(ctx, segment)
		if err != nil {
			return registrar.Record{}, false, err
		}
		record, ok := registrar.NewLedger(nil, records).Find(key)
		return record, ok, nil
	}
	return registrar.Record{}, false, nil
}

// readSegment returns the records of a segment. A missing segment is empty if it
// has expired; otherwise claims were lost, and the shard serves no requests.
func (committer *committer) readSegment(ctx context.Context, segment registrar.Segment) ([]registrar.Record, error) {
	entry, err := committer.store.Get(ctx, committer.segmentName(segment.Number()))
	if err != nil {
		return nil, err
	}
	if entry.Version() == 0 && time.Now().Before(segment.Expires()) {
		return nil, &DataLossError{name: committer.segmentName(segment.Number())}
	}
	ledger, err := encoder.DecodeLedger(entry.Data())
	if err != nil {
		return nil, err
	}
	return ledger.Records(), nil
}

// checkSegment returns an error unless the segment at name, written by another
// host or an earlier attempt, holds the same records.
func (committer *committer) checkSegment(ctx context.Context, name string, records []registrar.Record) error {
	entry, err := committer.store.Get(ctx, name)
	if err != nil {
		return err
	}
	ledger, err := encoder.DecodeLedger(entry.Data())
	if err != nil {
		return err
	}
	if !ledger.SameRecords(registrar.NewLedger(nil, records)) {
		return &DataLossError{name: name}
	}
	return nil
}

// DataLossError means that the store lost claims that have not expired: a value is
// missing, or the versions of a shard's key restarted.
type DataLossError struct{ name string }

// Error returns a message with the key and the remedy.
func (dataLossError *DataLossError) Error() string {
	return fmt.Sprintf("claims: the store lost what was at %s; restore it, or delete all keys of the shard and accept that its operations may run again", dataLossError.name)
}
