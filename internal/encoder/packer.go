package encoder

import (
	"sync"

	"github.com/chivespool/chivespool/internal/tracker"
)

// Packer encodes the items of news for many peers. Most of them ask from the
// same revision at the same moment, and compressing takes over a megabyte of
// memory each time, so that what was made last is kept. The zero value is ready.
// It is safe for use by several goroutines.
type Packer struct {
	// mu guards the fields below, and lets one task at a time compress.
	mu sync.Mutex
	// made says what packed holds.
	made   packed
	packed []byte
}

// packed names the items of news: all that there are at a revision, or the
// changes after another one.
type packed struct {
	from, to uint64
	whole    bool
}

// Pack returns the encoded items of update for a peer whose copy is at revision;
// callers must not change them.
func (packer *Packer) Pack(revision uint64, update tracker.Update) ([]byte, error) {
	if len(update.Items()) == 0 {
		return nil, nil
	}
	wanted := packed{from: revision, to: update.Revision(), whole: update.Complete()}
	if wanted.whole {
		wanted.from = 0
	}
	packer.mu.Lock()
	defer packer.mu.Unlock()
	if packer.made == wanted {
		return packer.packed, nil
	}
	made, err := MarshalItems(update.Items())
	if err != nil {
		return nil, err
	}
	packer.made, packer.packed = wanted, made
	return made, nil
}
