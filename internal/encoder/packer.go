package encoder

import (
	"sync"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/tracker"
)

// Packer encodes the items of updates for many peers. It caches the last
// encoding, since most peers request from the same revision at the same moment and
// each compression takes over a megabyte of memory. The zero value is ready for
// use. It is safe for concurrent use.
type Packer struct {
	// mu guards the fields below and serializes compression.
	mu sync.Mutex
	// cachedRange is the revision range of cached.
	cachedRange revisionRange
	cached      []byte
}

// revisionRange identifies the items of an update: the changes between two points of an
// era, or a complete copy at to.
type revisionRange struct {
	from, to definer.Point
	complete bool
}

// Pack returns the encoded items of update for a peer whose copy is at a point.
// Callers must not modify the result.
func (packer *Packer) Pack(from definer.Point, update tracker.Update) ([]byte, error) {
	if len(update.Items()) == 0 {
		return nil, nil
	}
	requested := revisionRange{from: from, to: update.Point(), complete: update.Complete()}
	if requested.complete {
		requested.from = definer.Point{}
	}
	packer.mu.Lock()
	defer packer.mu.Unlock()
	if packer.cachedRange == requested {
		return packer.cached, nil
	}
	encoded, err := MarshalItems(update.Items())
	if err != nil {
		return nil, err
	}
	packer.cachedRange, packer.cached = requested, encoded
	return encoded, nil
}
