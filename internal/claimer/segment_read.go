package claimer

import (
	"context"

	"github.com/chivespool/chivespool/internal/registrar"
)

// parallelReads is the number of segments that a shard reads in parallel when a
// host takes the shard over; at 3 ms a read, that stays below the store's limit of
// 2,000 reads per second.
const parallelReads = 4

// segmentRead is one read of a segment from the store.
type segmentRead struct {
	committer *committer
	segment   registrar.Segment
	// done is closed once index and err are set.
	done  chan struct{}
	index segmentIndex
	err   error
}

// readAll returns the reads of segments, in order, once all have ended. It takes
// the indexes that are in known and reads the other segments in parallel.
func readAll(ctx context.Context, committer *committer, segments []registrar.Segment, known map[uint64]segmentIndex) []*segmentRead {
	segmentReads := make([]*segmentRead, len(segments))
	for position, segment := range segments {
		segmentRead := &segmentRead{committer: committer, segment: segment, done: make(chan struct{})}
		segmentReads[position] = segmentRead
		if index, ok := known[segment.Number()]; ok {
			segmentRead.index = index
			close(segmentRead.done)
			continue
		}
		go segmentRead.run(ctx)
	}
	for _, segmentRead := range segmentReads {
		<-segmentRead.done
	}
	return segmentReads
}

func (segmentRead *segmentRead) run(ctx context.Context) {
	defer close(segmentRead.done)
	records, err := segmentRead.committer.readSegment(ctx, segmentRead.segment)
	if err != nil {
		segmentRead.err = err
		return
	}
	segmentRead.index = newSegmentIndex(segmentRead.segment.Number(), records)
}
