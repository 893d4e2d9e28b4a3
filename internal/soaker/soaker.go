// Package soaker runs a fleet of gateway processes on loopback for the command
// chivessoak, injects the faults of a random plan, and checks the results seen by
// callers and endpoints.
//
// The store, endpoints, callers and proxies run in this process. The tree of
// tasks: proxies, then one task for each gateway, the callers, and the plan
// runner; checks run once all have stopped. The package listens on loopback
// addresses, writes settings and logs, and reads the system clock.
package soaker

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/emulator"
	"github.com/chivespool/chivespool/platform"
)

// The bounds that are checked, from the users' deployments.
const (
	// applyBound is the time from a publication until gateways use the version,
	// drainBound from a drain until they route no request to the endpoint, and
	// graceBound from SIGTERM to SIGKILL.
	applyBound = 2 * time.Second
	drainBound = 2 * time.Second
	graceBound = 6 * time.Second
	// stableWindow is the time after a disturbance in which the bounds of its
	// target are not checked, and recoveryBound the time from the last event until
	// requests must be served again.
	stableWindow  = 3 * time.Second
	recoveryBound = 15 * time.Second
	// rollbackSlack is how long a gateway may use an older version after a newer
	// one. A stopping gateway may close a connection up to lossSlack after a
	// request was sent on it, if the request did not run.
	rollbackSlack = 250 * time.Millisecond
	lossSlack     = 200 * time.Millisecond
	// Retries to a service within budgetWindow may be budgetRatio of its runs,
	// plus budgetSlack.
	budgetWindow = 10 * time.Second
	budgetRatio  = 0.2
	budgetSlack  = 56
	// evacuationBound is the time from the request for an evacuation until the endpoints
	// of the data centre get no requests.
	evacuationBound = 5 * time.Second
	// slowedFactor is the factor by which a slowed gateway may use an old
	// version for longer.
	slowedFactor = 8
	// minServedShare is the share of requests that must be served after
	// recovery.
	minServedShare = 0.25
	// workShare is the share of graceBound after which an endpoint that is still at
	// work on a request sent within stableWindow of SIGTERM may lose its caller.
	workShare = 5.0 / 6
)

// peerSeedCount is the number of seed gateways of a fleet, as on the platform.
const peerSeedCount = 3

// settleTime is the time between the start of the gateways and the first
// request, and evaluationTime the period after recovery in which service is
// checked.
const (
	settleTime     = 3 * time.Second
	evaluationTime = 2 * time.Second
)

// Options configure a soak.
type Options struct {
	daemon, output string
	gateways       int
	callers        int
	faultPeriod    time.Duration
	// kinds are the kinds of events that a plan may contain.
	kinds []Kind
}

// NewOptions returns options for a fleet of gateways that run the program
// daemon, under load from callers, with faults for faultPeriod. Each seed's logs
// and settings go to a folder of its own under output.
func NewOptions(daemon, output string, gateways, callers int, faultPeriod time.Duration) Options {
	return Options{daemon: daemon, output: output, gateways: gateways, callers: callers, faultPeriod: faultPeriod, kinds: Kinds()}
}

// WithKinds returns a copy whose plans contain only kinds.
func (options Options) WithKinds(kinds []Kind) Options {
	options.kinds = kinds
	return options
}

// Soaker runs the soak of one seed. Use New to create one.
type Soaker struct {
	options Options
	seed    uint64
	folder  string
	journal *journal

	keyspace *emulator.Keyspace
	operator *platform.Operator
	// mu guards routingVersion, versionStubs and evacuated.
	mu sync.Mutex
	// routingVersion is the version of the published routing.
	routingVersion uint64
	// versionStubs are the endpoints to which the versions move the moved route.
	versionStubs []*stub
	// evacuated holds the data centres that are evacuated; mu guards it.
	evacuated       map[string]bool
	stubSupervisors []*stubSupervisor
	gateways        []*gateway
	callers         []*caller
}

// New returns a soaker of seed.
func New(options Options, seed uint64) *Soaker {
	return &Soaker{
		options:  options,
		seed:     seed,
		folder:   filepath.Join(options.output, fmt.Sprintf("seed-%d", seed)),
		journal:  &journal{},
		keyspace: &emulator.Keyspace{},
	}
}

// Run runs the soak and returns its report, or an error if the soak could not be
// run.
func (soaker *Soaker) Run(ctx context.Context) (*Report, error) {
	if err := os.MkdirAll(soaker.folder, 0o755); err != nil {
		return nil, fmt.Errorf("choose another folder for the output: %w", err)
	}
	plan := RandomPlan(soaker.seed, soaker.options.kinds, soaker.options.gateways, supervisorCount, soaker.options.faultPeriod)
	if err := soaker.setUp(); err != nil {
		return nil, err
	}
	defer soaker.close()
	if err := soaker.execute(ctx, plan); err != nil {
		return nil, err
	}
	soaker.journal.close()
	report := check(soaker.journal)
	report.seed, report.plan, report.folder = soaker.seed, plan, soaker.folder
	return report, os.WriteFile(filepath.Join(soaker.folder, "report.txt"), []byte(report.String()), 0o644)
}

// setUp creates the store, endpoints, gateways and callers; no gateway process
// is started.
func (soaker *Soaker) setUp() error {
	soaker.operator = platform.NewOperator(soaker.keyspace)
	for index := range supervisorCount {
		stubSupervisor, err := newStubSupervisor(index, soaker.journal, soaker.operator)
		if err != nil {
			return err
		}
		soaker.stubSupervisors = append(soaker.stubSupervisors, stubSupervisor)
		if err := stubSupervisor.start(); err != nil {
			return err
		}
	}
	if err := soaker.publish(); err != nil {
		return err
	}
	for index := range soaker.options.gateways {
		gateway, err := newGateway(index, soaker)
		if err != nil {
			return err
		}
		soaker.gateways = append(soaker.gateways, gateway)
	}
	seeds := soaker.gateways[:min(peerSeedCount, len(soaker.gateways))]
	for _, gateway := range soaker.gateways {
		if err := gateway.writeSettings(seeds); err != nil {
			return err
		}
	}
	for index := range soaker.options.callers + soaker.options.callers/callersPerSlow {
		slow := index >= soaker.options.callers
		soaker.callers = append(soaker.callers, newCaller(index, soaker, slow))
	}
	return nil
}

// publish starts the endpoint of the next version of the routing, and publishes
// that version.
func (soaker *Soaker) publish() error {
	soaker.mu.Lock()
	defer soaker.mu.Unlock()
	soaker.routingVersion++
	service := movedServiceOf(soaker.routingVersion)
	stub, err := newStub(service, service, dataCentreName, soaker.journal)
	if err != nil {
		return err
	}
	soaker.versionStubs = append(soaker.versionStubs, stub)
	if err := soaker.operator.Register(stub.endpoint(stub.address())); err != nil {
		return err
	}
	err = soaker.operator.Publish(soaker.routingVersion, hostName, routesOf(soaker.routingVersion), platform.StubHealthPath, callerLimits,
		accountsOf(soaker.routingVersion)...)
	soaker.journal.addVersion(soaker.routingVersion)
	return err
}

// version returns the version of the published routing.
func (soaker *Soaker) version() uint64 {
	soaker.mu.Lock()
	defer soaker.mu.Unlock()
	return soaker.routingVersion
}

// evacuate evacuates a data centre for duration, unless it is evacuated already.
func (soaker *Soaker) evacuate(dataCentre string, duration time.Duration) error {
	if !soaker.beginEvacuation(dataCentre) {
		return nil
	}
	from := time.Now()
	if err := soaker.operator.Evacuate(dataCentre); err != nil {
		return err
	}
	time.Sleep(duration)
	soaker.journal.addEvacuation(dataCentre, from, time.Now())
	soaker.operator.EndEvacuation(dataCentre)
	soaker.mu.Lock()
	defer soaker.mu.Unlock()
	delete(soaker.evacuated, dataCentre)
	return nil
}

// beginEvacuation marks a data centre as evacuated; false if it is already.
func (soaker *Soaker) beginEvacuation(dataCentre string) bool {
	soaker.mu.Lock()
	defer soaker.mu.Unlock()
	if soaker.evacuated[dataCentre] {
		return false
	}
	if soaker.evacuated == nil {
		soaker.evacuated = make(map[string]bool)
	}
	soaker.evacuated[dataCentre] = true
	return true
}

// execute runs the fleet and the callers while the plan runner executes the
// plan. All tasks have ended when it returns.
func (soaker *Soaker) execute(ctx context.Context, plan Plan) error {
	var fleet taskGroup
	defer fleet.wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fleet.add(ctx, &stallDetector{journal: soaker.journal})
	for _, gateway := range soaker.gateways {
		if err := gateway.start(); err != nil {
			return err
		}
		fleet.add(ctx, gateway)
	}
	if err := emulator.Pause(ctx, settleTime); err != nil {
		return err
	}
	var clients taskGroup
	defer clients.wait()
	callerCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	for _, caller := range soaker.callers {
		clients.add(callerCtx, caller)
	}
	planRunner := &planRunner{soaker: soaker, plan: plan}
	return planRunner.execute(ctx)
}

// close stops the emulated store, the proxies and the endpoints, and waits for
// their tasks.
func (soaker *Soaker) close() {
	for _, gateway := range soaker.gateways {
		gateway.close()
	}
	for _, stubSupervisor := range soaker.stubSupervisors {
		stubSupervisor.close()
	}
	for _, stub := range soaker.versionStubs {
		stub.close()
	}
}
