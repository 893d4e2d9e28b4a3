// Package runner builds the daemon of an entry host: it creates the components,
// wires them, and runs them as one supervisor tree. Command chivespoold calls
// [New] and [Daemon.Run].
//
// The package makes no routing decisions. Its tasks, such as the updater, are
// children of the tree; they call peers through package messenger and use the
// clock for intervals and timeouts.
//
// The tree, in start order; it stops in the reverse order:
//
//	links      messenger, lender
//	fleet      monitor
//	platform   follower, claimer, quarantiner, settlements
//	routing    sender, updater, pusher, puller
//	front      acceptor, usher
//
// The child usher, a drainer, stops first: it announces to the peers that the
// host is leaving and waits until callers' location answers have expired, while
// everything else still runs.
package runner

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/chivespool/chivespool/internal/acceptor"
	"github.com/chivespool/chivespool/internal/administrator"
	"github.com/chivespool/chivespool/internal/claimer"
	"github.com/chivespool/chivespool/internal/connector"
	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/dispatcher"
	"github.com/chivespool/chivespool/internal/follower"
	"github.com/chivespool/chivespool/internal/lender"
	"github.com/chivespool/chivespool/internal/loader"
	"github.com/chivespool/chivespool/internal/messenger"
	"github.com/chivespool/chivespool/internal/monitor"
	"github.com/chivespool/chivespool/internal/quarantiner"
	"github.com/chivespool/chivespool/internal/recorder"
	"github.com/chivespool/chivespool/internal/reporter"
	"github.com/chivespool/chivespool/internal/router"
	"github.com/chivespool/chivespool/internal/selector"
	"github.com/chivespool/chivespool/internal/sender"
	"github.com/chivespool/chivespool/internal/submitter"
	"github.com/chivespool/chivespool/internal/supervisor"
)

// Daemon is one entry host's process, created by New.
type Daemon struct {
	settings *loader.Settings
	// self has the start time as its incarnation, so that each start has a
	// higher one.
	self     definer.Host
	recorder *recorder.Recorder
	registry metrics.Registry

	store    *connector.Store
	hostList *connector.HostList

	messenger   *messenger.Messenger
	lender      *lender.Lender
	monitor     *monitor.Monitor
	follower    *follower.Follower
	claimer     *claimer.Claimer
	quarantiner *quarantiner.Quarantiner
	router      *router.Router
	sender      *sender.Sender
	dispatcher  *dispatcher.Dispatcher
	acceptor    *acceptor.Acceptor
	reporter    *reporter.Reporter
	// leaving is true once a planned stop has begun.
	leaving atomic.Bool
}

// New returns a daemon with all components wired; nothing runs yet. It returns
// an error if the credentials of the peer links can't be loaded.
func New(settings *loader.Settings) (*Daemon, error) {
	daemon := &Daemon{
		settings: settings,
		self:     settings.Host(uint64(time.Now().UnixNano())),
		recorder: &recorder.Recorder{},
		registry: metrics.NewRegistry(),
	}
	daemon.recorder.SetProcess(settings.Name())
	daemon.makePlatform()
	if err := daemon.makeLinks(); err != nil {
		return nil, err
	}
	daemon.makeRouting()
	daemon.makeFrontEnd()
	return daemon, nil
}

func (daemon *Daemon) makePlatform() {
	settings := daemon.settings
	timeout := connector.WithTimeout(settings.PlatformTimeout())
	registry := connector.WithRegistry(daemon.registry)
	daemon.store = connector.NewStore(settings.Store(), timeout, registry)
	daemon.hostList = connector.NewHostList(settings.HostList(), timeout, registry)
	daemon.follower = follower.New(daemon.store, &fetcher{daemon: daemon}, daemon.recorder)

	daemon.claimer = &claimer.Claimer{}
	daemon.claimer.SetStore(daemon.store)
	daemon.claimer.SetHosts(&shardHosts{daemon: daemon})
	daemon.claimer.SetForwarder(&forwarder{daemon: daemon})
	daemon.claimer.SetLimits(claimer.DefaultLimits().WithShards(settings.ClaimShards()).
		WithRetention(settings.ClaimRetention()).WithMaxKeys(settings.MaxClaims()))

	daemon.quarantiner = &quarantiner.Quarantiner{}
	daemon.quarantiner.SetStore(daemon.store)
	daemon.quarantiner.SetAnnouncer(&announcer{daemon: daemon})
}

func (daemon *Daemon) makeLinks() error {
	settings := daemon.settings
	daemon.messenger = &messenger.Messenger{}
	daemon.messenger.SetSelf(daemon.self)
	daemon.messenger.SetNetwork(&messenger.TCP{})
	daemon.messenger.SetRecorder(daemon.recorder)
	daemon.messenger.SetHandler(&peerHandler{daemon: daemon})
	daemon.lender = lender.New(daemon.messenger)
	daemon.monitor = &monitor.Monitor{}
	daemon.monitor.SetSelf(daemon.self)
	daemon.monitor.SetExchanger(daemon.messenger)
	daemon.monitor.SetHostList(daemon.hostList)
	daemon.monitor.SetSeeds(settings.PeerSeeds())
	daemon.monitor.SetRecorder(daemon.recorder)
	daemon.messenger.SetDigestHandler(daemon.monitor)
	daemon.messenger.OnDown(daemon.monitor.ReportFailure)
	if settings.PeerKey() == "" {
		return nil
	}
	credentials, err := messenger.NewCredentials(settings.PeerKey(), settings.PeerCertificate(), settings.PeerAuthority())
	if err != nil {
		return fmt.Errorf("load the credentials of the peer links: %w", err)
	}
	daemon.messenger.SetCredentials(credentials)
	return nil
}

func (daemon *Daemon) makeRouting() {
	settings := daemon.settings
	daemon.router = &router.Router{}
	daemon.router.SetLender(daemon.lender)
	daemon.router.SetPolicy(policies[settings.Policy()])
	daemon.router.SetQueueLength(settings.QueueLength())
	daemon.router.SetLongShare(settings.LongShare())
	daemon.router.SetRegionBudget(int64(settings.RegionBytesPerSecond()))
	daemon.messenger.OnDown(daemon.router.ForgetBorrower)
	daemon.sender = sender.New(settings.ConnectTimeout(), settings.AnswerHeaderBytes())
	daemon.dispatcher = dispatcher.New(daemon.follower, dispatcher.RouterAdapter{Router: daemon.router}, daemon.sender, daemon.recorder)
	daemon.dispatcher.SetLimits(settings.MaxAttempts(), settings.RequestTimeout(), settings.RetryShare())
	daemon.dispatcher.SetRegistry(daemon.registry)
	daemon.dispatcher.SetClaimer(daemon.claimer)
	daemon.dispatcher.SetQuarantiner(dispatcher.QuarantinerAdapter{Quarantiner: daemon.quarantiner})
}

// policies holds the policy for each value of the setting [routing] policy.
var policies = map[string]selector.Policy{
	"slots": selector.Slots, "random": selector.Random,
	"two-choices": selector.TwoChoices, "stale-report": selector.StaleReport,
}

func (daemon *Daemon) makeFrontEnd() {
	settings := daemon.settings
	limits := acceptor.NewLimits(settings.HeaderBytes(), settings.HeaderTimeout(), settings.IdleTimeout(), settings.BodyTimeout())
	daemon.acceptor = acceptor.New(daemon.self, daemon.dispatcher, &entryLocator{daemon: daemon}, limits)
	daemon.acceptor.SetStopTimeout(settings.LeaveTimeout())
	daemon.reporter = reporter.New(daemon.self, daemon.registry, daemon)
	daemon.reporter.Register(daemon.acceptor.Group(""))
	view := &view{daemon: daemon}
	committee := submitter.New(daemon.store, daemon.follower, settings.BootstrapKey())
	administrator.New(
		daemon.follower, committee,
		administrator.WithLocator(view),
		administrator.WithReporter(view),
		administrator.WithTimeLine(daemon.recorder),
		administrator.WithBootstrapKey(settings.BootstrapKey()),
	).Register(daemon.acceptor.Group(""))
}

// Run runs the daemon until ctx is done, then stops it gracefully.
func (daemon *Daemon) Run(ctx context.Context) error {
	klog.InfoS("starts", "host", daemon.self.Name(), "place", daemon.self.Place().String(), "address", daemon.self.Address())
	daemon.recorder.Record(recorder.KindProcess, daemon.self.Name(), "starts")
	err := daemon.tree().Run(ctx)
	_ = daemon.router.Close()
	_ = daemon.sender.Close()
	_ = daemon.store.Close()
	_ = daemon.hostList.Close()
	if err != nil {
		return fmt.Errorf("the daemon of %s stopped after repeated failures: %w", daemon.self.Name(), err)
	}
	klog.InfoS("stopped", "host", daemon.self.Name())
	return nil
}

func (daemon *Daemon) tree() *supervisor.Tree {
	var links, fleet, platform, routing, front, root supervisor.Tree
	links.Add("messenger", daemon.messenger)
	links.Add("lender", daemon.lender)
	fleet.Add("monitor", daemon.monitor)
	platform.Add("follower", daemon.follower)
	platform.Add("claimer", daemon.claimer)
	platform.Add("quarantiner", daemon.quarantiner)
	platform.Add("settlements", &outcomeWaiter{daemon: daemon})
	routing.Add("sender", daemon.sender)
	routing.Add("updater", &updater{daemon: daemon})
	routing.Add("pusher", &pusher{daemon: daemon})
	routing.Add("puller", &puller{daemon: daemon})
	front.Add("acceptor", daemon.acceptor)
	front.Add("usher", &drainer{daemon: daemon})
	root.Add("links", &links)
	root.Add("fleet", &fleet)
	root.Add("platform", &platform)
	root.Add("routing", &routing)
	root.Add("front", &front)
	return &root
}
