package monitor

import (
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// fail sets which messages are lost from now on.
func (fleet *fleet) fail(cut func(from, to definer.Host) bool) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.cut = cut
}

// heal ends what fail began.
func (fleet *fleet) heal() { fleet.fail(func(_, _ definer.Host) bool { return false }) }

// wantWithin fails the test where what took longer than limit.
func wantWithin(t *testing.T, what string, took, limit time.Duration) {
	t.Helper()
	t.Logf("%s after %v", what, took)
	if took > limit {
		t.Errorf("%s after %v, want within %v", what, took, limit)
	}
}

func TestDeadHostIsSuspectSoonAndGoneEverywhere(t *testing.T) {
	run(t, 6, regions, func(t *testing.T, fleet *fleet) {
		fleet.stations["rift-001"].kill()
		took := until(20*time.Second, fleet.allBelieve("rift-001", definer.Suspect))
		wantWithin(t, "suspect everywhere", took, 3*time.Second)
		took = until(20*time.Second, fleet.allBelieve("rift-001", definer.Gone))
		wantWithin(t, "gone everywhere", took, 6*time.Second)
	})
}

func TestFrozenHostComesBackWhenItThaws(t *testing.T) {
	run(t, 6, regions, func(t *testing.T, fleet *fleet) {
		frozen := fleet.stations["rift-002"]
		frozen.freeze()
		took := until(20*time.Second, fleet.allBelieve("rift-002", definer.Gone))
		wantWithin(t, "gone everywhere", took, 12*time.Second)
		before := fleet.changes()
		time.Sleep(time.Minute)
		frozen.thaw()
		took = until(30*time.Second, fleet.allBelieve("rift-002", definer.Live))
		wantWithin(t, "live everywhere", took, 12*time.Second)
		time.Sleep(20 * time.Second)
		fleet.wantAllLive(t)
		if after := fleet.changes(); after > before+len(fleet.stations) {
			t.Errorf("%d changes of mind by the thaw", after-before)
		}
	})
}

func TestSlowHostDoesNotFlap(t *testing.T) {
	run(t, 6, regions, func(t *testing.T, fleet *fleet) {
		fleet.mu.Lock()
		fleet.stations["rift-002"].slow = 1200 * time.Millisecond
		fleet.mu.Unlock()
		time.Sleep(2 * time.Minute)
		before := fleet.changes()
		time.Sleep(10 * time.Minute)
		if after := fleet.changes(); after != before {
			t.Errorf("%d changes of mind in ten minutes", after-before)
		}
		fleet.wantAllLive(t)
	})
}

func TestOneWayLossBetweenFewIsNotTheEndOfOne(t *testing.T) {
	run(t, 6, regions, func(t *testing.T, fleet *fleet) {
		fleet.fail(func(from, to definer.Host) bool {
			return to.Name() == "rift-002" && (from.Name() == "rift-000" || from.Name() == "rift-001")
		})
		time.Sleep(10 * time.Minute)
		if changes := fleet.changes(); changes != 0 {
			t.Errorf("%d changes of mind", changes)
		}
		fleet.wantAllLive(t)
	})
}

func TestLossOfOneMessageInTwentyMakesNoHostGone(t *testing.T) {
	run(t, 6, regions, func(t *testing.T, fleet *fleet) {
		fleet.mu.Lock()
		fleet.loss = 0.05
		fleet.mu.Unlock()
		time.Sleep(10 * time.Minute)
		if gone := fleet.count("is gone"); gone != 0 {
			t.Errorf("%d times gone", gone)
		}
		if changes := fleet.changes(); changes > 2*len(fleet.stations) {
			t.Errorf("%d changes of mind, want those of at most two suspicions", changes)
		}
		fleet.mu.Lock()
		fleet.loss = 0
		fleet.mu.Unlock()
		time.Sleep(10 * time.Second)
		fleet.wantAllLive(t)
	})
}

func TestCutRegionIsAvoidedAndComesBackWhole(t *testing.T) {
	run(t, 6, regions, func(t *testing.T, fleet *fleet) {
		fleet.fail(func(from, to definer.Host) bool {
			return (from.Place().Region() == "coast") != (to.Place().Region() == "coast")
		})
		near, far := fleet.stations["rift-003"], fleet.stations["coast-003"]
		both := func(state definer.HostState) func() bool {
			return func() bool { return near.sees("coast-001") == state && far.sees("rift-001") == state }
		}
		wantWithin(t, "avoided", until(30*time.Second, both(definer.Suspect)), 10*time.Second)
		time.Sleep(5 * time.Minute)
		if near.sees("nairobi-001") != definer.Live || far.sees("coast-000") != definer.Live {
			t.Error("hosts on one side do not see each other as live")
		}
		fleet.stations["coast-005"].kill()
		fleet.start("coast", "coast-1", "coast-010", 1)
		time.Sleep(time.Minute)
		fleet.heal()
		wantWithin(t, "used again", until(30*time.Second, both(definer.Live)), 5*time.Second)
		time.Sleep(20 * time.Second)
		fleet.wantAllLive(t)
		fleet.want(t, "coast-005", definer.Gone)
		if changes := fleet.changes(); changes > 2*len(fleet.stations) {
			t.Errorf("%d changes of mind, want only those about the killed host", changes)
		}
	})
}

func TestCutBetweenDataCentresHeals(t *testing.T) {
	run(t, 8, regions[:1], func(t *testing.T, fleet *fleet) {
		fleet.fail(func(from, to definer.Host) bool { return from.Place() != to.Place() })
		time.Sleep(2 * time.Minute)
		if got, _ := fleet.stations["nairobi-000"].believes("nairobi-001"); got != definer.Gone {
			t.Errorf("host of the other data centre is %v", got)
		}
		fleet.heal()
		before := fleet.changes()
		took := until(time.Minute, func() bool {
			for name := range fleet.stations {
				if !fleet.allBelieve(name, definer.Live)() {
					return false
				}
			}
			return true
		})
		wantWithin(t, "all live", took, 20*time.Second)
		if after := fleet.changes(); after != before {
			t.Errorf("%d changes of mind by the healing", after-before)
		}
	})
}

func TestDataCentreGoneIsSeenAtOnce(t *testing.T) {
	run(t, 16, regions, func(t *testing.T, fleet *fleet) {
		var dead []string
		for name, station := range fleet.stations {
			if station.host.Place().DataCentre() == "rift-1" {
				dead = append(dead, name)
				station.kill()
			}
		}
		took := until(30*time.Second, func() bool {
			for _, name := range dead {
				for _, station := range fleet.running() {
					if got, _ := station.believes(name); got == definer.Live {
						return false
					}
				}
			}
			return true
		})
		wantWithin(t, "none believed live", took, 8*time.Second)
		time.Sleep(20 * time.Second)
		for _, name := range dead {
			fleet.want(t, name, definer.Gone)
		}
		fleet.wantAllLive(t)
	})
}
