// Package launcher builds the process of an entry host on the users' platform, a
// gateway: it creates and connects all parts, and runs them as one supervisor
// tree. The chivespoold command calls it.
//
// The package reads the settings file, reads it again on SIGHUP, and makes no routing
// decisions.
//
// The children in their start order; they stop in the reverse order:
//
//	log
//	links      messenger
//	beliefs    poller, puller, updater
//	routing    sender, quarantiner, verifier, permits
//	front      metrics, directory, ready, front
//	fleet      reloader, enroller, usher
//
// The drainer, the child usher, stops first: it deregisters the host and waits
// until callers have moved to other hosts, while all other parts still run.
package launcher

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/chivespool/chivespool/internal/acceptor"
	"github.com/chivespool/chivespool/internal/assigner"
	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/dispatcher"
	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/chivespool/chivespool/internal/enroller"
	"github.com/chivespool/chivespool/internal/loader"
	"github.com/chivespool/chivespool/internal/logger"
	"github.com/chivespool/chivespool/internal/messenger"
	"github.com/chivespool/chivespool/internal/offloader"
	"github.com/chivespool/chivespool/internal/pacer"
	"github.com/chivespool/chivespool/internal/permitter"
	"github.com/chivespool/chivespool/internal/placer"
	"github.com/chivespool/chivespool/internal/quarantiner"
	"github.com/chivespool/chivespool/internal/recorder"
	"github.com/chivespool/chivespool/internal/sender"
	"github.com/chivespool/chivespool/internal/stopper"
	"github.com/chivespool/chivespool/internal/supervisor"
	"github.com/chivespool/chivespool/internal/throttler"
	"github.com/chivespool/chivespool/internal/timekeeper"
	"github.com/chivespool/chivespool/internal/tracker"
	"github.com/chivespool/chivespool/internal/verifier"
	"github.com/chivespool/chivespool/platform"
)

const (
	// hostPrefix is the key prefix of the entry hosts' registrations.
	hostPrefix = platform.OwnPrefix + "hosts/"
	// bufferedAnswerBytes is the size up to which the answer to a repeatable request is
	// buffered, so that the request can be retried if the answer is truncated.
	bufferedAnswerBytes = 256 << 10
	// openingWait is the longest time for which a host that has just started keeps
	// callers' connections waiting for its routing: three round trips to the store.
	openingWait = 250 * time.Millisecond
)

// Gateway is the process of an entry host. Make one with New.
type Gateway struct {
	// settings are the settings at the start, read from file.
	settings *loader.Settings
	file     string
	// current are the settings read most recently.
	current atomic.Pointer[loader.Settings]
	// hangups receives SIGHUP. It is registered as long as the process lives, so that
	// no signal ends the process, whether or not a task receives from it.
	hangups <-chan os.Signal
	// self has the start time as its incarnation, so that the incarnation rises
	// with each start.
	self     definer.Host
	log      *logger.Log
	recorder *recorder.Recorder
	registry metrics.Registry
	clock    timekeeper.Timekeeper

	store      *platform.Store
	messenger  *messenger.Messenger
	tracker    *tracker.Tracker
	enroller   *enroller.Enroller
	placer     *placer.Placer
	offloader  *offloader.Offloader
	permitter  *permitter.Permitter
	pacer      *pacer.Pacer
	assigner   *assigner.Assigner
	sender     *sender.Sender
	dispatcher *dispatcher.Dispatcher
	// quarantiner holds the requests that crash endpoints, which verifier finds.
	quarantiner *quarantiner.Group
	verifier    *verifier.Verifier
	// throttler decides on the permits of accounts' quotas, and permits takes them.
	throttler *throttler.Throttler
	permits   *permitClient
	// stopper limits requests during a planned stop.
	stopper *stopper.Stopper
	// peersView is the view that the messenger's peers are from. Hosts may also change
	// between views of one revision.
	peersView atomic.Pointer[tracker.View]
}

// New returns a gateway with the settings in file that logs to output and reads the
// file again when it receives a signal from hangups. All parts are created and
// connected; Run starts them.
func New(file string, output io.Writer, hangups <-chan os.Signal) (*Gateway, error) {
	settings, err := loader.Read(file)
	if err != nil {
		return nil, err
	}
	gateway := &Gateway{
		hangups:  hangups,
		settings: settings,
		file:     file,
		self:     settings.Host(uint64(time.Now().UnixNano())),
		log:      logger.New(output),
		recorder: &recorder.Recorder{},
		registry: metrics.NewRegistry(),
		stopper:  stopper.New(settings.LeaveTimeout()),
	}
	gateway.current.Store(settings)
	if err := gateway.makeView(); err != nil {
		return nil, err
	}
	gateway.makeRouting()
	return gateway, nil
}

// makeView creates the parts that keep the local view and the registration.
func (gateway *Gateway) makeView() error {
	settings := gateway.settings
	gateway.store = platform.NewStore(settings.Store(),
		connector.WithTimeout(settings.PlatformTimeout()), connector.WithRegistry(gateway.registry))
	gateway.messenger = &messenger.Messenger{}
	gateway.messenger.SetSelf(gateway.self)
	gateway.messenger.SetRecorder(gateway.recorder)
	gateway.messenger.SetHandler(&peers{gateway: gateway})
	if settings.PlainPeers() {
		gateway.messenger.AllowUnencrypted()
	}
	gateway.messenger.SetSeeds(settings.PeerSeeds())
	keys := tracker.NewKeys(platform.ConfigurationKey, platform.EndpointPrefix, hostPrefix).
		WithEvacuations(platform.EvacuationPrefix)
	gateway.tracker = tracker.New(gateway.self, gateway.store, &peers{gateway: gateway},
		platform.NewDecoder(settings.Regions()), keys, settings.ApplyBound(), gateway.log)
	var seeds []string
	for _, seed := range settings.PeerSeeds() {
		seeds = append(seeds, seed.Name())
	}
	gateway.tracker.SetSeeds(seeds)
	gateway.tracker.SetClock(&gateway.clock)
	gateway.tracker.SetRegistry(gateway.registry)
	// The registration leaves out the incarnation, so that the next start finds it
	// unchanged and keeps it.
	registered := definer.NewHost(gateway.self.Name(), gateway.self.Address(), gateway.self.PeerAddress(), gateway.self.Place(), 0)
	value, err := encoder.MarshalHost(registered.WithLinkRate(gateway.self.LinkRate()))
	if err != nil {
		return err
	}
	leaving, err := encoder.MarshalHost(registered.WithLinkRate(gateway.self.LinkRate()).WithState(definer.Leaving))
	if err != nil {
		return err
	}
	gateway.enroller = enroller.New(gateway.store, gateway, gateway.log, hostPrefix+gateway.self.Name(), value, leaving)
	return nil
}

// makeRouting creates the parts that route requests.
func (gateway *Gateway) makeRouting() {
	settings := gateway.settings
	gateway.sender = sender.New(settings.ConnectTimeout(), settings.AnswerHeaderBytes())
	gateway.sender.SetDialect(platform.Dialect{})
	gateway.placer = placer.New(gateway.self.Place(), gateway.self.Incarnation())
	gateway.offloader = offloader.New(gateway.self.Place())
	gateway.offloader.SetByCost(settings.OffloadsByCost())
	gateway.offloader.SetBytePrices(settings.DataCentreBytePrice(), settings.RegionBytePrice())
	gateway.offloader.SetJournal(gateway.log)
	gateway.offloader.SetRegistry(gateway.registry)
	gateway.placer.SetOffloader(gateway.offloader)
	gateway.sender.SetSurveyor(gateway.offloader)
	gateway.permitter = permitter.New(gateway.self, gateway.log)
	gateway.permitter.SetColdRates(gateway)
	gateway.pacer = &pacer.Pacer{}
	gateway.sender.SetCheckRecorder(gateway.pacer)
	gateway.sender.SetRegistry(gateway.registry)
	gateway.placer.SetConnections(gateway.sender)
	gateway.quarantiner = quarantiner.NewGroup(&suspectStore{gateway: gateway, latest: make(map[string]connector.Entry)},
		suspectLimits(), suspectLists)
	gateway.verifier = verifier.New(gateway.quarantiner, gateway.sender, gateway.log)
	gateway.assigner = assigner.New(gateway, gateway.sender, gateway.placer, gateway.permitter, gateway.log)
	gateway.assigner.SetPacer(gateway.pacer)
	gateway.sender.SetObserver(observers{gateway.permitter, gateway.assigner})
	gateway.assigner.SetRegistry(gateway.registry)
	gateway.dispatcher = dispatcher.New(nil, gateway.assigner, gateway.sender, gateway.recorder)
	gateway.dispatcher.SetPlanner(dispatcher.NewRoutePlanner(gateway))
	gateway.dispatcher.SetLimits(settings.MaxAttempts(), settings.RequestTimeout(), settings.RetryShare())
	gateway.dispatcher.SetBufferedBytes(bufferedAnswerBytes)
	gateway.dispatcher.SetRegistry(gateway.registry)
	gateway.dispatcher.SetJournal(gateway.log)
	gateway.dispatcher.SetClock(&gateway.clock)
	gateway.dispatcher.SetStopper(gateway.stopper)
	gateway.dispatcher.SetQuarantiner(gateway.verifier)
	gateway.makeThrottler()
}

// makeThrottler creates the parts that keep requests within the quotas of accounts.
func (gateway *Gateway) makeThrottler() {
	settings := gateway.settings
	regions := slices.Sorted(maps.Values(settings.Regions()))
	gateway.throttler = throttler.New(gateway.self, slices.Compact(regions), settings.ApplyBound(), gateway.clock.Now(), gateway.log)
	if settings.FirstStart() {
		gateway.throttler.SetFirstStart()
	}
	gateway.permits = newPermitClient(gateway.throttler, gateway.messenger, gateway, &gateway.clock, gateway.registry)
	gateway.dispatcher.SetThrottler(gateway.permits)
}

// Run runs the gateway until ctx is done, then stops it gracefully.
func (gateway *Gateway) Run(ctx context.Context) error {
	klog.InfoS("starts", "host", gateway.self.Name(), "place", gateway.self.Place().String(),
		"address", gateway.self.Address(), "incarnation", gateway.self.Incarnation())
	err := gateway.tree().Run(ctx)
	_ = gateway.dispatcher.Close()
	_ = gateway.assigner.Close()
	_ = gateway.sender.Close()
	_ = gateway.store.Close()
	if err != nil {
		err = fmt.Errorf("the gateway of %s failed: %w", gateway.self.Name(), err)
	}
	klog.InfoS("stopped", "host", gateway.self.Name(), "error", err)
	_ = gateway.log.Close()
	return err
}

// tree returns the supervisor tree of all parts.
func (gateway *Gateway) tree() *supervisor.Tree {
	settings := gateway.settings
	var links, view, routing, acceptors, fleet, root supervisor.Tree
	links.Add("messenger", gateway.messenger)
	view.Add("poller", gateway.tracker.Poller())
	view.Add("puller", gateway.tracker.Puller())
	view.Add("updater", &updater{gateway: gateway})
	routing.Add("sender", gateway.sender)
	routing.Add("quarantiner", gateway.quarantiner)
	routing.Add("verifier", gateway.verifier)
	routing.Add("permits", gateway.permits)
	if settings.MetricsAddress() != "" {
		acceptors.Add("metrics", gateway.listen(settings.MetricsAddress(), &metricsFront{gateway: gateway}))
	}
	protocol := platform.NewClientProtocol(&directory{gateway: gateway}, gateway)
	acceptors.Add("directory", gateway.listen(settings.DirectoryAddress(), protocol))
	acceptors.Add("ready", gateway.listen(settings.ReadyAddress(), protocol))
	callers := gateway.listen(settings.Address(), protocol)
	callers.SetReady(gateway.tracker.Ready(), openingWait)
	acceptors.Add("front", callers)
	fleet.Add("reloader", &reloader{gateway: gateway})
	fleet.Add("enroller", gateway.enroller)
	fleet.Add("usher", &drainer{gateway: gateway})
	root.Add("log", gateway.log)
	root.Add("links", &links)
	root.Add("beliefs", &view)
	root.Add("routing", &routing)
	root.Add("front", &acceptors)
	root.Add("fleet", &fleet)
	return &root
}

// listen returns an acceptor that serves protocol at address.
func (gateway *Gateway) listen(address string, protocol acceptor.Protocol) *acceptor.Acceptor {
	settings, self := gateway.settings, gateway.self
	host := definer.NewHost(self.Name(), address, self.PeerAddress(), self.Place(), self.Incarnation())
	limits := acceptor.NewLimits(settings.HeaderBytes(), settings.HeaderTimeout(), settings.IdleTimeout(), settings.BodyTimeout())
	acceptor := acceptor.New(host, gateway.dispatcher, nil, limits)
	acceptor.SetClock(&gateway.clock)
	acceptor.SetLimiter(&callerLimiter{gateway: gateway, base: limits})
	acceptor.SetProtocol(protocol)
	acceptor.SetStopTimeout(settings.LeaveTimeout()) // For a stop during the start.
	acceptor.SetStopper(gateway.stopper)
	return acceptor
}
