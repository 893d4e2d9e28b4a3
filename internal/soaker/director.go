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

// storeDelay is how slow a slow store is, lateTime when a call whose answer is
// lost takes effect, and pathDelay how slow a delayed connection is.
const (
	storeDelay = 300 * time.Millisecond
	lateTime   = 400 * time.Millisecond
	pathDelay  = 100 * time.Millisecond
	// lostAnswers is how many answers in a row are lost.
	lostAnswers = 3
	// stormVersions is how many versions come in quick succession.
	stormVersions = 5
)

// director plays a plan. Events overlap; each is a scene of its own.
type director struct {
	soaker *Soaker
	plan   Plan
	crew   crew

	// mu guards failed.
	mu     sync.Mutex
	failed error
}

// play returns once all events are over, the fleet has had the time to recover,
// and service has been judged.
func (director *director) play(ctx context.Context) error {
	start := time.Now()
	for _, event := range director.plan {
		if err := emulator.Pause(ctx, time.Until(start.Add(event.at))); err != nil {
			break
		}
		director.crew.add(ctx, &scene{director: director, event: event})
	}
	director.crew.wait()
	director.soaker.journal.ready(time.Now().Add(recoveryBound))
	return errors.Join(director.failed, emulator.Pause(ctx, recoveryBound+judgedTime))
}

// scene is one event that is played.
type scene struct {
	director *director
	event    Event
}

func (scene *scene) work(context.Context) {
	director := scene.director
	if err := scene.play(); err != nil {
		director.mu.Lock()
		defer director.mu.Unlock()
		director.failed = errors.Join(director.failed, fmt.Errorf("%v: %w", scene.event, err))
	}
}

func (scene *scene) gateway() *gateway {
	gateways := scene.director.soaker.gateways
	return gateways[scene.event.target%len(gateways)]
}

func (scene *scene) site() *site {
	sites := scene.director.soaker.sites
	return sites[scene.event.target%len(sites)]
}

func (scene *scene) play() error {
	event, soaker := scene.event, scene.director.soaker
	switch event.kind {
	case StopGateway:
		scene.gateway().stop()
	case KillGateway:
		scene.gateway().kill()
	case PauseGateway:
		scene.gateway().pause(event.duration)
	case HangUp:
		return scene.hangUp()
	case KillAll:
		for _, gateway := range soaker.gateways {
			gateway.kill()
		}
	case StopInTurn:
		for _, gateway := range soaker.gateways {
			gateway.stop()
			time.Sleep(restartTime)
		}
	case Publish:
		return soaker.publish()
	case PublishStorm:
		for range stormVersions {
			if err := soaker.publish(); err != nil {
				return err
			}
			time.Sleep(event.duration / stormVersions)
		}
	case ForeignEntry:
		soaker.operator.RegisterInvalid(fmt.Sprintf("foreign-%d", event.target), []byte(`{"service":7,"address":null}`))
	case StoreForgets:
		soaker.keyspace.Compact()
	case SiteCrash:
		return scene.site().crash()
	case SiteReplaced:
		return scene.site().drain(true)
	case SiteDrains:
		return scene.site().drain(false)
	default:
		scene.switched()
	}
	return nil
}

func (scene *scene) hangUp() error {
	gateway := scene.gateway()
	if err := gateway.touchSettings(); err != nil {
		return err
	}
	gateway.signal(syscall.SIGHUP)
	return nil
}

// switched plays the events that switch something on and off again.
func (scene *scene) switched() {
	event, soaker := scene.event, scene.director.soaker
	doors := []*emulator.FaultInjector{scene.gateway().door}
	switch event.kind {
	case StoreOutage:
		scene.atDoors(scene.allDoors(), everywhere, emulator.WithDisposition(emulator.Refused))
	case StoreSlow:
		scene.atDoors(scene.allDoors(), everywhere, emulator.WithDelay(storeDelay))
	case StoreLoses:
		scene.atDoors(scene.allDoors(), everywhere, emulator.WithLostReplies(lostAnswers, lateTime))
	case DoorRefuses:
		scene.atDoors(doors, scene.gateway().name, emulator.WithDisposition(emulator.Refused))
	case DoorThrottles:
		scene.atDoors(doors, scene.gateway().name, emulator.WithDisposition(emulator.Throttled))
	case DoorSilent:
		scene.atDoors(doors, scene.gateway().name, emulator.WithDisposition(emulator.Dropped))
	case WatchesCut:
		scene.atDoors(doors, scene.gateway().name, emulator.WithWatchResets, emulator.WithDisposition(emulator.Reset))
	case PathDelayed:
		scene.onPath(scene.gateway().path, path{delay: pathDelay}, scene.gateway().name)
	case PathReset:
		soaker.journal.disturbed(scene.gateway().name, time.Now(), time.Now(), false)
		scene.gateway().path.reset()
	case PathOneWay:
		scene.onPath(scene.gateway().path, path{noAnswers: true}, scene.gateway().name)
	case PathSilent:
		scene.onPath(scene.gateway().path, path{noRequests: true, noAnswers: true}, scene.gateway().name)
	case SiteDelayed:
		scene.onPath(scene.site().proxy, path{delay: pathDelay}, scene.siteName())
	case SiteReset:
		soaker.journal.disturbed(scene.siteName(), time.Now(), time.Now(), false)
		scene.site().proxy.reset()
	case SiteOneWay:
		scene.onPath(scene.site().proxy, path{noRequests: event.target%2 == 0, noAnswers: event.target%2 == 1}, scene.siteName())
	case SiteSilent:
		scene.onPath(scene.site().proxy, path{noRequests: true, noAnswers: true}, scene.siteName())
	case SiteCuts:
		scene.misbehave(cutting)
	case SiteFails:
		scene.misbehave(failing)
	case SiteFull:
		scene.misbehave(full)
	}
}

// siteName names the endpoint that lives at the site, for the journal.
func (scene *scene) siteName() string {
	if servant := scene.site().live(); servant != nil {
		return servant.name
	}
	return fmt.Sprintf("site %d", scene.site().index)
}

func (scene *scene) allDoors() []*emulator.FaultInjector {
	var doors []*emulator.FaultInjector
	for _, gateway := range scene.director.soaker.gateways {
		doors = append(doors, gateway.door)
	}
	return doors
}

// atDoors switches faults on for the time of the event.
func (scene *scene) atDoors(doors []*emulator.FaultInjector, what string, faults ...emulator.FaultOption) {
	start := time.Now()
	for _, faultInjector := range doors {
		faultInjector.SetFaults(faults...)
	}
	time.Sleep(scene.event.duration)
	for _, faultInjector := range doors {
		faultInjector.SetFaults()
	}
	scene.director.soaker.journal.disturbed(what, start, time.Now(), false)
}

func (scene *scene) onPath(proxy *proxy, trouble path, what string) {
	start := time.Now()
	proxy.set(trouble)
	time.Sleep(scene.event.duration)
	proxy.set(path{})
	scene.director.soaker.journal.disturbed(what, start, time.Now(), false)
}

func (scene *scene) misbehave(misdeed misdeed) {
	servant := scene.site().live()
	if servant == nil {
		return
	}
	start := time.Now()
	servant.misbehave(misdeed)
	time.Sleep(scene.event.duration)
	servant.misbehave(behaved)
	scene.director.soaker.journal.disturbed(servant.name, start, time.Now(), false)
}
