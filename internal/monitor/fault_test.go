package monitor

import (
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// dropMessages sets which messages are lost from now on.
func (fleet *fleet) dropMessages(isLost func(from, to definer.Host) bool) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.isLost = isLost
}

// heal undoes dropMessages.
func (fleet *fleet) heal() { fleet.dropMessages(func(_, _ definer.Host) bool { return false }) }

// wantWithin fails the test if took exceeds limit.
func wantWithin(t *testing.T, what string, took, limit time.Duration) {
	t.Helper()
	t.Logf("%s after %v", what, took)
	if took > limit {
		t.Errorf("%s after %v, want within %v", what, took, limit)
	}
}

func TestKilledHostBecomesSuspectThenGoneOnAllHosts(t *testing.T) {
	run(t, 6, regions, func(t *testing.T, fleet *fleet) {
		fleet.nodes["rift-001"].kill()
		took := until(20*time.Second, fleet.allHold("rift-001", definer.Suspect))
		wantWithin(t, "suspect on all hosts", took, 3*time.Second)
		took = until(20*time.Second, fleet.allHold("rift-001", definer.Gone))
		wantWithin(t, "gone on all hosts", took, 6*time.Second)
	})
}

func TestFrozenHostIsLiveAgainAfterResuming(t *testing.T) {
	run(t, 6, regions, func(t *testing.T, fleet *fleet) {
		frozen := fleet.nodes["rift-002"]
		frozen.freeze()
		took := until(20*time.Second, fleet.allHold("rift-002", definer.Gone))
		wantWithin(t, "gone on all hosts", took, 12*time.Second)
		before := fleet.downgrades()
		time.Sleep(time.Minute)
		frozen.resume()
		took = until(30*time.Second, fleet.allHold("rift-002", definer.Live))
		wantWithin(t, "live on all hosts", took, 12*time.Second)
		time.Sleep(20 * time.Second)
		fleet.wantAllLive(t)
		if after := fleet.downgrades(); after > before+len(fleet.nodes) {
			t.Errorf("%d downgrades after resuming", after-before)
		}
	})
}

func TestSlowHostDoesNotFlap(t *testing.T) {
	run(t, 6, regions, func(t *testing.T, fleet *fleet) {
		fleet.mu.Lock()
		fleet.nodes["rift-002"].delay = 1200 * time.Millisecond
		fleet.mu.Unlock()
		time.Sleep(2 * time.Minute)
		before := fleet.downgrades()
		time.Sleep(10 * time.Minute)
		if after := fleet.downgrades(); after != before {
			t.Errorf("%d downgrades in ten minutes", after-before)
		}
		fleet.wantAllLive(t)
	})
}

func TestOneWayLossFromTwoHostsCausesNoSuspicion(t *testing.T) {
	run(t, 6, regions, func(t *testing.T, fleet *fleet) {
		fleet.dropMessages(func(from, to definer.Host) bool {
			return to.Name() == "rift-002" && (from.Name() == "rift-000" || from.Name() == "rift-001")
		})
		time.Sleep(10 * time.Minute)
		if downgrades := fleet.downgrades(); downgrades != 0 {
			t.Errorf("%d downgrades", downgrades)
		}
		fleet.wantAllLive(t)
	})
}

func TestFivePercentMessageLossMakesNoHostGone(t *testing.T) {
	run(t, 6, regions, func(t *testing.T, fleet *fleet) {
		fleet.mu.Lock()
		fleet.loss = 0.05
		fleet.mu.Unlock()
		time.Sleep(10 * time.Minute)
		if gone := fleet.count("is gone"); gone != 0 {
			t.Errorf("%d events of a gone host", gone)
		}
		if downgrades := fleet.downgrades(); downgrades > 2*len(fleet.nodes) {
			t.Errorf("%d downgrades, want those of at most two suspicions", downgrades)
		}
		fleet.mu.Lock()
		fleet.loss = 0
		fleet.mu.Unlock()
		time.Sleep(10 * time.Second)
		fleet.wantAllLive(t)
	})
}

func TestUnreachableRegionIsAvoidedAndUsedAgainAfterHealing(t *testing.T) {
	run(t, 6, regions, func(t *testing.T, fleet *fleet) {
		fleet.dropMessages(func(from, to definer.Host) bool {
			return (from.Place().Region() == "coast") != (to.Place().Region() == "coast")
		})
		near, far := fleet.nodes["rift-003"], fleet.nodes["coast-003"]
		both := func(state definer.HostState) func() bool {
			return func() bool { return near.routingState("coast-001") == state && far.routingState("rift-001") == state }
		}
		wantWithin(t, "avoided", until(30*time.Second, both(definer.Suspect)), 10*time.Second)
		time.Sleep(5 * time.Minute)
		if near.routingState("nairobi-001") != definer.Live || far.routingState("coast-000") != definer.Live {
			t.Error("hosts on the same side of the partition do not route to each other as live")
		}
		fleet.nodes["coast-005"].kill()
		fleet.start("coast", "coast-1", "coast-010", 1)
		time.Sleep(time.Minute)
		fleet.heal()
		wantWithin(t, "used again", until(30*time.Second, both(definer.Live)), 5*time.Second)
		time.Sleep(20 * time.Second)
		fleet.wantAllLive(t)
		fleet.want(t, "coast-005", definer.Gone)
		if downgrades := fleet.downgrades(); downgrades > 2*len(fleet.nodes) {
			t.Errorf("%d downgrades, want only those about the killed host", downgrades)
		}
	})
}

func TestPartitionBetweenDataCentresHeals(t *testing.T) {
	run(t, 8, regions[:1], func(t *testing.T, fleet *fleet) {
		fleet.dropMessages(func(from, to definer.Host) bool { return from.Place() != to.Place() })
		time.Sleep(2 * time.Minute)
		if got, _ := fleet.nodes["nairobi-000"].stateOf("nairobi-001"); got != definer.Gone {
			t.Errorf("host of the other data centre is %v", got)
		}
		fleet.heal()
		before := fleet.downgrades()
		took := until(time.Minute, func() bool {
			for name := range fleet.nodes {
				if !fleet.allHold(name, definer.Live)() {
					return false
				}
			}
			return true
		})
		wantWithin(t, "all live", took, 20*time.Second)
		if after := fleet.downgrades(); after != before {
			t.Errorf("%d downgrades after healing", after-before)
		}
	})
}

func TestLossOfDataCentreIsDetected(t *testing.T) {
	run(t, 16, regions, func(t *testing.T, fleet *fleet) {
		var dead []string
		for name, node := range fleet.nodes {
			if node.host.Place().DataCentre() == "rift-1" {
				dead = append(dead, name)
				node.kill()
			}
		}
		took := until(30*time.Second, func() bool {
			for _, name := range dead {
				for _, node := range fleet.running() {
					if got, _ := node.stateOf(name); got == definer.Live {
						return false
					}
				}
			}
			return true
		})
		wantWithin(t, "none held as live", took, 8*time.Second)
		time.Sleep(20 * time.Second)
		for _, name := range dead {
			fleet.want(t, name, definer.Gone)
		}
		fleet.wantAllLive(t)
	})
}
