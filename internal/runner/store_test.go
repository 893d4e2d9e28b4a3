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

// setStoreFaults sets the faults of the store.
func (cluster *cluster) setStoreFaults(faults emulator.StoreFaults) {
	cluster.t.Helper()
	body, err := json.Marshal(faults)
	if err != nil {
		cluster.t.Fatal(err)
	}
	cluster.put(cluster.store+"/faults", bytes.NewReader(body))
}

// put sends a PUT request with a JSON body to a stand-in.
func (cluster *cluster) put(address string, body io.Reader) {
	cluster.t.Helper()
	request, err := http.NewRequestWithContext(cluster.t.Context(), http.MethodPut, address, body)
	if err != nil {
		cluster.t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		cluster.t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		cluster.t.Fatalf("put %s: %s", address, response.Status)
	}
}

// TestStoreOutage makes the store unavailable: requests without a key are
// served, those with a key are refused as not run, and a new host gets the
// configuration from its peers.
func TestStoreOutage(t *testing.T) {
	cluster := newLedgerCluster(t, clusterPlaces[0], clusterPlaces[1])
	caller := newCaller(t)
	cluster.setStoreFaults(emulator.StoreFaults{Outage: true})
	newDaemon := cluster.startDaemon("entry-new", clusterPlaces[0], "")
	if got, want := newDaemon.follower.Current().Revision(), cluster.daemons[0].follower.Current().Revision(); got != want {
		t.Errorf("the new host is at revision %d, the others at %d", got, want)
	}
	cluster.awaitMembership()
	keyed := call{id: "keyed", key: "key"}
	for index, reply := range cluster.sendToAll(caller, keyed, 0) {
		if !reply.refused("store-unavailable", "no") {
			t.Errorf("host %d: %+v, %+v", index, reply, reply.refusal)
		}
	}
	cluster.expectAvailable(caller)
	if runs := cluster.runs(keyed.id); runs != 0 {
		t.Errorf("refused as not run, but ran %d times", runs)
	}

	cluster.setStoreFaults(emulator.StoreFaults{})
	expectAnswered(t, caller, cluster.daemons[0], keyed)
	for _, daemon := range cluster.daemons[1:] {
		reply := caller.send(daemon, keyed)
		for reply.outcomeUnknown() {
			reply = caller.send(daemon, keyed) // The outcome is recorded after the answer is sent.
		}
		if !reply.complete() || !reply.replayed {
			t.Errorf("%s after the outage: %+v, %+v", daemon.self.Name(), reply, reply.refusal)
		}
	}
	if runs := cluster.runs(keyed.id); runs != 1 {
		t.Errorf("ran %d times", runs)
	}
	cluster.awaitRevision(cluster.change(newDaemon, definer.SetPool("new")))
}

// expectAnswered sends call until it is no longer refused as not run, and checks
// the answer.
func expectAnswered(t *testing.T, caller *caller, daemon *Daemon, call call) {
	t.Helper()
	reply := caller.send(daemon, call)
	for reply.refusal != nil && reply.refusal.NotRun() {
		reply = caller.send(daemon, call)
	}
	if !reply.complete() {
		t.Errorf("%s: %+v, %+v", call.id, reply, reply.refusal)
	}
}

// TestLostStoreReply drops the store's replies to the write of a claim and of a
// configuration change after the writes took effect: each takes effect once.
func TestLostStoreReply(t *testing.T) {
	cluster := newLedgerCluster(t, clusterPlaces[0], clusterPlaces[1])
	caller := newCaller(t)
	call := call{id: "transfer", key: "key"}
	cluster.setStoreFaults(emulator.StoreFaults{LoseReplies: 1})
	if reply := caller.send(cluster.daemons[0], call); !reply.complete() || reply.replayed {
		t.Errorf("%+v, %+v", reply, reply.refusal)
	}
	for index, reply := range cluster.sendToAll(caller, call, 0) {
		if !reply.complete() && !reply.outcomeUnknown() {
			t.Errorf("host %d: %+v, %+v", index, reply, reply.refusal)
		}
	}
	if runs := cluster.runs(call.id); runs != 1 {
		t.Errorf("ran %d times", runs)
	}
	before := cluster.daemons[0].follower.Current().Revision()
	cluster.setStoreFaults(emulator.StoreFaults{LoseReplies: 1})
	if revision := cluster.change(cluster.daemons[0], definer.SetPool("new")); revision != before+1 {
		t.Errorf("one change moved the revision from %d to %d", before, revision)
	}
	cluster.awaitRevision(before + 1)
}

// TestConfigurationReachesAllHosts changes the configuration at one host while
// another is disconnected from the store, then rolls the store's value back: all
// hosts get the changes, and none returns to the old revision.
func TestConfigurationReachesAllHosts(t *testing.T) {
	cluster := newLedgerCluster(t, clusterPlaces...)
	storeGate := cluster.storeGates[2]
	storeGate.close()
	old, err := cluster.daemons[0].store.Get(t.Context(), encoder.HeadKey)
	if err != nil {
		t.Fatal(err)
	}
	var revision uint64
	for range 3 {
		revision = cluster.change(cluster.daemons[0], definer.SetPool("new"), definer.SetService(definer.NewService("new", "new")))
		cluster.awaitRevision(revision)
	}
	storeGate.open()
	store := cluster.daemons[0].store
	head, err := store.Get(t.Context(), encoder.HeadKey)
	if err != nil {
		t.Fatal(err)
	}
	watches := make(map[*Daemon]int64)
	for _, daemon := range cluster.daemons {
		watches[daemon] = daemon.store.Calls().Watches()
	}
	if _, err := store.CompareAndSwap(t.Context(), encoder.HeadKey, head.Version(), old.Data()); err != nil {
		t.Fatal(err)
	}
	// Each host is the watcher of its data centre: a further watch shows that it
	// has processed the result of the previous one.
	for _, daemon := range cluster.daemons {
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
