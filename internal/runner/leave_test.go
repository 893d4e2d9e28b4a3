package runner

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/emulator"
	"github.com/chivespool/chivespool/pkg/client"
)

// TestDrainingEndpoint drains an endpoint by each signal: its own answers, the
// host list, and an operator. It must get no requests once its home has the signal.
func TestDrainingEndpoint(t *testing.T) {
	signals := map[string]func(cluster *cluster, backend *backendServer){
		"answers": func(_ *cluster, backend *backendServer) { backend.Drain() },
		"host-list": func(cluster *cluster, backend *backendServer) {
			body := strings.NewReader(`{"address": "127.0.0.1:1", "state": "leaving"}`)
			cluster.put(cluster.hostList+"/backends/"+backend.Name(), body)
		},
		"operators": func(cluster *cluster, backend *backendServer) {
			cluster.awaitRevision(cluster.change(cluster.daemons[0], definer.DrainEndpoint(backend.Name())))
		},
	}
	for name, signal := range signals {
		t.Run(name, func(t *testing.T) {
			cluster := newLedgerCluster(t, clusterPlaces[0], clusterPlaces[0], clusterPlaces[0])
			caller := newCaller(t)
			cluster.expectAvailable(caller)
			backend := cluster.backends["ledger-0"]
			signal(cluster, backend)
			// The home's status shows when the signal has arrived.
			for number := 0; !cluster.isDraining(backend.Name()); number++ {
				caller.send(cluster.daemons[number%3], call{id: fmt.Sprint("before-", number)})
			}
			arrived := backend.arrived.Load()
			for range 5 {
				cluster.expectAvailable(caller)
			}
			if lateRequests := backend.arrived.Load() - arrived; lateRequests != 0 {
				t.Errorf("%d requests arrived after the drain signal", lateRequests)
			}
		})
	}
}

// isDraining reports whether the home of the endpoint shows it as draining or
// drained.
func (cluster *cluster) isDraining(name string) bool {
	for _, daemon := range cluster.daemons {
		for _, pool := range daemon.router.Status().Pools() {
			for _, endpoint := range pool.Endpoints() {
				if endpoint.Endpoint().Name() == name {
					return endpoint.State() == "draining" || endpoint.State() == "drained"
				}
			}
		}
	}
	return false
}

// TestPlannedStop stops an entry host under load from callers that use the
// client package: no request is lost, truncated, run twice or refused.
func TestPlannedStop(t *testing.T) {
	const workers, requests = 8, 60
	cluster := newLedgerCluster(t, clusterPlaces[0], clusterPlaces[0], clusterPlaces[0])
	loadGenerator := &loadGenerator{cluster: cluster, underway: make(chan struct{}), requests: requests}
	for number := range workers {
		loadGenerator.pending.Add(1)
		go loadGenerator.run(number)
	}
	<-loadGenerator.underway
	stopped := cluster.entryIndex("ledger")
	cluster.stopDaemons[stopped]()
	loadGenerator.pending.Wait()
	for index, daemon := range cluster.daemons {
		if index == stopped {
			continue
		}
		callers := client.New(daemon.self.Address())
		where, err := callers.Where(t.Context(), "ledger")
		_ = callers.Close()
		if err != nil || slices.Contains(where.Addresses(), cluster.daemons[stopped].self.Address()) {
			t.Errorf("%s still returns the stopped host: %v, %v", daemon.self.Name(), where.Addresses(), err)
		}
	}
}

// entryIndex returns the index of the host that callers of service use first.
func (cluster *cluster) entryIndex(service string) int {
	callers := client.New(cluster.daemons[0].self.Address())
	defer func() { _ = callers.Close() }()
	where, err := callers.Where(cluster.t.Context(), service)
	if err != nil {
		cluster.t.Fatal(err)
	}
	return slices.IndexFunc(cluster.daemons, func(daemon *Daemon) bool {
		return daemon.self.Address() == where.Addresses()[0]
	})
}

// loadGenerator runs workers that send unrepeatable requests.
type loadGenerator struct {
	cluster  *cluster
	requests int
	pending  sync.WaitGroup
	// underway closes when a worker has sent a third of its requests.
	underway chan struct{}
	once     sync.Once
}

func (loadGenerator *loadGenerator) run(number int) {
	defer loadGenerator.pending.Done()
	var entries []string
	for _, daemon := range loadGenerator.cluster.daemons {
		entries = append(entries, daemon.self.Address())
	}
	callers := client.New(entries...).WithPlace("nairobi", "nairobi-a").WithSeed(fmt.Sprint(number))
	defer func() { _ = callers.Close() }()
	for index := range loadGenerator.requests {
		if index == loadGenerator.requests/3 {
			loadGenerator.once.Do(func() { close(loadGenerator.underway) })
		}
		loadGenerator.send(callers, fmt.Sprintf("stop-%d-%d", number, index))
	}
}

func (loadGenerator *loadGenerator) send(callers *client.Client, id string) {
	const size = 100_000
	request := client.NewRequest("ledger", http.MethodPost, "/"+id, []byte(callBody))
	request.Header().Set(headerWorkID, id)
	request.Header().Set(headerBytes, fmt.Sprint(size))
	request.Header().Set("Work-Ms", "8")
	response, err := callers.Do(loadGenerator.cluster.t.Context(), request)
	if err != nil {
		loadGenerator.cluster.t.Errorf("%s: %v", id, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	verdict, err := emulator.Check(emulator.NewAnswer(id, size, xxhash.Sum64String(callBody)), response.Body)
	if runs := loadGenerator.cluster.runs(id); verdict != emulator.Complete || err != nil || runs != 1 {
		loadGenerator.cluster.t.Errorf("%s: %s, %v, ran %d times", id, verdict, err, runs)
	}
}
