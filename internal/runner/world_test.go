package runner

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/arbiter"
	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/emulator"
	"github.com/chivespool/chivespool/internal/follower"
	"github.com/chivespool/chivespool/internal/setter"
	"github.com/chivespool/chivespool/internal/submitter"
	"github.com/chivespool/chivespool/internal/supervisor"
)

// world is a small installation on loopback: the platform's stand-ins, the
// endpoints of one pool, and entry hosts in one data centre each.
type world struct {
	t        testing.TB
	store    string
	hostList string
	key      ed25519.PublicKey
	backends map[string]*backendServer
	holds    holds
	daemons  []*Daemon
	// plugs, gates and stopDaemon are of the daemons, in their order.
	plugs      []*plug
	gates      []*storeGate
	stopDaemon []func()
	storeCalls http.Handler
	stops      []func()
}

var worldPlaces = []definer.Place{
	definer.NewPlace("nairobi", "nairobi-a"), definer.NewPlace("nairobi", "nairobi-b"), definer.NewPlace("rift", "rift-a"),
}

func newWorld(t testing.TB) *world {
	t.Helper()
	key, _, err := ed25519.GenerateKey(nil)
	if err != nil {
		t.Fatal(err)
	}
	world := &world{t: t, key: key, backends: make(map[string]*backendServer)}
	var store emulator.Store
	var hostList emulator.HostList
	world.storeCalls = store.Handler()
	world.store = world.serve(world.storeCalls)
	world.hostList = world.serve(hostList.Handler())
	t.Cleanup(world.close)
	return world
}

// close stops what runs, the last started first.
func (world *world) close() {
	for len(world.stops) > 0 {
		last := len(world.stops) - 1
		world.stops[last]()
		world.stops = world.stops[:last]
	}
}

// start runs task until the world closes.
func (world *world) start(task supervisor.Task) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- task.Run(ctx) }()
	stopped := false
	stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		if err := <-done; err != nil && ctx.Err() == nil {
			world.t.Error(err)
		}
	}
	world.stops = append(world.stops, stop)
	return stop
}

func (world *world) serve(handler http.Handler) string {
	world.t.Helper()
	listener, err := emulator.Listen("127.0.0.1:0", handler)
	if err != nil {
		world.t.Fatal(err)
	}
	world.start(listener)
	return "http://" + listener.Address()
}

// endpoint starts an endpoint of pool at place and returns its definition.
func (world *world) endpoint(name, pool string, place definer.Place) definer.Endpoint {
	world.t.Helper()
	backend := emulator.NewBackend(name, emulator.DefaultBackendSettings())
	backendServer := &backendServer{Backend: backend, handler: backend.Handler(), holds: &world.holds}
	world.backends[name] = backendServer
	listener := world.listen()
	world.start(&httpServer{listener: backendServer.plug.listen(listener), server: http.Server{Handler: backendServer}})
	return definer.NewEndpoint(name, pool, listener.Addr().String(), place, 4)
}

// accept makes a committee of one, ann, and lets it accept changes.
func (world *world) accept(changes ...definer.Change) {
	world.t.Helper()
	store := connector.NewStore(world.store)
	defer func() { _ = store.Close() }()
	founding := []definer.Change{definer.SetMember(definer.NewMember("ann", world.key)), definer.SetChair("ann")}
	world.submit(store, &follower.Follower{}, 0, append(founding, changes...)...)
}

// change lets ann change what is in force at daemon, and returns the revision.
func (world *world) change(daemon *Daemon, changes ...definer.Change) uint64 {
	world.t.Helper()
	return world.submit(daemon.store, daemon.follower, daemon.follower.Current().Revision(), changes...)
}

func (world *world) submit(
	store submitter.Store, configurations submitter.Configurations, base uint64, changes ...definer.Change,
) uint64 {
	world.t.Helper()
	command := arbiter.NewCommand(fmt.Sprint("change-", base), "ann", world.key, time.Now(), arbiter.NewPropose(base, changes))
	outcome, err := submitter.New(store, configurations, world.key).Submit(world.t.Context(), command)
	if err != nil || outcome.Revision() == 0 {
		world.t.Fatalf("accept: %v, %v", outcome, err)
	}
	return outcome.Revision()
}

// daemon starts an entry host and returns once it has the configuration.
func (world *world) daemon(name string, place definer.Place, extra string) *Daemon {
	world.t.Helper()
	callers, peers := world.listen(), world.listen()
	plug, gate := &plug{}, &storeGate{next: world.storeCalls}
	text := fmt.Sprintf("[host]\nname = %s\nregion = %s\ndata-centre = %s\naddress = %s\npeer-address = %s\n"+
		"[platform]\nstore = %s\nhost-list = %s\n[callers]\nhold-time = 100ms\n%s",
		name, place.Region(), place.DataCentre(), callers.Addr(), peers.Addr(), world.serve(gate), world.hostList, extra)
	settings, err := setter.Parse(name+".ini", []byte(text))
	if err != nil {
		world.t.Fatal(err)
	}
	daemon, err := New(settings)
	if err != nil {
		world.t.Fatal(err)
	}
	daemon.acceptor.SetListener(plug.listen(callers))
	daemon.messenger.SetNetwork(&boundNetwork{listener: plug.listen(peers), plug: plug})
	if err := daemon.hostList.Put(world.t.Context(), daemon.self); err != nil {
		world.t.Fatal(err)
	}
	world.stopDaemon = append(world.stopDaemon, world.start(daemon))
	for daemon.follower.Current().Revision() == 0 {
		<-daemon.follower.Changed()
	}
	world.daemons = append(world.daemons, daemon)
	world.plugs = append(world.plugs, plug)
	world.gates = append(world.gates, gate)
	return daemon
}

func (world *world) listen() net.Listener {
	world.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		world.t.Fatal(err)
	}
	return listener
}
