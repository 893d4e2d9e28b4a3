package soaker

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/chivespool/chivespool/internal/emulator"
)

const (
	// storeDelay is the latency that a slow store adds, lateEffectDelay the time
	// until a call with a lost answer takes effect, and connectionDelay the
	// latency that a delayed connection adds.
	storeDelay      = 300 * time.Millisecond
	lateEffectDelay = 400 * time.Millisecond
	connectionDelay = 100 * time.Millisecond
	// lostAnswers is the number of consecutive answers that are lost.
	lostAnswers = 3
	// stormVersions is the number of versions that a publish storm publishes.
	stormVersions = 5
)

// planRunner executes a plan. Each event has a task, since events may overlap.
type planRunner struct {
	soaker    *Soaker
	plan      Plan
	taskGroup taskGroup

	// mu guards failures.
	mu       sync.Mutex
	failures error
}

// execute starts the events at their times. It returns once all have ended, and
// recoveryBound and then evaluationTime have passed.
func (planRunner *planRunner) execute(ctx context.Context) error {
	start := time.Now()
	for _, event := range planRunner.plan {
		if err := emulator.Pause(ctx, time.Until(start.Add(event.at))); err != nil {
			break
		}
		planRunner.taskGroup.add(ctx, &eventRunner{planRunner: planRunner, event: event})
	}
	planRunner.taskGroup.wait()
	planRunner.soaker.journal.setRecovered(time.Now().Add(recoveryBound))
	return errors.Join(planRunner.failures, emulator.Pause(ctx, recoveryBound+evaluationTime))
}

// eventRunner executes one event.
type eventRunner struct {
	planRunner *planRunner
	event      Event
}

func (eventRunner *eventRunner) run(context.Context) {
	planRunner := eventRunner.planRunner
	if err := eventRunner.execute(); err != nil {
		planRunner.mu.Lock()
		defer planRunner.mu.Unlock()
		planRunner.failures = errors.Join(planRunner.failures, fmt.Errorf("%v: %w", eventRunner.event, err))
	}
}

func (eventRunner *eventRunner) gateway() *gateway {
	gateways := eventRunner.planRunner.soaker.gateways
	return gateways[eventRunner.event.target%len(gateways)]
}

func (eventRunner *eventRunner) stubSupervisor() *stubSupervisor {
	stubSupervisors := eventRunner.planRunner.soaker.stubSupervisors
	return stubSupervisors[eventRunner.event.target%len(stubSupervisors)]
}

func (eventRunner *eventRunner) execute() error {
	event, soaker := eventRunner.event, eventRunner.planRunner.soaker
	switch event.kind {
	case StopGateway:
		eventRunner.gateway().stop()
	case KillGateway:
		eventRunner.gateway().kill()
	case PauseGateway:
		eventRunner.gateway().pause(event.duration)
	case ReloadSettings:
		return eventRunner.reloadSettings()
	case KillAll:
		for _, gateway := range soaker.gateways {
			gateway.kill()
		}
	case StopInTurn:
		for _, gateway := range soaker.gateways {
			gateway.stop()
			time.Sleep(restartTime)
		}
	case StopAndReload:
		eventRunner.stopWith(syscall.SIGHUP)
	case StopTwice:
		eventRunner.stopWith(syscall.SIGTERM)
	case Publish:
		return soaker.publish()
	case PublishStorm:
		for range stormVersions {
			if err := soaker.publish(); err != nil {
				return err
			}
			time.Sleep(event.duration / stormVersions)
		}
	case InvalidEntry:
		soaker.operator.RegisterInvalid(fmt.Sprintf("foreign-%d", event.target), []byte(`{"service":7,"address":null}`))
	case StoreCompacts:
		soaker.keyspace.Compact()
	case Evacuate:
		return soaker.evacuate(dataCentreOf(event.target), event.duration+evacuationBound)
	case EndpointCrash:
		return eventRunner.stubSupervisor().crash()
	case EndpointReplaced:
		return eventRunner.stubSupervisor().drain(true)
	case EndpointDrains:
		return eventRunner.stubSupervisor().drain(false)
	default:
		eventRunner.runTimedFault()
	}
	return nil
}

// stopWith stops the gateway and sends it a signal at the end of the event, and
// once more after repeatGap.
func (eventRunner *eventRunner) stopWith(signal syscall.Signal) {
	eventRunner.planRunner.taskGroup.add(context.Background(), &stopper{gateway: eventRunner.gateway()})
	for _, gap := range []time.Duration{eventRunner.event.duration, repeatGap} {
		time.Sleep(gap)
		eventRunner.gateway().signal(signal)
	}
}

// stopper stops one gateway.
type stopper struct{ gateway *gateway }

func (stopper *stopper) run(context.Context) { stopper.gateway.stop() }

func (eventRunner *eventRunner) reloadSettings() error {
	gateway := eventRunner.gateway()
	if err := gateway.touchSettings(); err != nil {
		return err
	}
	gateway.signal(syscall.SIGHUP)
	return nil
}

// runTimedFault injects a fault for the duration of the event.
func (eventRunner *eventRunner) runTimedFault() {
	event, soaker := eventRunner.event, eventRunner.planRunner.soaker
	faultInjectors := []*emulator.FaultInjector{eventRunner.gateway().faultInjector}
	switch event.kind {
	case StoreOutage:
		eventRunner.injectStoreFaults(eventRunner.allFaultInjectors(), everywhere, emulator.WithDisposition(emulator.Refused))
	case StoreSlow:
		eventRunner.injectStoreFaults(eventRunner.allFaultInjectors(), everywhere, emulator.WithDelay(storeDelay))
	case StoreLosesAnswers:
		eventRunner.injectStoreFaults(eventRunner.allFaultInjectors(), everywhere, emulator.WithLostReplies(lostAnswers, lateEffectDelay))
	case StoreRefusesGateway:
		eventRunner.injectStoreFaults(faultInjectors, eventRunner.gateway().name, emulator.WithDisposition(emulator.Refused))
	case StoreThrottlesGateway:
		eventRunner.injectStoreFaults(faultInjectors, eventRunner.gateway().name, emulator.WithDisposition(emulator.Throttled))
	case StoreIgnoresGateway:
		eventRunner.injectStoreFaults(faultInjectors, eventRunner.gateway().name, emulator.WithDisposition(emulator.Dropped))
	case WatchesReset:
		eventRunner.injectStoreFaults(faultInjectors, eventRunner.gateway().name, emulator.WithWatchResets, emulator.WithDisposition(emulator.Reset))
	case StorePathDelayed:
		eventRunner.injectProxyFaults(eventRunner.gateway().storeProxy, proxyFaults{delay: connectionDelay}, eventRunner.gateway().name)
	case StorePathReset:
		soaker.journal.addDisturbance(eventRunner.gateway().name, time.Now(), time.Now(), false)
		eventRunner.gateway().storeProxy.reset()
	case StorePathOneWay:
		eventRunner.injectProxyFaults(eventRunner.gateway().storeProxy, proxyFaults{blockAnswers: true}, eventRunner.gateway().name)
	case StorePathSilent:
		eventRunner.injectProxyFaults(eventRunner.gateway().storeProxy, proxyFaults{blockRequests: true, blockAnswers: true}, eventRunner.gateway().name)
	case EndpointDelayed:
		eventRunner.injectProxyFaults(eventRunner.stubSupervisor().proxy, proxyFaults{delay: connectionDelay}, eventRunner.endpointName())
	case EndpointReset:
		soaker.journal.addDisturbance(eventRunner.endpointName(), time.Now(), time.Now(), false)
		eventRunner.stubSupervisor().proxy.reset()
	case EndpointOneWay:
		eventRunner.injectProxyFaults(eventRunner.stubSupervisor().proxy, proxyFaults{blockRequests: event.target%2 == 0, blockAnswers: event.target%2 == 1}, eventRunner.endpointName())
	case EndpointSilent:
		eventRunner.injectProxyFaults(eventRunner.stubSupervisor().proxy, proxyFaults{blockRequests: true, blockAnswers: true}, eventRunner.endpointName())
	case EndpointTruncatesAnswers:
		eventRunner.injectStubFault(truncating)
	case EndpointFails:
		eventRunner.injectStubFault(failing)
	case EndpointFull:
		eventRunner.injectStubFault(saturated)
	case EndpointHangs:
		eventRunner.injectStubFault(hanging)
	}
}

// endpointName returns the name under which the journal records disturbances of
// the current endpoint.
func (eventRunner *eventRunner) endpointName() string {
	if stub := eventRunner.stubSupervisor().current(); stub != nil {
		return stub.name
	}
	return fmt.Sprintf("stub supervisor %d", eventRunner.stubSupervisor().index)
}

func (eventRunner *eventRunner) allFaultInjectors() []*emulator.FaultInjector {
	var faultInjectors []*emulator.FaultInjector
	for _, gateway := range eventRunner.planRunner.soaker.gateways {
		faultInjectors = append(faultInjectors, gateway.faultInjector)
	}
	return faultInjectors
}

// injectStoreFaults injects faults into store calls for the duration of the
// event.
func (eventRunner *eventRunner) injectStoreFaults(faultInjectors []*emulator.FaultInjector, target string, faults ...emulator.FaultOption) {
	start := time.Now()
	for _, faultInjector := range faultInjectors {
		faultInjector.SetFaults(faults...)
	}
	time.Sleep(eventRunner.event.duration)
	for _, faultInjector := range faultInjectors {
		faultInjector.SetFaults()
	}
	eventRunner.planRunner.soaker.journal.addStoreDisturbance(target, start, time.Now())
}

func (eventRunner *eventRunner) injectProxyFaults(proxy *proxy, faults proxyFaults, target string) {
	start := time.Now()
	proxy.setFaults(faults)
	time.Sleep(eventRunner.event.duration)
	proxy.setFaults(proxyFaults{})
	eventRunner.planRunner.soaker.journal.addDisturbance(target, start, time.Now(), false)
}

func (eventRunner *eventRunner) injectStubFault(stubMode stubMode) {
	stub := eventRunner.stubSupervisor().current()
	if stub == nil {
		return
	}
	start := time.Now()
	stub.setMode(stubMode)
	time.Sleep(eventRunner.event.duration)
	stub.setMode(healthy)
	eventRunner.planRunner.soaker.journal.addDisturbance(stub.name, start, time.Now(), false)
}
