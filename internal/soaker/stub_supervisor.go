package soaker

import (
	"fmt"
	"sync"
	"time"

	"github.com/chivespool/chivespool/platform"
)

const (
	// supervisorCount is the number of stub supervisors; one in onceEvery starts
	// with an endpoint of the non-repeatable route.
	supervisorCount = 8
	onceEvery       = 3
	// entryExpiry is how long the store keeps the entry of a crashed endpoint:
	// three heartbeat intervals.
	entryExpiry = 1500 * time.Millisecond
	// addressReuseDelay is the time from the end of an endpoint until its address
	// is used for another service, and lingerTime how long a draining endpoint
	// serves beyond drainBound.
	addressReuseDelay = 2 * time.Second
	lingerTime        = 500 * time.Millisecond
)

// stubSupervisor runs stub endpoints one after the other, at the address of one
// proxy.
type stubSupervisor struct {
	index    int
	journal  *journal
	operator *platform.Operator
	proxy    *proxy

	// mu guards the fields below.
	mu sync.Mutex
	// endpointCount counts the endpoints that were started.
	endpointCount int
	// stub is the current endpoint; nil if there is none.
	stub *stub
	// changing is true while the endpoint is replaced.
	changing bool
}

// newStubSupervisor returns a supervisor without an endpoint.
func newStubSupervisor(index int, journal *journal, operator *platform.Operator) (*stubSupervisor, error) {
	proxy, err := newProxy("")
	if err != nil {
		return nil, fmt.Errorf("start an endpoint's proxy: %w", err)
	}
	return &stubSupervisor{index: index, journal: journal, operator: operator, proxy: proxy}, nil
}

// start starts a new endpoint, of the next service in turn.
func (stubSupervisor *stubSupervisor) start() error {
	stubSupervisor.mu.Lock()
	defer stubSupervisor.mu.Unlock()
	service := manyService
	if (stubSupervisor.index+stubSupervisor.endpointCount)%onceEvery == 0 {
		service = onceService
	}
	stubSupervisor.endpointCount++
	name := fmt.Sprintf("e%d-%d", stubSupervisor.index, stubSupervisor.endpointCount)
	stub, err := newStub(name, service, dataCentreOf(stubSupervisor.index), stubSupervisor.journal)
	if err != nil {
		return err
	}
	stubSupervisor.stub = stub
	stubSupervisor.proxy.setTarget(stub.address())
	return stubSupervisor.operator.Register(stub.endpoint(stubSupervisor.proxy.address()))
}

// beginChange marks a change as in progress and returns the endpoint, or nil if
// there is none or a change is already in progress.
func (stubSupervisor *stubSupervisor) beginChange() *stub {
	stubSupervisor.mu.Lock()
	defer stubSupervisor.mu.Unlock()
	if stubSupervisor.changing || stubSupervisor.stub == nil {
		return nil
	}
	stubSupervisor.changing = true
	return stubSupervisor.stub
}

func (stubSupervisor *stubSupervisor) endChange() {
	stubSupervisor.mu.Lock()
	defer stubSupervisor.mu.Unlock()
	stubSupervisor.changing = false
}

// current returns the current endpoint, or nil.
func (stubSupervisor *stubSupervisor) current() *stub {
	stubSupervisor.mu.Lock()
	defer stubSupervisor.mu.Unlock()
	return stubSupervisor.stub
}

// crash stops the endpoint immediately and removes its entry after entryExpiry. A
// new endpoint starts after addressReuseDelay.
func (stubSupervisor *stubSupervisor) crash() error {
	stub := stubSupervisor.beginChange()
	if stub == nil {
		return nil
	}
	defer stubSupervisor.endChange()
	stubSupervisor.journal.addDisturbance(stub.name, time.Now(), time.Now(), false)
	stubSupervisor.kill(stub)
	time.Sleep(entryExpiry)
	stubSupervisor.operator.Unregister(stub.name)
	time.Sleep(addressReuseDelay)
	return stubSupervisor.start()
}

// kill stops stub and resets all of its connections.
func (stubSupervisor *stubSupervisor) kill(stub *stub) {
	stubSupervisor.proxy.setTarget("")
	stubSupervisor.proxy.reset()
	stub.close()
	stubSupervisor.mu.Lock()
	defer stubSupervisor.mu.Unlock()
	stubSupervisor.stub = nil
}

// drain stops the endpoint after a planned drain or, if unannounced, after the
// removal of its entry without a drain. A new endpoint then uses the address.
func (stubSupervisor *stubSupervisor) drain(unannounced bool) error {
	stub := stubSupervisor.beginChange()
	if stub == nil {
		return nil
	}
	defer stubSupervisor.endChange()
	if unannounced {
		stubSupervisor.operator.Unregister(stub.name)
	} else if err := stubSupervisor.operator.Register(stub.endpoint(stubSupervisor.proxy.address()).WithDrained(true)); err != nil {
		return err
	}
	stubSupervisor.journal.addDrain(stub.name)
	stub.startDraining()
	time.Sleep(drainBound + lingerTime)
	stubSupervisor.journal.addDisturbance(stub.name, time.Now(), time.Now(), false)
	stubSupervisor.kill(stub)
	stubSupervisor.operator.Unregister(stub.name)
	time.Sleep(addressReuseDelay)
	return stubSupervisor.start()
}

// close stops the proxy and the endpoint, and waits for their tasks.
func (stubSupervisor *stubSupervisor) close() {
	stubSupervisor.proxy.close()
	if stub := stubSupervisor.current(); stub != nil {
		stub.close()
	}
}
