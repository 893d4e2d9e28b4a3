package runner

import (
	"fmt"
	"testing"

	"github.com/chivespool/chivespool/internal/definer"
)

// newLedger returns a world with the service ledger, an endpoint at each
// place and an entry host at each place.
func newLedger(t testing.TB, places ...definer.Place) *world {
	world := newWorld(t)
	changes := []definer.Change{definer.SetPool("ledger"), definer.SetService(definer.NewService("ledger", "ledger"))}
	for index, place := range places {
		changes = append(changes, definer.SetEndpoint(world.endpoint(fmt.Sprintf("ledger-%d", index), "ledger", place)))
	}
	world.accept(changes...)
	for index, place := range places {
		world.daemon(fmt.Sprintf("entry-%d", index), place, "")
	}
	world.meet()
	return world
}

// meet waits until every entry host knows all others.
func (world *world) meet() {
	for _, daemon := range world.daemons {
		daemon.await(func() bool { return len(daemon.monitor.Hosts()) == len(world.daemons) })
	}
}

// await waits until the membership, as daemon sees it, fulfils condition.
func (daemon *Daemon) await(condition func() bool) {
	for {
		changed := daemon.monitor.Changed()
		if condition() {
			return
		}
		<-changed
	}
}

// TestKeyAcrossHosts re-sends a request with a key to three entry hosts at
// once, before and after the host that holds its claim is lost with the
// request at an endpoint.
func TestKeyAcrossHosts(t *testing.T) {
	world := newLedger(t, worldPlaces...)
	caller := newCaller(t)
	order := order{id: "transfer", key: "key", hold: "running"}
	running := world.holds.get("running")

	first := &flights{caller: caller}
	first.send(world.daemons[0], order)
	<-running.arrived
	again := &flights{caller: caller}
	for _, daemon := range world.daemons {
		again.send(daemon, order)
	}
	expectUnknown(t, "while it runs", again.end())

	world.gates[0].close()
	world.plugs[0].pull()
	if reply := first.end()[0]; reply.err == nil {
		t.Errorf("the lost host answered: %+v", reply)
	}
	expectUnknown(t, "its host is lost", world.everywhere(caller, order, 1))
	close(running.released)
	expectUnknown(t, "it ended", world.everywhere(caller, order, 1))
	if runs := world.runs(order.id); runs > 1 {
		t.Errorf("ran %d times", runs)
	}
}

// everywhere sends order to the daemons from the first one given, at once.
func (world *world) everywhere(caller *caller, order order, first int) []*reply {
	flights := &flights{caller: caller}
	for _, daemon := range world.daemons[first:] {
		flights.send(daemon, order)
	}
	return flights.end()
}

func expectUnknown(t *testing.T, when string, replies []*reply) {
	t.Helper()
	for index, reply := range replies {
		if !reply.unknown() {
			t.Errorf("%s, re-send %d: %+v, %+v", when, index, reply, reply.refusal)
		}
	}
}

// TestKeysAtOnce sends each of many keys to all entry hosts at once, and loses
// one host on the way.
func TestKeysAtOnce(t *testing.T) {
	const keys, lost = 60, 30
	world := newLedger(t, worldPlaces...)
	caller := newCaller(t)
	orders := make([]order, keys)
	for index := range orders {
		orders[index] = order{id: fmt.Sprint("swap-", index), key: fmt.Sprint("key-", index), size: 10}
		flights := &flights{caller: caller}
		for _, daemon := range world.daemons {
			flights.send(daemon, orders[index])
		}
		if index == lost {
			world.gates[0].close()
			world.plugs[0].pull()
		}
		expectOnce(t, orders[index], flights.end(), index < lost)
	}
	for _, order := range orders {
		recorded := false
		for _, reply := range world.everywhere(caller, order, 1) {
			recorded = recorded || reply.replayed
			if !reply.replayed && !reply.unknown() {
				t.Errorf("%s sent again: %+v, %+v", order.id, reply, reply.refusal)
			}
		}
		if runs := world.runs(order.id); runs > 1 || recorded && runs == 0 {
			t.Errorf("%s ran %d times, recorded %v", order.id, runs, recorded)
		}
	}
}

// expectOnce checks the replies to one key sent to all hosts at once: one of
// them is the answer, as long as all hosts stand.
func expectOnce(t *testing.T, order order, replies []*reply, standing bool) {
	t.Helper()
	answered := 0
	for _, reply := range replies {
		switch {
		case reply.whole() && !reply.replayed:
			answered++
		case reply.whole(), reply.unknown():
		case !standing && reply.err != nil:
		default:
			t.Errorf("%s: %+v, %+v", order.id, reply, reply.refusal)
		}
	}
	if answered > 1 || standing && answered != 1 {
		t.Errorf("%s was answered afresh %d times", order.id, answered)
	}
}
