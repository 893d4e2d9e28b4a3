package monitor

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

var regions = []string{"nairobi", "rift", "coast"}

// run runs test in virtual time with a fleet that has converged.
func run(t *testing.T, count int, regions []string, test func(t *testing.T, fleet *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet()
		fleet.startAll(count, regions...)
		time.Sleep(30 * time.Second)
		synctest.Wait()
		fleet.wantAllLive(t)
		if !t.Failed() {
			test(t, fleet)
		}
		fleet.stop()
	})
}

// allHold reports whether every running node holds the host called name in
// state.
func (fleet *fleet) allHold(name string, state definer.HostState) func() bool {
	return func() bool {
		for _, node := range fleet.running() {
			if got, _ := node.stateOf(name); got != state {
				return false
			}
		}
		return true
	}
}

// routingState returns the state of the host called name for routing.
func (node *node) routingState(name string) definer.HostState {
	for _, host := range node.Monitor.Hosts() {
		if host.Name() == name {
			return host.State()
		}
	}
	return definer.Gone
}
