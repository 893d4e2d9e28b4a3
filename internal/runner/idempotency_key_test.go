package runner

import (
	"fmt"
	"testing"

	"github.com/chivespool/chivespool/internal/definer"
)

// newLedgerCluster starts a cluster with the service ledger, and an endpoint and
// an entry host at each place.
func newLedgerCluster(t testing.TB, places ...definer.Place) *cluster {
	cluster := newCluster(t)
	changes := []definer.Change{definer.SetPool("ledger"), definer.SetService(definer.NewService("ledger", "ledger"))}
	for index, place := range places {
		changes = append(changes, definer.SetEndpoint(cluster.startEndpoint(fmt.Sprintf("ledger-%d", index), "ledger", place)))
	}
	cluster.bootstrap(changes...)
	for index, place := range places {
		cluster.startDaemon(fmt.Sprintf("entry-%d", index), place, "")
	}
	cluster.awaitMembership()
	return cluster
}

// awaitMembership waits until every entry host knows all others.
func (cluster *cluster) awaitMembership() {
	for _, daemon := range cluster.daemons {
		daemon.await(func() bool { return len(daemon.monitor.Hosts()) == len(cluster.daemons) })
	}
}

// await waits until condition holds, and checks it after each change of daemon's
// membership.
func (daemon *Daemon) await(condition func() bool) {
	for {
		changed := daemon.monitor.Changed()
		if condition() {
			return
		}
		<-changed
	}
}

// TestKeyAcrossHosts resends a request with a key to all entry hosts: while an
// endpoint runs it, after the host that claimed its key has failed, and after the
// endpoint has finished. The request must not run twice.
func TestKeyAcrossHosts(t *testing.T) {
	cluster := newLedgerCluster(t, clusterPlaces...)
	caller := newCaller(t)
	call := call{id: "transfer", key: "key", barrier: "running"}
	running := cluster.barriers.get("running")

	first := &callGroup{caller: caller}
	first.send(cluster.daemons[0], call)
	<-running.arrived
	again := &callGroup{caller: caller}
	for _, daemon := range cluster.daemons {
		again.send(daemon, call)
	}
	expectOutcomeUnknown(t, "while it runs", again.join())

	cluster.storeGates[0].close()
	cluster.connectionTrackers[0].disconnect()
	if reply := first.join()[0]; reply.err == nil {
		t.Errorf("the failed host answered: %+v", reply)
	}
	expectOutcomeUnknown(t, "after its host failed", cluster.sendToAll(caller, call, 1))
	close(running.released)
	expectOutcomeUnknown(t, "after it ended", cluster.sendToAll(caller, call, 1))
	if runs := cluster.runs(call.id); runs > 1 {
		t.Errorf("ran %d times", runs)
	}
}

// sendToAll sends call concurrently to the daemons from index first on.
func (cluster *cluster) sendToAll(caller *caller, call call, first int) []*reply {
	callGroup := &callGroup{caller: caller}
	for _, daemon := range cluster.daemons[first:] {
		callGroup.send(daemon, call)
	}
	return callGroup.join()
}

func expectOutcomeUnknown(t *testing.T, when string, replies []*reply) {
	t.Helper()
	for index, reply := range replies {
		if !reply.outcomeUnknown() {
			t.Errorf("%s, resend %d: %+v, %+v", when, index, reply, reply.refusal)
		}
	}
}

// TestConcurrentKeys sends each of many keys to all entry hosts at once while
// one host fails: no request runs twice.
func TestConcurrentKeys(t *testing.T) {
	const keys, failureIndex = 60, 30
	cluster := newLedgerCluster(t, clusterPlaces...)
	caller := newCaller(t)
	calls := make([]call, keys)
	for index := range calls {
		calls[index] = call{id: fmt.Sprint("swap-", index), key: fmt.Sprint("key-", index), size: 10}
		callGroup := &callGroup{caller: caller}
		for _, daemon := range cluster.daemons {
			callGroup.send(daemon, calls[index])
		}
		if index == failureIndex {
			cluster.storeGates[0].close()
			cluster.connectionTrackers[0].disconnect()
		}
		expectOneAnswer(t, calls[index], callGroup.join(), index < failureIndex)
	}
	for _, call := range calls {
		recorded := false
		for _, reply := range cluster.sendToAll(caller, call, 1) {
			recorded = recorded || reply.replayed
			if !reply.replayed && !reply.outcomeUnknown() {
				t.Errorf("%s resent: %+v, %+v", call.id, reply, reply.refusal)
			}
		}
		if runs := cluster.runs(call.id); runs > 1 || recorded && runs == 0 {
			t.Errorf("%s ran %d times, recorded %v", call.id, runs, recorded)
		}
	}
}

// expectOneAnswer checks the replies to one key sent to all hosts at once: at
// most one is an answer that was not recorded earlier, and exactly one if all
// hosts are up.
func expectOneAnswer(t *testing.T, call call, replies []*reply, hostsUp bool) {
	t.Helper()
	answered := 0
	for _, reply := range replies {
		switch {
		case reply.complete() && !reply.replayed:
			answered++
		case reply.complete(), reply.outcomeUnknown():
		case !hostsUp && reply.err != nil:
		default:
			t.Errorf("%s: %+v, %+v", call.id, reply, reply.refusal)
		}
	}
	if answered > 1 || hostsUp && answered != 1 {
		t.Errorf("%s got %d answers that were not recorded earlier", call.id, answered)
	}
}
