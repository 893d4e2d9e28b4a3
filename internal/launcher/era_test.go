package launcher

import (
	"context"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/emulator"
	"github.com/chivespool/chivespool/platform"
)

// eraSite is a store with gateways.
type eraSite struct {
	keyspace emulator.Keyspace
	operator *platform.Operator
	gateways []*Gateway
}

// publish writes a version of the routing.
func (eraSite *eraSite) publish(t *testing.T, version uint64) {
	t.Helper()
	route := definer.NewRoute("many", "/many/", []definer.Destination{definer.NewDestination("tile-api", 1)})
	if err := eraSite.operator.Publish(version, hostName, []definer.Route{route}, platform.StubHealthPath, definer.CallerLimits{}); err != nil {
		t.Fatal(err)
	}
}

// await waits until all gateways fulfil a condition. It fails the test if one returns to
// an older version than kept meanwhile.
func (eraSite *eraSite) await(t *testing.T, what string, kept uint64, condition func(*Gateway) bool) {
	t.Helper()
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(20 * time.Millisecond) {
		met := 0
		for _, gateway := range eraSite.gateways {
			if version := gateway.tracker.View().Table().Version(); version < kept {
				t.Fatalf("%s returned to version %d from %d", gateway.self.Name(), version, kept)
			}
			if condition(gateway) {
				met++
			}
		}
		if met == len(eraSite.gateways) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d gateways %s within %v", met, len(eraSite.gateways), what, startTimeout)
		}
	}
}

// TestStoreGoesBack restores the store from an older copy while a version of the routing
// is written, and stops the gateway that reads the store for the others. The copy lacks
// the registrations of the gateways and brings back an endpoint that had left; then
// another version is written at a reused revision.
func TestStoreGoesBack(t *testing.T) {
	site := &eraSite{}
	site.operator = platform.NewOperator(&site.keyspace)
	store := httptest.NewServer(platform.NewStoreServer(&site.keyspace, &emulator.FaultInjector{}).Handler())
	t.Cleanup(store.Close)
	site.publish(t, 1)
	left := definer.NewEndpoint("i-1", "tile-api", "127.0.0.1:1", definer.NewPlace("nairobi", "nbo-a"), 4).WithStartedAt(1)
	if err := site.operator.Register(left); err != nil {
		t.Fatal(err)
	}
	copied := site.keyspace.Snapshot()
	for _, name := range []string{"front-nbo-a-1", "front-nbo-a-2", "front-nbo-a-3"} {
		gateway, _ := newGateway(t, name, store.URL, time.Second, io.Discard)
		site.gateways = append(site.gateways, gateway)
	}
	stops := make(map[*Gateway]context.CancelFunc)
	for _, gateway := range site.gateways {
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		stops[gateway] = stop
		go func() { ended <- gateway.Run(ctx) }()
		t.Cleanup(func() {
			stop()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
	knows := func(version uint64, endpoints int, era uint64) func(*Gateway) bool {
		return func(gateway *Gateway) bool {
			view := gateway.tracker.View()
			return view.Table().Version() >= version && len(view.Endpoints("tile-api")) == endpoints &&
				view.Point().Era() == era && len(view.Hosts()) >= len(site.gateways)
		}
	}
	site.await(t, "know the first version", 0, knows(1, 1, 0))
	site.operator.Unregister("i-1")
	site.publish(t, 2)
	site.await(t, "know the second version", 1, knows(2, 0, 0))
	site.publish(t, 3) // Only some gateways may read it before it is lost.
	site.keyspace.Restore(copied)
	first := 0
	for index, gateway := range site.gateways {
		if gateway.store.Calls().Reads() > site.gateways[first].store.Calls().Reads() {
			first = index // The reader of the fleet.
		}
	}
	stops[site.gateways[first]]()
	site.gateways = append(site.gateways[:first:first], site.gateways[first+1:]...)
	site.await(t, "entered the new era", 2, knows(2, 0, 1))
	site.publish(t, 4)
	site.await(t, "know the last version", 2, knows(4, 0, 1))
	site.await(t, "are registered again", 4, func(gateway *Gateway) bool {
		pair, _ := site.keyspace.Pair(hostPrefix + gateway.self.Name())
		return pair.Lease() > 0
	})
}
