package runner

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/pkg/client"
)

// TestCrashDuringUnrepeatableRequest crashes the endpoint during a request that
// is not repeatable and has no key: it runs once, and its outcome is unknown.
func TestCrashDuringUnrepeatableRequest(t *testing.T) {
	cluster := newLedgerCluster(t, clusterPlaces[0], clusterPlaces[0], clusterPlaces[0])
	caller := newCaller(t)
	for index, daemon := range cluster.daemons {
		call := call{id: fmt.Sprint("approval-", index), kind: kindCrash}
		if reply := caller.send(daemon, call); !reply.outcomeUnknown() {
			t.Errorf("%s: %+v, %+v", call.id, reply, reply.refusal)
		}
		if runs := cluster.runs(call.id); runs != 1 {
			t.Errorf("%s ran %d times", call.id, runs)
		}
	}
}

// TestDeadlyRequest sends a request that crashes every endpoint that runs it to
// all entry hosts, in turn and concurrently. It may crash two endpoints in all;
// other requests are still served.
func TestDeadlyRequest(t *testing.T) {
	places := []definer.Place{clusterPlaces[0], clusterPlaces[0], clusterPlaces[0]}
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			cluster := newLedgerCluster(t, places...)
			caller := newCaller(t)
			deadly := call{id: "deadly", kind: kindCrash, method: method}
			for range 2 {
				for _, daemon := range cluster.daemons {
					caller.send(daemon, deadly)
				}
				cluster.sendToAll(caller, deadly, 0)
			}
			for index, reply := range cluster.sendToAll(caller, deadly, 0) {
				if !reply.refused("deadly-request", client.RanNo) {
					t.Errorf("host %d did not refuse the deadly request: %+v, %+v", index, reply, reply.refusal)
				}
			}
			if runs := cluster.runs(deadly.id); runs != 2 {
				t.Errorf("crashed %d endpoints", runs)
			}
			cluster.expectAvailable(caller)
		})
	}
}

// expectAvailable checks that every entry host serves requests.
func (cluster *cluster) expectAvailable(caller *caller) {
	cluster.t.Helper()
	for index := range 10 {
		for number, daemon := range cluster.daemons {
			call := call{id: fmt.Sprintf("innocent-%d-%d", index, number), size: 10}
			if reply := caller.send(daemon, call); !reply.complete() {
				cluster.t.Errorf("%s: %+v, %+v", call.id, reply, reply.refusal)
			}
		}
	}
}

// TestDeadlyRequestWhileHostsLeave sends a deadly request to hosts that are
// leaving, which still serve callers with an old location answer. They must also
// have received the crashes, and refuse it after two.
func TestDeadlyRequestWhileHostsLeave(t *testing.T) {
	cluster := newLedgerCluster(t, clusterPlaces[0], clusterPlaces[0], clusterPlaces[0], clusterPlaces[0])
	caller := newCaller(t)
	for _, leaving := range cluster.daemons[1:] {
		if err := leaving.monitor.Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	for _, daemon := range cluster.daemons {
		daemon.await(func() bool { return daemon.liveHosts() == 1 })
	}
	deadly := call{id: "deadly", kind: kindCrash}
	for _, daemon := range cluster.daemons {
		caller.send(daemon, deadly)
	}
	if runs := cluster.runs(deadly.id); runs != 2 {
		t.Errorf("crashed %d endpoints", runs)
	}
}

// liveHosts returns the number of live hosts in the membership of daemon.
func (daemon *Daemon) liveHosts() int {
	live := 0
	for _, host := range daemon.monitor.Hosts() {
		if host.State() == definer.Live {
			live++
		}
	}
	return live
}
