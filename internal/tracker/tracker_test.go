package tracker

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// TestChangeAfterOutage has the store out for long enough that every host has
// tried it in vain. Hosts then asked each other in circles, and a reply that
// was held back told the age from before the hold, so that the circle took its
// own old copy for proved (seen on the users' bench as CONFIG).
func TestChangeAfterOutage(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, fleet *fleet) {
		fleet.store.set(func(store *fakeStore) { store.down = true })
		time.Sleep(5 * time.Second)
		fleet.store.set(func(store *fakeStore) { store.down = false })
		for version := uint64(2); version < 12; version++ {
			time.Sleep(fleetBound)
			fleet.store.write("table", fmt.Sprint(version))
			time.Sleep(fleetBound)
			if behind := fleet.behind(version); len(behind) > 0 && version > 2 {
				t.Fatalf("version %d is not known to %v", version, behind)
			}
		}
	})
}

// TestChangesAfterShortOutage has the store out for about as long as a call is
// waited for, and writes on all the while. Once the store has been back for a
// while, each change must be in force within the bound. A host that had passed
// its peers over, and so stood above them all, still kept to the pause that it
// had taken after its own reading had failed (seed 18 of the soak).
func TestChangesAfterShortOutage(t *testing.T) {
	const calm, writing = 3 * time.Second, 250 * time.Millisecond
	for _, layout := range []layout{{1, 1, 5}, {1, 1, 14}, {3, 2, 3}} {
		for outage := 200 * time.Millisecond; outage < 3*time.Second; outage += 200 * time.Millisecond {
			inBubbleOf(t, layout, func(t *testing.T, fleet *fleet) {
				fleet.store.set(func(store *fakeStore) { store.down = true })
				time.Sleep(outage)
				fleet.store.set(func(store *fakeStore) { store.down = false })
				back, version := time.Now(), uint64(1)
				written := map[uint64]time.Time{}
				for time.Since(back) < calm+3*time.Second {
					version++
					fleet.store.write("table", fmt.Sprint(version))
					written[version] = time.Now()
					time.Sleep(writing)
					due := uint64(1)
					for known, at := range written {
						if time.Since(at) >= fleetBound {
							due = max(due, known)
						}
					}
					if behind := fleet.behind(due); time.Since(back) >= calm && len(behind) > 0 {
						t.Errorf("%+v: %v after an outage of %v, version %d is not known to %v", layout, time.Since(back), outage, due, behind)
						return
					}
				}
			})
		}
	}
}

// TestStartInOutage starts a host while the store is out: it must learn the
// routing from a seed, though one is down and one knows nothing itself (incident
// inc-b447).
func TestStartInOutage(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, fleet *fleet) {
		fleet.store.set(func(store *fakeStore) { store.down = true })
		time.Sleep(time.Second)
		late := definer.NewHost("late", "late", "late", definer.NewPlace("region-0", "centre-0-0"), 1)
		tracker := New(late, &seat{fleet.store, "late"}, &link{fleet, "late"}, textDecoder{},
			NewKeys("table", "endpoints/", "hosts/"), fleetBound, quiet{})
		tracker.SetSeeds([]string{"gone", "empty", "host-1-0-1"})
		empty := definer.NewHost("empty", "empty", "empty", definer.NewPlace("region-0", "centre-0-0"), 1)
		fleet.start("empty", New(empty, &seat{fleet.store, "empty"}, &link{fleet, "empty"}, textDecoder{},
			NewKeys("table", "endpoints/", "hosts/"), fleetBound, quiet{}))
		fleet.start("late", tracker)
		time.Sleep(2 * fleetBound)
		if version := tracker.View().Table().Version(); version != 1 {
			t.Errorf("the host goes by version %d, want 1", version)
		}
		fleet.store.set(func(store *fakeStore) { store.down = false })
		fleet.store.write("hosts/late", "late region-0 centre-0-0")
		fleet.store.write("hosts/empty", "empty region-0 centre-0-0")
		time.Sleep(2 * fleetBound)
		fleet.store.write("table", "2")
		time.Sleep(fleetBound)
		if behind := fleet.behind(2); len(behind) > 0 {
			t.Errorf("version 2 is not known to %v", behind)
		}
		// Once nobody is passed over any more, a reading each quarter of the bound
		// is enough for the fleet.
		time.Sleep(4 * fleetBound)
		fleet.store.set(func(store *fakeStore) { store.calls = 0 })
		time.Sleep(2 * fleetBound)
		fleet.store.set(func(store *fakeStore) {
			if store.calls > 9 {
				t.Errorf("%d calls to the store in %v with nothing to tell", store.calls, 2*fleetBound)
			}
		})
	})
}

// TestStartAsksNoSeed starts a host whose store is slow but answers: it must not
// take a copy from a seed. At 300 hosts that start together, the store's answers
// took longer than hosts waited then, and all of them had a copy of 3,000
// endpoints from one seed (sweep of hymnbrew-gw: twice the bytes).
func TestStartAsksNoSeed(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, fleet *fleet) {
		late := definer.NewHost("late", "late", "late", definer.NewPlace("region-0", "centre-0-0"), 1)
		tracker := New(late, &slowSeat{seat{fleet.store, "late"}}, &link{fleet, "late"}, textDecoder{},
			NewKeys("table", "endpoints/", "hosts/"), fleetBound, quiet{})
		tracker.SetSeeds([]string{"host-1-0-1"})
		fleet.start("late", tracker)
		time.Sleep(slowScan - time.Millisecond)
		if version := tracker.View().Table().Version(); version != 0 {
			t.Errorf("the host has version %d from a seed before the store's answer", version)
		}
		time.Sleep(fleetBound)
		if version := tracker.View().Table().Version(); version != 1 {
			t.Errorf("the host goes by version %d, want 1", version)
		}
	})
}

// TestCircleProvesNothing has two hosts that only reach each other.
func TestCircleProvesNothing(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, fleet *fleet) {
		fleet.store.set(func(store *fakeStore) { store.down = true })
		time.Sleep(10 * time.Second)
		for name, tracker := range fleet.trackers {
			if age := tracker.Age(time.Now()); age < 9*time.Second {
				t.Errorf("%s takes its copy for %v old after 10 s without a reading", name, age)
			}
		}
	})
}

// TestChangesInForce makes changes under each trouble that leaves a way to
// learn of them, and wants each in force everywhere within the bound.
func TestChangesInForce(t *testing.T) {
	for name, trouble := range map[string]func(fleet *fleet){
		"none": func(*fleet) {},
		"silent watches": func(fleet *fleet) {
			fleet.store.set(func(store *fakeStore) { store.silent = true })
		},
		"hung watches": func(fleet *fleet) {
			fleet.store.set(func(store *fakeStore) { store.hung = true })
		},
		"no history": func(fleet *fleet) {
			fleet.store.set(func(store *fakeStore) { store.forgotten = store.revision + 1000 })
		},
		"a third turned away":       turnAway(0),
		"another third turned away": turnAway(1),
		"the rest turned away":      turnAway(2),
		"the reader turned away": func(fleet *fleet) {
			for host, tracker := range fleet.trackers {
				if at, _ := tracker.place(time.Now()); at == depthFleet {
					fleet.store.set(func(store *fakeStore) { store.refused[host] = true })
				}
			}
		},
		"no peers": func(fleet *fleet) {
			fleet.mu.Lock()
			defer fleet.mu.Unlock()
			for from := range fleet.trackers {
				for to := range fleet.trackers {
					fleet.cut[[2]string{from, to}] = true
				}
			}
		},
		"the reader gone": func(fleet *fleet) {
			for host, tracker := range fleet.trackers {
				if at, _ := tracker.place(time.Now()); at == depthFleet {
					fleet.mu.Lock()
					fleet.cancels[host]()
					delete(fleet.trackers, host)
					fleet.mu.Unlock()
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 3, func(t *testing.T, fleet *fleet) {
				trouble(fleet)
				for version := uint64(2); version < 30; version++ {
					fleet.store.write("table", fmt.Sprint(version))
					time.Sleep(fleetBound)
					if behind := fleet.behind(version); len(behind) > 0 {
						t.Fatalf("version %d is not known to %v after %v", version, behind, fleetBound)
					}
					time.Sleep(time.Duration(version) * 37 * time.Millisecond)
				}
			})
		})
	}
}

// turnAway has the store turn every third host away, from the one with a number
// on in the order of their names.
func turnAway(first int) func(fleet *fleet) {
	return func(fleet *fleet) {
		for index, host := range slices.Sorted(maps.Keys(fleet.trackers)) {
			if index%3 == first {
				fleet.store.set(func(store *fakeStore) { store.refused[host] = true })
			}
		}
	}
}

// TestManyTurnedAway turns other halves of the fleet away, drawn by a seed.
func TestManyTurnedAway(t *testing.T) {
	for seed := range uint64(24) {
		inBubble(t, 3, func(t *testing.T, fleet *fleet) {
			random := rand.New(rand.NewPCG(seed, seed))
			for _, host := range slices.Sorted(maps.Keys(fleet.trackers)) {
				if random.IntN(3) == 0 {
					fleet.store.set(func(store *fakeStore) { store.refused[host] = true })
				}
			}
			for version := uint64(2); version < 6; version++ {
				fleet.store.write("table", fmt.Sprint(version))
				time.Sleep(fleetBound)
				if behind := fleet.behind(version); len(behind) > 0 {
					t.Errorf("seed %d: version %d is not known to %v after %v", seed, version, behind, fleetBound)
				}
			}
		})
	}
}

// TestCallsWhileNothingHappens bounds the readings: one host reads, whatever
// the size of the fleet.
func TestCallsWhileNothingHappens(t *testing.T) {
	for _, perCentre := range []int{2, 20} {
		inBubble(t, perCentre, func(t *testing.T, fleet *fleet) {
			fleet.store.set(func(store *fakeStore) { store.calls = 0 })
			time.Sleep(20 * time.Second)
			fleet.store.set(func(store *fakeStore) {
				if most := int(20/(readShare*fleetBound.Seconds())) + 2; store.calls > most {
					t.Errorf("%d hosts made %d readings in 20 s, want at most %d", 6*perCentre, store.calls, most)
				}
			})
		})
	}
}

// TestCallsInOutage bounds what an outage costs in calls, and the readings when
// it ends: the fleet does not fall apart into hosts that read for themselves.
func TestCallsInOutage(t *testing.T) {
	inBubble(t, 20, func(t *testing.T, fleet *fleet) {
		count := func(span time.Duration) int {
			fleet.store.set(func(store *fakeStore) { store.calls = 0 })
			time.Sleep(span)
			calls := 0
			fleet.store.set(func(store *fakeStore) { calls = store.calls })
			return calls
		}
		hosts := len(fleet.trackers)
		fleet.store.set(func(store *fakeStore) { store.down = true })
		if calls := count(8 * time.Second); calls > 5*hosts {
			t.Errorf("%d hosts made %d calls in an outage of 8 s, want at most %d", hosts, calls, 5*hosts)
		}
		fleet.store.set(func(store *fakeStore) { store.down = false })
		if calls := count(8 * time.Second); calls > hosts {
			t.Errorf("%d hosts made %d calls in the 8 s after it, want at most %d", hosts, calls, hosts)
		}
	})
}

// TestLapsedEntries keeps endpoints whose entries lapsed in an outage until
// they are back, and drops those that are not back in time.
func TestLapsedEntries(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, fleet *fleet) {
		fleet.store.write("endpoints/a", "ledger")
		fleet.store.write("endpoints/b", "ledger")
		fleet.store.write("endpoints/c", "bad")
		time.Sleep(fleetBound)
		want := func(count int, when string) {
			t.Helper()
			synctest.Wait()
			for name, tracker := range fleet.trackers {
				if got := len(tracker.View().Endpoints("ledger")); got != count {
					t.Fatalf("%s knows %d endpoints %s, want %d", name, got, when, count)
				}
			}
		}
		want(2, "before the outage")
		fleet.store.set(func(store *fakeStore) { store.down = true })
		time.Sleep(4 * time.Second)
		fleet.store.remove("endpoints/a")
		fleet.store.remove("endpoints/b")
		fleet.store.set(func(store *fakeStore) { store.down = false })
		time.Sleep(1500 * time.Millisecond)
		want(2, "just after the outage")
		fleet.store.write("endpoints/a", "ledger")
		time.Sleep(4 * time.Second)
		want(1, "when entries that live are back")
		fleet.store.write("endpoints/a", "ledger draining")
		time.Sleep(fleetBound)
		want(0, "when the last one drains")
	})
}

// TestNeverBack offers an older routing at a newer revision.
func TestNeverBack(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, fleet *fleet) {
		fleet.store.write("table", "7")
		time.Sleep(fleetBound)
		fleet.store.write("table", "5")
		time.Sleep(fleetBound)
		if behind := fleet.behind(7); len(behind) > 0 {
			t.Fatalf("%v went back", behind)
		}
	})
}
