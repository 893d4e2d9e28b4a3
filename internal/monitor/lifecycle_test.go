package monitor

import (
	"errors"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

func TestStaleHostListDoesNotReviveGoneHost(t *testing.T) {
	run(t, 5, regions, func(t *testing.T, fleet *fleet) {
		fleet.nodes["rift-001"].kill()
		time.Sleep(time.Minute)
		fleet.want(t, "rift-001", definer.Gone)
		fleet.start("rift", "rift-1", "rift-009", 1)
		time.Sleep(20 * time.Second)
		fleet.wantGone(t, "rift-001")
		fleet.want(t, "rift-009", definer.Live)
	})
}

func TestRestartedHostIsLiveUnderNewIncarnation(t *testing.T) {
	run(t, 5, regions, func(t *testing.T, fleet *fleet) {
		old := fleet.nodes["rift-001"]
		old.kill()
		time.Sleep(time.Second)
		fleet.startUnlisted(definer.NewHost("rift-001", "a", "p", old.host.Place(), 2))
		took := until(30*time.Second, func() bool {
			return fleet.allHold("rift-001", definer.Live)() && fleet.allHoldIncarnation("rift-001", 2)
		})
		wantWithin(t, "live on all hosts", took, 5*time.Second)
	})
}

// allHoldIncarnation reports whether every running node holds this incarnation
// of name.
func (fleet *fleet) allHoldIncarnation(name string, incarnation uint64) bool {
	for _, node := range fleet.running() {
		for _, host := range node.Members() {
			if host.Name() == name && host.Incarnation() != incarnation {
				return false
			}
		}
	}
	return true
}

func TestHostJoinsWhileHostListIsUnavailable(t *testing.T) {
	run(t, 5, regions, func(t *testing.T, fleet *fleet) {
		fleet.mu.Lock()
		fleet.listErr = errors.New("out")
		fleet.mu.Unlock()
		place := definer.NewPlace("rift", "rift-0")
		joined := fleet.startUnlisted(definer.NewHost("rift-009", "a", "p", place, 1))
		joined.SetSeeds([]definer.Host{fleet.nodes["rift-002"].host})
		took := until(time.Minute, func() bool {
			return fleet.allHold("rift-009", definer.Live)() && len(joined.Members()) == len(fleet.nodes)
		})
		wantWithin(t, "joined", took, 15*time.Second)
	})
}

func TestLeavingIsAnnouncedBeforeHostStops(t *testing.T) {
	run(t, 6, regions, func(t *testing.T, fleet *fleet) {
		leaving := fleet.nodes["coast-002"]
		if err := leaving.Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		took := until(10*time.Second, fleet.allHold("coast-002", definer.Leaving))
		wantWithin(t, "leaving on all hosts", took, 3*time.Second)
		leaving.kill()
		took = until(20*time.Second, fleet.allHold("coast-002", definer.Gone))
		wantWithin(t, "gone on all hosts", took, 10*time.Second)
	})
}

func TestAllHostsReplacedOneByOne(t *testing.T) {
	run(t, 4, regions, func(t *testing.T, fleet *fleet) {
		for _, region := range regions {
			for index, name := range []string{"-000", "-001", "-002", "-003"} {
				old := fleet.nodes[region+name]
				if err := old.Leave(t.Context()); err != nil {
					t.Fatal(err)
				}
				time.Sleep(5 * time.Second)
				old.kill()
				fleet.start(region, old.host.Place().DataCentre(), region+"-new"+name, uint64(index+1))
				time.Sleep(5 * time.Second)
			}
		}
		time.Sleep(20 * time.Second)
		fleet.wantAllLive(t)
		for name, node := range fleet.nodes {
			if node.dead {
				fleet.wantGone(t, name)
			}
		}
	})
}

// wantGone checks that no running node would route to the host called name.
func (fleet *fleet) wantGone(t *testing.T, name string) {
	t.Helper()
	for _, node := range fleet.running() {
		if got := node.routingState(name); got != definer.Gone {
			t.Errorf("%s routes to %s as %v", node.host.Name(), name, got)
		}
	}
}

func TestLeavingEndpointIsKnownOnAllHosts(t *testing.T) {
	run(t, 6, regions, func(t *testing.T, fleet *fleet) {
		known := func(want int) func() bool {
			return func() bool {
				for _, node := range fleet.running() {
					if len(node.Draining()) != want {
						return false
					}
				}
				return true
			}
		}
		for _, leaves := range []bool{true, false} {
			fleet.mu.Lock()
			fleet.leaving["ledger-3"] = leaves
			fleet.mu.Unlock()
			want := map[bool]int{true: 1, false: 0}[leaves]
			wantWithin(t, "known on all hosts", until(20*time.Second, known(want)), 2900*time.Millisecond)
			time.Sleep(time.Minute)
			if !known(want)() {
				t.Errorf("leaving %v: forgotten", leaves)
			}
		}
	})
}

func TestOneWatcherInEachDataCentre(t *testing.T) {
	run(t, 6, regions, func(t *testing.T, fleet *fleet) {
		place := definer.NewPlace("rift", "rift-1")
		agreed := func() string {
			name := ""
			for _, node := range fleet.running() {
				watcher, ok := node.Watcher(place)
				if !ok || (name != "" && name != watcher.Name()) {
					return ""
				}
				name = watcher.Name()
			}
			return name
		}
		first := agreed()
		if first == "" {
			t.Fatal("hosts disagree on the watcher")
		}
		reads := fleet.countReads()
		time.Sleep(time.Minute)
		t.Logf("%d reads of the host list in a minute by %d hosts", fleet.countReads()-reads, len(fleet.nodes))
		fleet.nodes[first].kill()
		took := until(20*time.Second, func() bool { return agreed() != "" && agreed() != first })
		wantWithin(t, "another watcher", took, 5*time.Second)
	})
}
