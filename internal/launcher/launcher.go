// Package launcher builds the process of an entry host on the users' platform: it
// makes every part, joins them, and runs them as one supervisor tree. It
// decides nothing.
package launcher

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/chivespool/chivespool/internal/acceptor"
	"github.com/chivespool/chivespool/internal/assigner"
	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/dispatcher"
	"github.com/chivespool/chivespool/internal/placer"
	"github.com/chivespool/chivespool/internal/recorder"
	"github.com/chivespool/chivespool/internal/sender"
	"github.com/chivespool/chivespool/internal/setter"
	"github.com/chivespool/chivespool/internal/supervisor"
	"github.com/chivespool/chivespool/internal/tracker"
	"github.com/chivespool/chivespool/platform"
)

// Gateway is the process of an entry host on the users' platform. Make one
// with New.
type Gateway struct {
	settings *setter.Settings
	self     definer.Host
	recorder *recorder.Recorder
	registry metrics.Registry

	store      *platform.Store
	tracker    *tracker.Tracker
	sender     *sender.Sender
	dispatcher *dispatcher.Dispatcher
	front      *acceptor.Acceptor
	ready      *acceptor.Acceptor
	directory  *acceptor.Acceptor
	leaving    atomic.Bool
}

// New returns a gateway with all parts made and joined; nothing runs yet.
func New(settings *setter.Settings) *Gateway {
	gateway := &Gateway{
		settings: settings,
		self:     settings.Host(uint64(time.Now().UnixNano())),
		recorder: &recorder.Recorder{},
		registry: metrics.NewRegistry(),
	}
	gateway.store = platform.NewStore(settings.Store(), connector.WithTimeout(settings.PlatformTimeout()), connector.WithRegistry(gateway.registry))
	decoder := platform.NewDecoder(settings.Regions())
	gateway.tracker = tracker.New(gateway.store, decoder, tracker.NewKeys(platform.ConfigurationKey, platform.EndpointPrefix, platform.OwnPrefix+"hosts/"))
	gateway.sender = sender.New(settings.ConnectTimeout(), settings.AnswerHeadBytes())
	gateway.sender.SetDialect(platform.Dialect{})
	chooser := placer.New(gateway.self.Place(), gateway.self.Incarnation())
	assigner := assigner.New(gateway, gateway.sender, chooser)
	gateway.dispatcher = dispatcher.New(nil, assigner, gateway.sender, gateway.recorder)
	gateway.dispatcher.SetPlanner(dispatcher.NewRoutes(gateway))
	gateway.dispatcher.SetLimits(settings.Attempts(), settings.RequestTimeout(), settings.RetryShare())
	gateway.dispatcher.SetBurst(3)
	gateway.dispatcher.SetHeldBytes(256 << 10)
	gateway.dispatcher.SetRegistry(gateway.registry)
	limits := acceptor.NewLimits(settings.HeaderBytes(), settings.HeaderTimeout(), settings.IdleTimeout(), settings.BodyTimeout())
	protocol := platform.NewFront(gateway, gateway)
	listen := func(address string) *acceptor.Acceptor {
		host := definer.NewHost(gateway.self.Name(), address, gateway.self.PeerAddress(), gateway.self.Place(), gateway.self.Incarnation())
		front := acceptor.New(host, gateway.dispatcher, nil, limits)
		front.SetProtocol(protocol)
		front.SetLeaving(gateway.leaving.Load)
		front.SetLeaveBound(settings.LeaveBound())
		return front
	}
	gateway.front = listen(settings.Address())
	gateway.ready = listen(settings.ReadyAddress())
	gateway.directory = listen(settings.DirectoryAddress())
	return gateway
}

// Table returns the routing in force, and whether it is known to be current.
func (gateway *Gateway) Table() (*definer.RouteTable, bool) {
	view := gateway.tracker.View()
	return view.Table(), view.Age(time.Now()) < 1500*time.Millisecond
}

// Endpoints returns the endpoints of service that take new work.
func (gateway *Gateway) Endpoints(service string) []definer.Endpoint {
	return gateway.tracker.View().Endpoints(service)
}

// Near returns the entry hosts for callers at place.
func (gateway *Gateway) Near(definer.Place) ([]definer.Host, time.Duration) {
	return []definer.Host{gateway.self}, time.Second
}

// Hindrances returns what keeps the host from its work, with the remedy.
func (gateway *Gateway) Hindrances() []string {
	if gateway.leaving.Load() {
		return []string{"the host is leaving; send callers to another"}
	}
	if gateway.tracker.View().Table().Version() == 0 {
		return []string{"no routing is known here; check that the platform's store can be reached"}
	}
	return nil
}

// Run runs the gateway until ctx is done, then stops it gracefully.
func (gateway *Gateway) Run(ctx context.Context) error {
	klog.InfoS("starts", "host", gateway.self.Name(), "place", gateway.self.Place().String(), "address", gateway.self.Address())
	var root supervisor.Tree
	root.Add("tracker", gateway.tracker)
	root.Add("sender", gateway.sender)
	root.Add("directory", gateway.directory)
	root.Add("ready", gateway.ready)
	root.Add("front", gateway.front)
	err := root.Run(ctx)
	_ = gateway.dispatcher.Close()
	_ = gateway.sender.Close()
	if err != nil {
		return fmt.Errorf("the gateway of %s gave up: %w", gateway.self.Name(), err)
	}
	klog.InfoS("stopped", "host", gateway.self.Name())
	return nil
}
