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

// TestChangeAfterOutage guards against old copies that count as fresh. In an
// outage in which every host had failed to read the store, hosts asked each other
// in circles, and a reply that was held back carried the age from before the hold
// (reported by the users' bench as CONFIG).
func TestChangeAfterOutage(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, fleet *fleet) {
		fleet.store.set(func(store *fakeStore) { store.down = true })
		time.Sleep(5 * time.Second)
		fleet.store.set(func(store *fakeStore) { store.down = false })
		for version := uint64(2); version < 12; version++ {
			time.Sleep(changeBound)
			fleet.store.write("table", fmt.Sprint(version))
			time.Sleep(changeBound)
			if behind := fleet.behind(version); len(behind) > 0 && version > 2 {
				t.Fatalf("version %d has not reached %v", version, behind)
			}
		}
	})
}

// TestChangesAfterShortOutage writes after outages about as long as a call's
// time-out. From 3 s after an outage, each change must be in force within the
// bound. In seed 18 of the soak test, a host that had excluded all its peers
// became the reader of the fleet but still waited for the retry delay of its
// failed read.
func TestChangesAfterShortOutage(t *testing.T) {
	const calm, writing = 3 * time.Second, 250 * time.Millisecond
	for _, layout := range []layout{{regions: 1, centres: 1, hosts: 5}, {regions: 1, centres: 1, hosts: 14}, {regions: 3, centres: 2, hosts: 3}} {
		for outage := 200 * time.Millisecond; outage < 3*time.Second; outage += 200 * time.Millisecond {
			withLayout(t, layout, func(t *testing.T, fleet *fleet) {
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
						if time.Since(at) >= changeBound {
							due = max(due, known)
						}
					}
					if behind := fleet.behind(due); time.Since(back) >= calm && len(behind) > 0 {
						t.Errorf("%+v: %v after an outage of %v, version %d has not reached %v", layout, time.Since(back), outage, due, behind)
						return
					}
				}
			})
		}
	}
}

// TestStartInOutage starts a host while the store is down: it must get the
// routing from a seed, though one seed is down and another has no copy (incident
// inc-b447).
func TestStartInOutage(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, fleet *fleet) {
		fleet.store.set(func(store *fakeStore) { store.down = true })
		time.Sleep(time.Second)
		late := definer.NewHost("late", "late", "late", definer.NewPlace("region-0", "centre-0-0"), 1)
		tracker := New(late, &storeClient{fakeStore: fleet.store, host: "late"}, &peerClient{fleet, "late"}, textDecoder{},
			NewKeys("table", "endpoints/", "hosts/"), changeBound, discardJournal{})
		tracker.SetSeeds([]string{"gone", "empty", "host-1-0-1"})
		empty := definer.NewHost("empty", "empty", "empty", definer.NewPlace("region-0", "centre-0-0"), 1)
		fleet.start("empty", New(empty, &storeClient{fakeStore: fleet.store, host: "empty"}, &peerClient{fleet, "empty"}, textDecoder{},
			NewKeys("table", "endpoints/", "hosts/"), changeBound, discardJournal{}))
		fleet.start("late", tracker)
		time.Sleep(2 * changeBound)
		if version := tracker.View().Table().Version(); version != 1 {
			t.Errorf("the host has version %d, want 1", version)
		}
		fleet.store.set(func(store *fakeStore) { store.down = false })
		fleet.store.write("hosts/late", "late region-0 centre-0-0")
		fleet.store.write("hosts/empty", "empty region-0 centre-0-0")
		time.Sleep(2 * changeBound)
		fleet.store.write("table", "2")
		time.Sleep(changeBound)
		if behind := fleet.behind(2); len(behind) > 0 {
			t.Errorf("version 2 has not reached %v", behind)
		}
		// Once no host is excluded, a read each quarter of the bound is enough
		// for the fleet.
		time.Sleep(4 * changeBound)
		fleet.store.set(func(store *fakeStore) { store.calls = 0 })
		time.Sleep(2 * changeBound)
		fleet.store.set(func(store *fakeStore) {
			if store.calls > 9 {
				t.Errorf("%d calls to the store in %v without a change", store.calls, 2*changeBound)
			}
		})
	})
}

// TestSlowStoreAsksNoSeed starts a host whose store is slow but answers: it
// must not copy from a seed. When 300 hosts started together, the store's
// answers took longer than hosts waited, and all of them copied 3,000 endpoints
// from one seed, which doubled the bytes sent (sweep of hymnbrew-gw).
func TestSlowStoreAsksNoSeed(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, fleet *fleet) {
		late := definer.NewHost("late", "late", "late", definer.NewPlace("region-0", "centre-0-0"), 1)
		tracker := New(late, &slowStoreClient{storeClient{fakeStore: fleet.store, host: "late"}}, &peerClient{fleet, "late"}, textDecoder{},
			NewKeys("table", "endpoints/", "hosts/"), changeBound, discardJournal{})
		tracker.SetSeeds([]string{"host-1-0-1"})
		fleet.start("late", tracker)
		time.Sleep(slowScan - time.Millisecond)
		if version := tracker.View().Table().Version(); version != 0 {
			t.Errorf("the host has version %d from a seed before the store's answer", version)
		}
		time.Sleep(changeBound)
		if version := tracker.View().Table().Version(); version != 1 {
			t.Errorf("the host has version %d, want 1", version)
		}
	})
}

// TestPeersAloneDoNotRefresh cuts all hosts off from the store: replies of
// peers must not make a copy count as fresh.
func TestPeersAloneDoNotRefresh(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, fleet *fleet) {
		fleet.store.set(func(store *fakeStore) { store.down = true })
		time.Sleep(10 * time.Second)
		for name, tracker := range fleet.trackers {
			if age := tracker.Age(time.Now()); age < 9*time.Second {
				t.Errorf("%s counts its copy as %v old after 10 s without a read of the store", name, age)
			}
		}
	})
}

// TestChangesDuringFaults injects faults that each leave a path for changes, and
// checks that each change is in force on all hosts within the bound.
func TestChangesDuringFaults(t *testing.T) {
	for name, fault := range map[string]func(fleet *fleet){
		"none": func(*fleet) {},
		"silent watches": func(fleet *fleet) {
			fleet.store.set(func(store *fakeStore) { store.silent = true })
		},
		"hung watches": func(fleet *fleet) {
			fleet.store.set(func(store *fakeStore) { store.hung = true })
		},
		"history compacted": func(fleet *fleet) {
			fleet.store.set(func(store *fakeStore) { store.compactedTo = store.revision + 1000 })
		},
		"a third refused":       refuseEveryThird(0),
		"another third refused": refuseEveryThird(1),
		"the rest refused":      refuseEveryThird(2),
		"the reader refused": func(fleet *fleet) {
			for host, tracker := range fleet.trackers {
				if at, _ := tracker.position(time.Now()); at == depthFleet {
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
		"the reader stopped": func(fleet *fleet) {
			for host, tracker := range fleet.trackers {
				if at, _ := tracker.position(time.Now()); at == depthFleet {
					fleet.mu.Lock()
					fleet.cancels[host]()
					delete(fleet.trackers, host)
					fleet.mu.Unlock()
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 3, func(t *testing.T, fleet *fleet) {
				fault(fleet)
				for version := uint64(2); version < 30; version++ {
					fleet.store.write("table", fmt.Sprint(version))
					time.Sleep(changeBound)
					if behind := fleet.behind(version); len(behind) > 0 {
						t.Fatalf("version %d has not reached %v after %v", version, behind, changeBound)
					}
					time.Sleep(time.Duration(version) * 37 * time.Millisecond)
				}
			})
		})
	}
}

// refuseEveryThird makes the store refuse every third host, in the order of
// their names, beginning at index first.
func refuseEveryThird(first int) func(fleet *fleet) {
	return func(fleet *fleet) {
		for index, host := range slices.Sorted(maps.Keys(fleet.trackers)) {
			if index%3 == first {
				fleet.store.set(func(store *fakeStore) { store.refused[host] = true })
			}
		}
	}
}

// TestRandomHostsRefused makes the store refuse a random third of the hosts.
func TestRandomHostsRefused(t *testing.T) {
	for seed := range uint64(24) {
		withFleet(t, 3, func(t *testing.T, fleet *fleet) {
			random := rand.New(rand.NewPCG(seed, seed))
			for _, host := range slices.Sorted(maps.Keys(fleet.trackers)) {
				if random.IntN(3) == 0 {
					fleet.store.set(func(store *fakeStore) { store.refused[host] = true })
				}
			}
			for version := uint64(2); version < 6; version++ {
				fleet.store.write("table", fmt.Sprint(version))
				time.Sleep(changeBound)
				if behind := fleet.behind(version); len(behind) > 0 {
					t.Errorf("seed %d: version %d has not reached %v after %v", seed, version, behind, changeBound)
				}
			}
		})
	}
}

// TestCallsWhenIdle bounds the reads of an idle fleet: one host reads, whatever
// the size of the fleet.
func TestCallsWhenIdle(t *testing.T) {
	for _, hostsPerCentre := range []int{2, 20} {
		withFleet(t, hostsPerCentre, func(t *testing.T, fleet *fleet) {
			fleet.store.set(func(store *fakeStore) { store.calls = 0 })
			time.Sleep(20 * time.Second)
			fleet.store.set(func(store *fakeStore) {
				if most := int(20/(readShare*changeBound.Seconds())) + 2; store.calls > most {
					t.Errorf("%d hosts made %d reads in 20 s, want at most %d", 6*hostsPerCentre, store.calls, most)
				}
			})
		})
	}
}

// TestCallsInOutage bounds the calls in an outage and after it: not every host
// may keep reading the store itself.
func TestCallsInOutage(t *testing.T) {
	withFleet(t, 20, func(t *testing.T, fleet *fleet) {
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

// TestLapsedEntries checks that endpoints whose entries lapsed in an outage are
// kept for the grace period, and dropped if their entries are not back by then.
func TestLapsedEntries(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, fleet *fleet) {
		fleet.store.write("endpoints/a", "ledger")
		fleet.store.write("endpoints/b", "ledger")
		fleet.store.write("endpoints/c", "bad")
		time.Sleep(changeBound)
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
		want(1, "after the grace period")
		fleet.store.write("endpoints/a", "ledger draining")
		time.Sleep(changeBound)
		want(0, "when the last one is draining")
	})
}

// TestRemovalOnStaleHost removes an endpoint's entry while a host's copy of the
// store is old, though no call to the store has failed: the host must not keep the
// endpoint once it knows of the removal. It took the age of its copy for an outage
// of the store (inc1).
func TestRemovalOnStaleHost(t *testing.T) {
	t.Run("peer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store := newFakeStore()
			self := definer.NewHost("self", "self", "self", definer.NewPlace("region", "centre"), 1)
			tracker := New(self, &storeClient{fakeStore: store, host: "self"}, nil, textDecoder{}, NewKeys("table", "endpoints/", "hosts/"), changeBound, discardJournal{})
			items := []Item{NewItem("table", []byte("1"), 1), NewItem("endpoints/a", []byte("ledger"), 2)}
			tracker.applyUpdate(time.Now(), NewUpdate(definer.NewPoint(0, 2), 0, 1, true, items))
			time.Sleep(2 * outageAge)
			tracker.applyUpdate(time.Now(), NewUpdate(definer.NewPoint(0, 3), 0, 2, false, []Item{RemovedItem("endpoints/a", 3)}))
			if len(tracker.View().Endpoints("ledger")) > 0 {
				t.Error("the host knows of the removal and keeps the endpoint")
			}
		})
	})
	t.Run("store", func(t *testing.T) {
		withLayout(t, layout{regions: 1, centres: 1, hosts: 1}, func(t *testing.T, fleet *fleet) {
			fleet.store.write("endpoints/a", "ledger")
			time.Sleep(changeBound)
			fleet.store.set(func(store *fakeStore) { store.delays["host-0-0-0"] = outageAge + 100*time.Millisecond })
			time.Sleep(10 * time.Second)
			fleet.store.remove("endpoints/a")
			var removed uint64
			fleet.store.set(func(store *fakeStore) { removed = store.revision })
			tracker := fleet.trackers["host-0-0-0"]
			for start := time.Now(); tracker.View().Point().Revision() < removed; time.Sleep(10 * time.Millisecond) {
				if time.Since(start) > 10*time.Second {
					t.Fatal("the host has not read the removal within 10 s")
				}
			}
			if len(tracker.View().Endpoints("ledger")) > 0 {
				t.Error("the host knows of the removal and keeps the endpoint")
			}
		})
	})
}

// TestLapsedAtEndOfOutage removes the entry of a live endpoint at the end of outages
// that are long enough for entries to lapse, and writes it again 1.5 s later. No
// host may drop the endpoint in between.
func TestLapsedAtEndOfOutage(t *testing.T) {
	for outage := 3 * time.Second; outage < 5*time.Second; outage += 100 * time.Millisecond {
		withFleet(t, 3, func(t *testing.T, fleet *fleet) {
			fleet.store.write("endpoints/a", "ledger")
			time.Sleep(changeBound + outage%time.Second)
			fleet.store.set(func(store *fakeStore) { store.down = true })
			time.Sleep(outage)
			fleet.store.remove("endpoints/a")
			fleet.store.set(func(store *fakeStore) { store.down = false })
			for range 30 {
				time.Sleep(50 * time.Millisecond)
				for name, tracker := range fleet.trackers {
					if len(tracker.View().Endpoints("ledger")) == 0 {
						t.Fatalf("%s drops the endpoint after an outage of %v", name, outage)
					}
				}
			}
			fleet.store.write("endpoints/a", "ledger")
			time.Sleep(2 * changeBound)
			for name, tracker := range fleet.trackers {
				if len(tracker.View().Endpoints("ledger")) == 0 {
					t.Fatalf("%s has dropped the endpoint, whose entry is back, after an outage of %v", name, outage)
				}
			}
		})
	}
}

// TestVersionNeverDecreases writes an older routing version at a newer
// revision.
func TestVersionNeverDecreases(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, fleet *fleet) {
		fleet.store.write("table", "7")
		time.Sleep(changeBound)
		fleet.store.write("table", "5")
		time.Sleep(changeBound)
		if behind := fleet.behind(7); len(behind) > 0 {
			t.Fatalf("%v returned to an older version", behind)
		}
	})
}
