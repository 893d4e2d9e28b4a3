package assigner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/permitter"
	"github.com/chivespool/chivespool/internal/placer"
	"github.com/chivespool/chivespool/internal/refuser"
	"github.com/chivespool/chivespool/internal/router"
)

// platform is a directory and a prober of endpoints whose load a test sets.
type platform struct {
	mu        sync.Mutex
	endpoints []definer.Endpoint
	running   int
}

func (platform *platform) Endpoints(string) []definer.Endpoint {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return platform.endpoints
}

func (*platform) Freshness() (time.Duration, uint64) { return 0, 1 }

func (platform *platform) Probe(context.Context, definer.Endpoint) (definer.Report, error) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return definer.NewReport(true, platform.running, 0, 4, 1), nil
}

// set replaces the endpoints and the number of requests that each of them runs.
func (platform *platform) set(running int, endpoints ...definer.Endpoint) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.endpoints, platform.running = endpoints, running
}

type discardJournal struct{}

func (discardJournal) Routine(string, ...any) {}

func (discardJournal) Change(string, ...any) {}

func newAssigner(platform *platform) *Assigner {
	place := definer.NewPlace("north", "north-a")
	self := definer.NewHost("host-1", "", "", place, 1)
	return New(platform, platform, placer.New(place, 1), permitter.New(self, discardJournal{}), discardJournal{})
}

func endpointIn(region string, number int) definer.Endpoint {
	name := fmt.Sprint(region, "-", number)
	return definer.NewEndpoint(name, "ledger", "10.0.0.1:1", definer.NewPlace(region, region+"-a"), 4)
}

func acquire(assigner *Assigner, regions ...string) (string, error) {
	deadline := time.Now().Add(2 * time.Second)
	request := router.NewRequest("ledger", router.WithDeadline(deadline), router.WithTarget(time.Second), router.InRegions(regions))
	slot, err := assigner.Acquire(context.Background(), request)
	if err != nil {
		return "", err
	}
	slot.Release(router.NewResult(router.Answered, 100*time.Millisecond))
	return slot.Endpoint().Place().Region(), nil
}

// TestRegions guards against a request that is sent to a region that it must not go to,
// also where the region of the host has room and the others do not answer.
func TestRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := &platform{}
		assigner := newAssigner(platform)
		platform.set(0, endpointIn("north", 1), endpointIn("north", 2), endpointIn("south", 1), endpointIn("west", 1))
		for range 50 {
			if region, err := acquire(assigner, "south"); err != nil || region != "south" {
				t.Fatalf("a request for the south goes to %q, %v", region, err)
			}
		}
		_, err := acquire(assigner, "east")
		refusal := new(refuser.Refusal)
		if !errors.As(err, &refusal) || refusal.Kind() != refuser.KindNoEndpoint || refusal.Ran() != refuser.NotRun || refusal.RetryAfter() == 0 {
			t.Errorf("a request without an endpoint in its regions gets %v, want a rejection that it did not run", err)
		}
		synctest.Wait()
	})
}

// TestEvacuationDuringWait guards against a request that waits for capacity and is then
// sent to an endpoint that has left the view in the meantime.
func TestEvacuationDuringWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := &platform{}
		assigner := newAssigner(platform)
		platform.set(4, endpointIn("north", 1))
		time.AfterFunc(3*placer.ProbeInterval, func() { platform.set(0, endpointIn("south", 1)) })
		if region, err := acquire(assigner); err != nil || region != "south" {
			t.Errorf("the request goes to %q, %v; want the south, since the north was evacuated", region, err)
		}
		time.Sleep(time.Second)
		synctest.Wait()
	})
}
