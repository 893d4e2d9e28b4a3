package assigner

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/permitter"
	"github.com/chivespool/chivespool/internal/placer"
	"github.com/chivespool/chivespool/internal/router"
)

// stub is a service of endpoints with four slots each.
type stub struct {
	endpoints []definer.Endpoint
	// running is what the endpoints report.
	running atomic.Int64
	probes  atomic.Int64
}

func (stub *stub) Endpoints(string) []definer.Endpoint { return stub.endpoints }

func (stub *stub) Freshness() (time.Duration, uint64) { return 0, 1 }

func (stub *stub) Routine(string, ...any) {}

func (stub *stub) Change(string, ...any) {}

func (stub *stub) Probe(context.Context, definer.Endpoint) (definer.Report, error) {
	stub.probes.Add(1)
	time.Sleep(time.Millisecond)
	return definer.NewReport(true, int(stub.running.Load()), 0, 4, 1), nil
}

// start returns an assigner for some endpoints, and a function that starts requests and
// returns the number that were assigned.
func start(t *testing.T, endpoints int, running int64) (*stub, *Assigner, func(requests int) *atomic.Int64) {
	t.Helper()
	place, stub := definer.NewPlace("r", "r-a"), &stub{}
	stub.running.Store(running)
	for index := range endpoints {
		stub.endpoints = append(stub.endpoints, definer.NewEndpoint(fmt.Sprint("e", index), "s", "10.0.0.1:1", place, 4))
	}
	self := definer.NewHost("h", "10.0.0.2:1", "10.0.0.2:2", place, 1)
	assigner := New(stub, stub, placer.New(place, 1), permitter.New(self, stub), stub)
	assigner.SetRegistry(metrics.NewRegistry())
	return stub, assigner, func(requests int) *atomic.Int64 {
		assigned := new(atomic.Int64)
		for range requests {
			go func() {
				deadline := time.Now().Add(2 * time.Second)
				request := router.NewRequest("s", router.WithClass("c"), router.WithDeadline(deadline),
					router.WithCallerDeadline(deadline), router.WithTarget(time.Second))
				if _, err := assigner.Acquire(t.Context(), request); err == nil {
					assigned.Add(1)
				}
			}()
		}
		return assigned
	}
}

// TestConcurrentRequestsShareProbes checks that requests that arrive together share the
// probes, and that no more of them get a slot than are free: each sent its own and all
// took the same slot.
func TestConcurrentRequestsShareProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stub, assigner, request := start(t, 2, 0)
		assigned := request(6)
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		_ = assigner.Close()
		if assigned.Load() != 6 || stub.probes.Load() != 2 {
			t.Errorf("%d of 6 requests are assigned with %d probes, want all with 2", assigned.Load(), stub.probes.Load())
		}
		for _, endpoint := range stub.endpoints {
			reading, ok := assigner.pacer.Read(time.Now(), endpoint.Name())
			if report, _ := assigner.pacer.Current(reading); !ok || report.Running() != 3 {
				t.Errorf("%s has %d requests, want 3", endpoint.Name(), report.Running())
			}
		}
	})
}

// TestWaitingRequestsShareRounds guards against a round of probes for each waiting request.
func TestWaitingRequestsShareRounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait = 300 * time.Millisecond
		stub, assigner, request := start(t, 8, 4)
		assigned := request(20)
		time.Sleep(wait)
		// Rounds are at least half of the interval apart, and each probes four endpoints; the first
		// searches probe all.
		rounds := 1 + int64(wait/(placer.ProbeInterval/2))
		if probes := stub.probes.Load(); probes > int64(len(stub.endpoints))+4*(rounds-1) || assigned.Load() > 0 {
			t.Errorf("20 waiting requests sent %d probes in %v, and %d were assigned", probes, wait, assigned.Load())
		}
		stub.running.Store(0)
		time.Sleep(2 * placer.ProbeInterval)
		synctest.Wait()
		_ = assigner.Close()
		if assigned.Load() == 0 {
			t.Error("no waiting request is assigned though slots are free")
		}
		time.Sleep(2 * time.Second)
	})
}

// TestFreeSlotEndsWait checks that a request that waits gets the slot that the head of an
// answer shows, without a probe and before the next round.
func TestFreeSlotEndsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stub, assigner, request := start(t, 2, 4)
		assigned := request(2)
		time.Sleep(5 * time.Millisecond)
		probes := stub.probes.Load()
		assigner.Record(time.Now(), stub.endpoints[0], definer.NewReport(true, 1, 0, 4, 1))
		synctest.Wait()
		if assigned.Load() != 1 || stub.probes.Load() != probes {
			t.Errorf("%d requests are assigned with %d more probes, want one without", assigned.Load(), stub.probes.Load()-probes)
		}
		time.Sleep(2 * time.Second)
		_ = assigner.Close()
	})
}
