package runner

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/emulator"
	"github.com/chivespool/chivespool/internal/encoder"
)

// setFaults switches the store's faults.
func (world *world) setFaults(faults emulator.StoreFaults) {
	world.t.Helper()
	body, err := json.Marshal(faults)
	if err != nil {
		world.t.Fatal(err)
	}
	world.put(world.store+"/faults", bytes.NewReader(body))
}

// put sends JSON to a stand-in.
func (world *world) put(address string, body io.Reader) {
	world.t.Helper()
	request, err := http.NewRequestWithContext(world.t.Context(), http.MethodPut, address, body)
	if err != nil {
		world.t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		world.t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		world.t.Fatalf("put %s: %s", address, response.Status)
	}
}

// TestStoreOutage takes the store away: requests without a key are served,
// those with one are refused as not run, and a new host starts from its peers.
func TestStoreOutage(t *testing.T) {
	world := newLedger(t, worldPlaces[0], worldPlaces[1])
	caller := newCaller(t)
	world.setFaults(emulator.StoreFaults{Outage: true})
	newcomer := world.daemon("entry-new", worldPlaces[0], "")
	if got, want := newcomer.follower.Current().Revision(), world.daemons[0].follower.Current().Revision(); got != want {
		t.Errorf("the new host is at revision %d, the others at %d", got, want)
	}
	world.meet()
	keyed := order{id: "keyed", key: "key"}
	for index, reply := range world.everywhere(caller, keyed, 0) {
		if !reply.refused("store-unavailable", "no") {
			t.Errorf("host %d: %+v, %+v", index, reply, reply.refusal)
		}
	}
	world.expectService(caller)
	if runs := world.runs(keyed.id); runs != 0 {
		t.Errorf("refused as not run, and ran %d times", runs)
	}

	world.setFaults(emulator.StoreFaults{})
	expectAnswered(t, caller, world.daemons[0], keyed)
	for _, daemon := range world.daemons[1:] {
		reply := caller.send(daemon, keyed)
		for reply.unknown() {
			reply = caller.send(daemon, keyed) // An outcome is recorded soon after its answer.
		}
		if !reply.whole() || !reply.replayed {
			t.Errorf("%s after the outage: %+v, %+v", daemon.self.Name(), reply, reply.refusal)
		}
	}
	if runs := world.runs(keyed.id); runs != 1 {
		t.Errorf("ran %d times", runs)
	}
	world.reach(world.change(newcomer, definer.SetPool("new")))
}

// expectAnswered sends order until it is not refused as not run.
func expectAnswered(t *testing.T, caller *caller, daemon *Daemon, order order) {
	t.Helper()
	reply := caller.send(daemon, order)
	for reply.refusal != nil && reply.refusal.NotRun() {
		reply = caller.send(daemon, order)
	}
	if !reply.whole() {
		t.Errorf("%s: %+v, %+v", order.id, reply, reply.refusal)
	}
}

// TestLostReply loses the store's reply to a claim and to a change after the
// writes took effect: each takes effect once.
func TestLostReply(t *testing.T) {
	world := newLedger(t, worldPlaces[0], worldPlaces[1])
	caller := newCaller(t)
	order := order{id: "transfer", key: "key"}
	world.setFaults(emulator.StoreFaults{LoseReplies: 1})
	if reply := caller.send(world.daemons[0], order); !reply.whole() || reply.replayed {
		t.Errorf("%+v, %+v", reply, reply.refusal)
	}
	for index, reply := range world.everywhere(caller, order, 0) {
		if !reply.whole() && !reply.unknown() {
			t.Errorf("host %d: %+v, %+v", index, reply, reply.refusal)
		}
	}
	if runs := world.runs(order.id); runs != 1 {
		t.Errorf("ran %d times", runs)
	}
	before := world.daemons[0].follower.Current().Revision()
	world.setFaults(emulator.StoreFaults{LoseReplies: 1})
	if revision := world.change(world.daemons[0], definer.SetPool("new")); revision != before+1 {
		t.Errorf("one change led from revision %d to %d", before, revision)
	}
	world.reach(before + 1)
}

// TestConfigurationEverywhere changes the configuration at one host while
// another can't reach the store, and gives the store an old value back.
func TestConfigurationEverywhere(t *testing.T) {
	world := newLedger(t, worldPlaces...)
	cut := world.gates[2]
	cut.close()
	old, err := world.daemons[0].store.Get(t.Context(), encoder.HeadKey)
	if err != nil {
		t.Fatal(err)
	}
	var revision uint64
	for range 3 {
		revision = world.change(world.daemons[0], definer.SetPool("new"), definer.SetService(definer.NewService("new", "new")))
		world.reach(revision)
	}
	cut.open()
	store := world.daemons[0].store
	now, err := store.Get(t.Context(), encoder.HeadKey)
	if err != nil {
		t.Fatal(err)
	}
	watches := make(map[*Daemon]int64)
	for _, daemon := range world.daemons {
		watches[daemon] = daemon.store.Calls().Watches()
	}
	if _, err := store.CompareAndSwap(t.Context(), encoder.HeadKey, now.Version(), old.Data()); err != nil {
		t.Fatal(err)
	}
	// Each host watches for its own data centre: a further watch tells that it
	// took in what the one before brought.
	for _, daemon := range world.daemons {
		for daemon.store.Calls().Watches() == watches[daemon] {
			if _, err := store.Get(t.Context(), encoder.HeadKey); err != nil {
				t.Fatal(err)
			}
		}
		if got := daemon.follower.Current().Revision(); got != revision {
			t.Errorf("%s is at revision %d, not %d", daemon.self.Name(), got, revision)
		}
	}
}
