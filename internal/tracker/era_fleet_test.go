package tracker

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// TestFleetEntersEra restores the store from an older copy while some hosts can't read it,
// some read it slowly, some have no peers and one starts. No host may return to what the
// copy brings back or drop what it has lost, and all must have the same copy in the end,
// with few reads of the whole store.
func TestFleetEntersEra(t *testing.T) {
	for seed := range uint64(12) {
		withFleet(t, 3, func(t *testing.T, fleet *fleet) {
			random, store := rand.New(rand.NewPCG(seed, 2)), fleet.store
			for _, name := range []string{"drains", "left", "live"} {
				store.write("endpoints/"+name, "ledger ready 1")
			}
			time.Sleep(changeBound)
			copied := store.revision
			store.write("table", "2")
			store.write("evacuate/one", "")
			store.write("endpoints/new", "ledger ready 1")
			store.write("endpoints/drains", "ledger draining 1")
			store.remove("endpoints/left")
			store.remove("hosts/host-0-0-0")
			store.write("hosts/host-0-0-0", "host-0-0-0 region-0 centre-0-0")
			time.Sleep(changeBound)
			old := slices.Sorted(maps.Keys(fleet.trackers))
			store.set(func(store *fakeStore) { store.down = true })
			time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
			for _, host := range old {
				switch random.IntN(6) {
				case 0:
					store.set(func(store *fakeStore) { store.refused[host] = true })
				case 1:
					store.set(func(store *fakeStore) { store.delays[host] = time.Duration(random.IntN(600)) * time.Millisecond })
				case 2:
					fleet.mu.Lock()
					for _, peer := range old {
						fleet.cut[[2]string{host, peer}] = true
					}
					fleet.mu.Unlock()
				}
			}
			store.set(func(store *fakeStore) { store.restore(copied); store.down = false })
			start := time.Now()
			late := definer.NewHost("late", "late", "late", definer.NewPlace("region-0", "centre-0-0"), 1)
			lateTick := random.IntN(70)
			for tick := range 300 {
				switch tick {
				case lateTick:
					fleet.start("late", New(late, &storeClient{fakeStore: store, host: "late"}, &peerClient{fleet, "late"}, textDecoder{},
						NewKeys("table", "endpoints/", "hosts/"), changeBound, discardJournal{}))
				case 75:
					store.write("endpoints/live", "ledger ready 1")
					store.write("endpoints/drains", "ledger draining 1")
					store.write("endpoints/new", "ledger ready 1")
				case 100:
					store.write("evacuate/one", "")
					store.write("table", "2")
					store.remove("endpoints/left")
				}
				for _, name := range old {
					view := fleet.trackers[name].View()
					names := slices.Sorted(maps.Keys(view.Names()))
					if view.Table().Version() != 2 || !view.Evacuated("one") || !slices.Equal(names, []string{"live", "new"}) {
						t.Fatalf("seed %d: %v after the restore, %s has version %d, the endpoints %v, evacuated: %v",
							seed, time.Since(start), name, view.Table().Version(), names, view.Evacuated("one"))
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
			for name, tracker := range fleet.trackers {
				if view := tracker.View(); view.Point() != store.point() || view.Table().Version() != 2 {
					t.Errorf("seed %d: %s is at %v with version %d, want %v and 2", seed, name, view.Point(), view.Table().Version(), store.point())
				}
			}
		})
	}
}
