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

// TestDrainingEndpoint lets an endpoint leave by each of the signs: its own
// answers, the host list, and the operators. No work follows the first sign.
func TestDrainingEndpoint(t *testing.T) {
	signs := map[string]func(world *world, backend *backendServer){
		"answers": func(_ *world, backend *backendServer) { backend.Drain() },
		"host-list": func(world *world, backend *backendServer) {
			body := strings.NewReader(`{"address": "127.0.0.1:1", "state": "leaving"}`)
			world.put(world.hostList+"/backends/"+backend.Name(), body)
		},
		"operators": func(world *world, backend *backendServer) {
			world.reach(world.change(world.daemons[0], definer.DrainEndpoint(backend.Name())))
		},
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			world := newLedger(t, worldPlaces[0], worldPlaces[0], worldPlaces[0])
			caller := newCaller(t)
			world.expectService(caller)
			backend := world.backends["ledger-0"]
			sign(world, backend)
			// The sign has reached the home once its status shows it.
			for number := 0; !world.drains(backend.Name()); number++ {
				caller.send(world.daemons[number%3], order{id: fmt.Sprint("before-", number)})
			}
			arrived := backend.arrived.Load()
			for range 5 {
				world.expectService(caller)
			}
			if late := backend.arrived.Load() - arrived; late != 0 {
				t.Errorf("%d requests came after the sign", late)
			}
		})
	}
}

// drains reports whether the home of the endpoint called name gives it no work.
func (world *world) drains(name string) bool {
	for _, daemon := range world.daemons {
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

// TestPlannedStop stops an entry host under the load of callers that use the
// client package: no request is lost, cut, doubled or refused.
func TestPlannedStop(t *testing.T) {
	const workers, requests = 8, 60
	world := newLedger(t, worldPlaces[0], worldPlaces[0], worldPlaces[0])
	load := &load{world: world, halfway: make(chan struct{}), requests: requests}
	for number := range workers {
		load.wait.Add(1)
		go load.run(number)
	}
	<-load.halfway
	stopped := world.named("ledger")
	world.stopDaemon[stopped]()
	load.wait.Wait()
	for index, daemon := range world.daemons {
		if index == stopped {
			continue
		}
		callers := client.New(daemon.self.Address())
		where, err := callers.Where(t.Context(), "ledger")
		_ = callers.Close()
		if err != nil || slices.Contains(where.Addresses(), world.daemons[stopped].self.Address()) {
			t.Errorf("%s names %v, %v", daemon.self.Name(), where.Addresses(), err)
		}
	}
}

// named returns the index of the host that callers of service are sent to.
func (world *world) named(service string) int {
	callers := client.New(world.daemons[0].self.Address())
	defer func() { _ = callers.Close() }()
	where, err := callers.Where(world.t.Context(), service)
	if err != nil {
		world.t.Fatal(err)
	}
	return slices.IndexFunc(world.daemons, func(daemon *Daemon) bool {
		return daemon.self.Address() == where.Addresses()[0]
	})
}

// load is callers that send requests which must not repeat.
type load struct {
	world    *world
	requests int
	wait     sync.WaitGroup
	// halfway closes when one worker has sent a third of its requests.
	halfway chan struct{}
	once    sync.Once
}

func (load *load) run(number int) {
	defer load.wait.Done()
	var entries []string
	for _, daemon := range load.world.daemons {
		entries = append(entries, daemon.self.Address())
	}
	callers := client.New(entries...).WithPlace("nairobi", "nairobi-a").WithSeed(fmt.Sprint(number))
	defer func() { _ = callers.Close() }()
	for index := range load.requests {
		if index == load.requests/3 {
			load.once.Do(func() { close(load.halfway) })
		}
		load.send(callers, fmt.Sprintf("stop-%d-%d", number, index))
	}
}

func (load *load) send(callers *client.Client, id string) {
	const size = 100_000
	request := client.NewRequest("ledger", http.MethodPost, "/"+id, []byte(orderBody))
	request.Header().Set(headerWorkID, id)
	request.Header().Set(headerBytes, fmt.Sprint(size))
	request.Header().Set("Work-Ms", "8")
	response, err := callers.Do(load.world.t.Context(), request)
	if err != nil {
		load.world.t.Errorf("%s: %v", id, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	verdict, err := emulator.Check(emulator.NewAnswer(id, size, xxhash.Sum64String(orderBody)), response.Body)
	if runs := load.world.runs(id); verdict != emulator.Complete || err != nil || runs != 1 {
		load.world.t.Errorf("%s: %s, %v, ran %d times", id, verdict, err, runs)
	}
}
