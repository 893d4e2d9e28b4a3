package encoder

import (
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/tracker"
)

// TestPackerEncodesOnce guards against compressing the same update for each peer.
// When fifty peers of a data centre ask for a change at once, that takes over a
// megabyte each, 60 MB on the busiest of 300 hosts.
func TestPackerEncodesOnce(t *testing.T) {
	var packer Packer
	items := []tracker.Item{tracker.NewItem("op", []byte("value"), 8)}
	update := tracker.NewUpdate(definer.NewPoint(0, 8), time.Second, 1, false, items)
	first, err := packer.Pack(definer.NewPoint(0, 7), update)
	if err != nil {
		t.Fatal(err)
	}
	allocations := testing.AllocsPerRun(50, func() {
		again, err := packer.Pack(definer.NewPoint(0, 7), update)
		if err != nil || &again[0] != &first[0] {
			t.Error("same update is encoded again")
		}
	})
	if allocations > 0 {
		t.Errorf("%v allocations for a cached update", allocations)
	}
	for name, other := range map[string]struct {
		revision uint64
		update   tracker.Update
	}{
		"from another revision": {6, tracker.NewUpdate(definer.NewPoint(0, 8), 0, 1, false, append([]tracker.Item{tracker.RemovedItem("b", 7)}, items...))},
		"to another revision":   {7, tracker.NewUpdate(definer.NewPoint(0, 9), 0, 1, false, append(items, tracker.RemovedItem("b", 9)))},
		"whole":                 {7, tracker.NewUpdate(definer.NewPoint(0, 8), 0, 1, true, append(items, tracker.NewItem("b", nil, 3)))},
		"whole in another era":  {7, tracker.NewUpdate(definer.NewPoint(1, 8), 0, 1, true, append(items, tracker.NewItem("c", nil, 4), tracker.NewItem("d", nil, 5)))},
	} {
		packed, err := packer.Pack(definer.NewPoint(0, other.revision), other.update)
		if err != nil {
			t.Fatal(err)
		}
		if found, err := UnmarshalItems(packed); err != nil || len(found) != len(other.update.Items()) {
			t.Errorf("%s: %d items, %v; want %d", name, len(found), err, len(other.update.Items()))
		}
	}
	if packed, err := packer.Pack(definer.NewPoint(0, 8), tracker.NewUpdate(definer.NewPoint(0, 8), 0, 2, false, nil)); err != nil || packed != nil {
		t.Errorf("empty update is encoded as %v, %v", packed, err)
	}
}
