package tracker

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/chivespool/chivespool/internal/definer"
)

// TestLogHoldsNoSupersededValues applies many versions of one large value. The log for
// peers kept each of them, until the platform ended the process for its memory
// (review/4).
func TestLogHoldsNoSupersededValues(t *testing.T) {
	const valueBytes, versions = 64 << 10, 3 * maxLogged
	var replica replica
	replica.replace([]Item{NewItem("table", nil, 1)}, definer.NewPoint(0, 1))
	for revision := uint64(2); revision < versions; revision++ {
		key := "table"
		if revision%8 == 0 {
			key = "hosts/" + fmt.Sprint(revision%64)
		}
		if !replica.apply([]Item{NewItem(key, make([]byte, valueBytes), revision)}, definer.NewPoint(0, revision)) {
			t.Fatalf("revision %d was not applied", revision)
		}
	}
	held := 0
	for _, change := range replica.log {
		held += len(change.value)
	}
	if current := len(replica.items) * valueBytes; held > current {
		t.Errorf("the log holds values of %d bytes, want at most the %d of the copy", held, current)
	}
}

// TestChangesOfPeers applies random changes to a replica and passes them on along a
// chain of peers that ask at random moments. Each peer must have an equal copy once it
// has asked, also where it got only the last of several changes to a key.
func TestChangesOfPeers(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 0))
		chain := make([]replica, 4)
		for index := range chain {
			chain[index].replace([]Item{NewItem("a", []byte("0"), 1)}, definer.NewPoint(0, 1))
		}
		for revision := uint64(2); revision < 400; revision++ {
			key := string(rune('a' + random.IntN(6)))
			change := NewItem(key, []byte(fmt.Sprint(revision)), revision)
			if random.IntN(4) == 0 {
				change = RemovedItem(key, revision)
			}
			if !chain[0].apply([]Item{change}, definer.NewPoint(0, revision)) {
				t.Fatalf("seed %d: revision %d was not applied", seed, revision)
			}
			for index := 1; index < len(chain); index++ {
				parent, peer := &chain[index-1], &chain[index]
				if random.IntN(8) > 0 {
					continue
				}
				changes, complete := parent.changesAfter(peer.point)
				if complete || !peer.apply(changes, parent.point) {
					t.Fatalf("seed %d: peer %d could not apply the changes from %d to %d", seed, index, peer.point.Revision(), parent.point.Revision())
				}
				if !maps.EqualFunc(parent.items, peer.items, equalItems) {
					t.Fatalf("seed %d: at revision %d, peer %d has %v, want %v", seed, revision, index, peer.items, parent.items)
				}
			}
		}
	}
}

func equalItems(a, b Item) bool { return a.revision == b.revision && slices.Equal(a.value, b.value) }
