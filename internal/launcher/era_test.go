package launcher

import (
	"cmp"
	"context"
	"io"
	"maps"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/emulator"
	"github.com/chivespool/chivespool/platform"
)

// TestStoreGoesBack restores the store from an older copy while a version of the routing
// is written, and stops the gateway that reads the store for the others; another one is
// refused by the store and must learn of the era from a peer. The copy lacks
// the registrations of the gateways and brings back an endpoint that had left; then
// another version is written at a reused revision. No gateway may go back.
func TestStoreGoesBack(t *testing.T) {
	var keyspace emulator.Keyspace
	operator, gateways, stops := platform.NewOperator(&keyspace), make(map[string]*Gateway), make(map[string]context.CancelFunc)
	publish := func(version uint64) {
		route := definer.NewRoute("many", "/many/", []definer.Destination{definer.NewDestination("tile-api", 1)})
		if err := operator.Publish(version, hostName, []definer.Route{route}, platform.StubHealthPath, definer.CallerLimits{}); err != nil {
			t.Fatal(err)
		}
	}
	// await waits until all gateways know a version in an era, the endpoints and each other.
	await := func(version uint64, endpoints int, era uint64) {
		t.Helper()
		for deadline, waiting := time.Now().Add(startTimeout), true; waiting; time.Sleep(20 * time.Millisecond) {
			waiting = false
			for name, gateway := range gateways {
				view := gateway.tracker.View()
				if era > 0 && (view.Table().Version() < 2 || len(view.Endpoints("tile-api")) > 0) {
					t.Fatalf("%s went back to version %d and %d endpoints", name, view.Table().Version(), len(view.Endpoints("tile-api")))
				}
				waiting = waiting || view.Table().Version() < version || len(view.Endpoints("tile-api")) != endpoints ||
					view.Point().Era() != era || len(view.Hosts()) < len(gateways)
			}
			if time.Now().After(deadline) {
				t.Fatalf("not all gateways know version %d of era %d within %v", version, era, startTimeout)
			}
		}
	}
	publish(1)
	left := definer.NewEndpoint("i-1", "tile-api", "127.0.0.1:1", definer.NewPlace("nairobi", "nbo-a"), 4).WithStartedAt(1)
	if err := operator.Register(left); err != nil {
		t.Fatal(err)
	}
	copied, faults := keyspace.Snapshot(), make(map[string]*emulator.FaultInjector)
	for _, name := range []string{"front-nbo-a-1", "front-nbo-a-2", "front-nbo-a-3"} {
		faults[name] = &emulator.FaultInjector{}
		store := httptest.NewServer(platform.NewStoreServer(&keyspace, faults[name]).Handler())
		t.Cleanup(store.Close)
		gateways[name], _ = newGateway(t, name, store.URL, time.Second, io.Discard)
	}
	for name, gateway := range gateways {
		stops[name] = runGateway(t, gateway)
	}
	await(1, 1, 0)
	operator.Unregister(left.Name())
	publish(2)
	await(2, 0, 0)
	names := slices.SortedFunc(maps.Keys(gateways), func(a, b string) int {
		return cmp.Compare(gateways[a].store.Calls().Reads(), gateways[b].store.Calls().Reads())
	})
	reader, refused := names[len(names)-1], names[0]
	faults[refused].SetFaults(emulator.WithDisposition(emulator.Refused))
	publish(3) // Only some gateways may read it before it is lost.
	keyspace.Restore(copied)
	stops[reader]()
	delete(gateways, reader)
	await(2, 0, 1)
	publish(4)
	await(4, 0, 1)
	faults[refused].SetFaults()
	for name := range gateways {
		for deadline := time.Now().Add(startTimeout); ; time.Sleep(20 * time.Millisecond) {
			if pair, _ := keyspace.Pair(hostPrefix + name); pair.Lease() > 0 {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("%s is not registered again within %v", name, startTimeout)
			}
		}
	}
}
