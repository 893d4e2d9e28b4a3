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
	"github.com/chivespool/chivespool/internal/loader"
	"github.com/chivespool/chivespool/internal/submitter"
	"github.com/chivespool/chivespool/internal/supervisor"
)

// cluster is a small installation on loopback: the platform's stand-ins,
// endpoints and entry hosts.
type cluster struct {
	t        testing.TB
	store    string
	hostList string
	key      ed25519.PublicKey
	backends map[string]*backendServer
	barriers barriers
	daemons  []*Daemon
	// connectionTrackers, storeGates and stopDaemons have the indices of daemons.
	connectionTrackers []*connectionTracker
	storeGates         []*storeGate
	stopDaemons        []func()
	storeHandler       http.Handler
	stopFunctions      []func()
}

var clusterPlaces = []definer.Place{
	definer.NewPlace("nairobi", "nairobi-a"), definer.NewPlace("nairobi", "nairobi-b"), definer.NewPlace("rift", "rift-a"),
}

func newCluster(t testing.TB) *cluster {
	t.Helper()
	key, _, err := ed25519.GenerateKey(nil)
	if err != nil {
		t.Fatal(err)
	}
	cluster := &cluster{t: t, key: key, backends: make(map[string]*backendServer)}
	var store emulator.Store
	var hostList emulator.HostList
	cluster.storeHandler = store.Handler()
	cluster.store = cluster.serve(cluster.storeHandler)
	cluster.hostList = cluster.serve(hostList.Handler())
	t.Cleanup(cluster.close)
	return cluster
}

// close stops all tasks in the reverse order of their start.
func (cluster *cluster) close() {
	for len(cluster.stopFunctions) > 0 {
		last := len(cluster.stopFunctions) - 1
		cluster.stopFunctions[last]()
		cluster.stopFunctions = cluster.stopFunctions[:last]
	}
}

// start runs task until stop is called or the cluster closes.
func (cluster *cluster) start(task supervisor.Task) (stop func()) {
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
			cluster.t.Error(err)
		}
	}
	cluster.stopFunctions = append(cluster.stopFunctions, stop)
	return stop
}

func (cluster *cluster) serve(handler http.Handler) string {
	cluster.t.Helper()
	listener, err := emulator.Listen("127.0.0.1:0", handler)
	if err != nil {
		cluster.t.Fatal(err)
	}
	cluster.start(listener)
	return "http://" + listener.Address()
}

// startEndpoint starts an endpoint of pool at place and returns its definition.
func (cluster *cluster) startEndpoint(name, pool string, place definer.Place) definer.Endpoint {
	cluster.t.Helper()
	backend := emulator.NewBackend(name, emulator.DefaultBackendSettings())
	backendServer := &backendServer{Backend: backend, handler: backend.Handler(), barriers: &cluster.barriers}
	cluster.backends[name] = backendServer
	listener := cluster.listen()
	cluster.start(&httpServer{listener: backendServer.connectionTracker.wrap(listener), server: http.Server{Handler: backendServer}})
	return definer.NewEndpoint(name, pool, listener.Addr().String(), place, 4)
}

// bootstrap creates a committee with one member, ann, who also proposes changes.
func (cluster *cluster) bootstrap(changes ...definer.Change) {
	cluster.t.Helper()
	store := connector.NewStore(cluster.store)
	defer func() { _ = store.Close() }()
	founding := []definer.Change{definer.SetMember(definer.NewMember("ann", cluster.key)), definer.SetChair("ann")}
	cluster.submit(store, &follower.Follower{}, 0, append(founding, changes...)...)
}

// change submits changes as ann, based on the revision at daemon, and returns the
// new revision.
func (cluster *cluster) change(daemon *Daemon, changes ...definer.Change) uint64 {
	cluster.t.Helper()
	return cluster.submit(daemon.store, daemon.follower, daemon.follower.Current().Revision(), changes...)
}

func (cluster *cluster) submit(
	store submitter.Store, configurations submitter.Configurations, base uint64, changes ...definer.Change,
) uint64 {
	cluster.t.Helper()
	command := arbiter.NewCommand(fmt.Sprint("change-", base), "ann", cluster.key, time.Now(), arbiter.NewPropose(base, changes))
	outcome, err := submitter.New(store, configurations, cluster.key).Submit(cluster.t.Context(), command)
	if err != nil || outcome.Revision() == 0 {
		cluster.t.Fatalf("submit: %v, %v", outcome, err)
	}
	return outcome.Revision()
}

// startDaemon starts an entry host and waits for its configuration.
func (cluster *cluster) startDaemon(name string, place definer.Place, extra string) *Daemon {
	cluster.t.Helper()
	callers, peers := cluster.listen(), cluster.listen()
	connectionTracker, storeGate := &connectionTracker{}, &storeGate{next: cluster.storeHandler}
	text := fmt.Sprintf("[host]\nname = %s\nregion = %s\ndata-centre = %s\naddress = %s\npeer-address = %s\n"+
		"[platform]\nstore = %s\nhost-list = %s\n[callers]\nhold-time = 100ms\n%s",
		name, place.Region(), place.DataCentre(), callers.Addr(), peers.Addr(), cluster.serve(storeGate), cluster.hostList, extra)
	settings, err := loader.Parse(name+".ini", []byte(text))
	if err != nil {
		cluster.t.Fatal(err)
	}
	daemon, err := New(settings)
	if err != nil {
		cluster.t.Fatal(err)
	}
	daemon.acceptor.SetListener(connectionTracker.wrap(callers))
	daemon.messenger.SetNetwork(&boundNetwork{listener: connectionTracker.wrap(peers), connectionTracker: connectionTracker})
	if err := daemon.hostList.Put(cluster.t.Context(), daemon.self); err != nil {
		cluster.t.Fatal(err)
	}
	cluster.stopDaemons = append(cluster.stopDaemons, cluster.start(daemon))
	for {
		changed := daemon.follower.Changed()
		if daemon.follower.Current().Revision() > 0 {
			break
		}
		<-changed
	}
	cluster.daemons = append(cluster.daemons, daemon)
	cluster.connectionTrackers = append(cluster.connectionTrackers, connectionTracker)
	cluster.storeGates = append(cluster.storeGates, storeGate)
	return daemon
}

func (cluster *cluster) listen() net.Listener {
	cluster.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cluster.t.Fatal(err)
	}
	return listener
}
