package runner

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/pkg/client"
)

// TestCrashUnderUnrepeatable loses the endpoint under a request that must not
// repeat and bears no key.
func TestCrashUnderUnrepeatable(t *testing.T) {
	world := newLedger(t, worldPlaces[0], worldPlaces[0], worldPlaces[0])
	caller := newCaller(t)
	for index, daemon := range world.daemons {
		order := order{id: fmt.Sprint("approval-", index), kind: kindCrash}
		if reply := caller.send(daemon, order); !reply.unknown() {
			t.Errorf("%s: %+v, %+v", order.id, reply, reply.refusal)
		}
		if runs := world.runs(order.id); runs != 1 {
			t.Errorf("%s ran %d times", order.id, runs)
		}
	}
}

// TestDeadlyRequest sends a request that crashes each endpoint that runs it to
// all entry hosts, in turn and at once, with innocent requests beside it.
func TestDeadlyRequest(t *testing.T) {
	places := []definer.Place{worldPlaces[0], worldPlaces[0], worldPlaces[0]}
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			world := newLedger(t, places...)
			caller := newCaller(t)
			deadly := order{id: "deadly", kind: kindCrash, method: method}
			for range 2 {
				for _, daemon := range world.daemons {
					caller.send(daemon, deadly)
				}
				world.everywhere(caller, deadly, 0)
			}
			for index, reply := range world.everywhere(caller, deadly, 0) {
				if !reply.refused("deadly-request", client.RanNo) {
					t.Errorf("host %d still lets it run: %+v, %+v", index, reply, reply.refusal)
				}
			}
			if runs := world.runs(deadly.id); runs != 2 {
				t.Errorf("crashed %d endpoints", runs)
			}
			world.expectService(caller)
		})
	}
}

// expectService checks that every host answers requests of all sorts.
func (world *world) expectService(caller *caller) {
	world.t.Helper()
	for index := range 10 {
		for number, daemon := range world.daemons {
			order := order{id: fmt.Sprintf("innocent-%d-%d", index, number), size: 10}
			if reply := caller.send(daemon, order); !reply.whole() {
				world.t.Errorf("%s: %+v, %+v", order.id, reply, reply.refusal)
			}
		}
	}
}

// TestDeadlyRequestWhileHostsLeave sends a deadly request to hosts that are
// leaving, which go on serving callers that kept an old answer.
func TestDeadlyRequestWhileHostsLeave(t *testing.T) {
	world := newLedger(t, worldPlaces[0], worldPlaces[0], worldPlaces[0], worldPlaces[0])
	caller := newCaller(t)
	for _, leaving := range world.daemons[1:] {
		if err := leaving.monitor.Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	for _, daemon := range world.daemons {
		daemon.await(func() bool { return daemon.live() == 1 })
	}
	deadly := order{id: "deadly", kind: kindCrash}
	for _, daemon := range world.daemons {
		caller.send(daemon, deadly)
	}
	if runs := world.runs(deadly.id); runs != 2 {
		t.Errorf("crashed %d endpoints", runs)
	}
}

// live counts the live hosts that daemon knows.
func (daemon *Daemon) live() int {
	live := 0
	for _, host := range daemon.monitor.Hosts() {
		if host.State() == definer.Live {
			live++
		}
	}
	return live
}
