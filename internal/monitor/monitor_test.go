package monitor

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

var regions = []string{"nairobi", "rift", "coast"}

// run runs test in virtual time with a fleet that has settled.
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

// allBelieve reports whether every running host believes that name is state.
func (fleet *fleet) allBelieve(name string, state definer.HostState) func() bool {
	return func() bool {
		for _, station := range fleet.running() {
			if got, _ := station.believes(name); got != state {
				return false
			}
		}
		return true
	}
}

// sees returns the state in which a host's requests see another one.
func (station *station) sees(name string) definer.HostState {
	for _, host := range station.Monitor.Hosts() {
		if host.Name() == name {
			return host.State()
		}
	}
	return definer.Gone
}
