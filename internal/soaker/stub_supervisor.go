package soaker

import (
	"fmt"
	"sync"
	"time"

	"github.com/chivespool/chivespool/platform"
)

const (
	// siteCount is the number of endpoint addresses; one in onceEvery starts
	// with an endpoint of the non-repeatable route.
	siteCount = 8
	onceEvery = 3
	// entryExpiry is how long the store keeps the entry of a crashed endpoint:
	// three heartbeat intervals.
	entryExpiry = 1500 * time.Millisecond
	// addressReuseDelay is the time until an address may be used for another
	// service, and lingerTime how long a draining endpoint serves beyond
	// drainBound.
	addressReuseDelay = 2 * time.Second
	lingerTime        = 500 * time.Millisecond
)

// site is an address, behind a proxy, that stub endpoints use one after the
// other.
type site struct {
	index    int
	journal  *journal
	operator *platform.Operator
	proxy    *proxy

	// mu guards the fields below.
	mu sync.Mutex
	// endpointCount counts the endpoints that have used the site.
	endpointCount int
	// stub is the current endpoint; nil if there is none.
	stub *stub
	// changing is true while the site replaces its endpoint.
	changing bool
}

// newSite returns a site without an endpoint.
func newSite(index int, journal *journal, operator *platform.Operator) (*site, error) {
	proxy, err := newProxy("")
	if err != nil {
		return nil, fmt.Errorf("start an endpoint's proxy: %w", err)
	}
	return &site{index: index, journal: journal, operator: operator, proxy: proxy}, nil
}

// start starts a new endpoint, of the next service in turn.
func (site *site) start() error {
	site.mu.Lock()
	defer site.mu.Unlock()
	service := manyService
	if (site.index+site.endpointCount)%onceEvery == 0 {
		service = onceService
	}
	site.endpointCount++
	stub, err := newStub(fmt.Sprintf("e%d-%d", site.index, site.endpointCount), service, site.journal)
	if err != nil {
		return err
	}
	site.stub = stub
	site.proxy.setTarget(stub.address())
	return site.operator.Register(stub.endpoint(site.proxy.address()))
}

// beginChange marks the site as changing and returns its endpoint, or nil if
// there is none or a change is already in progress.
func (site *site) beginChange() *stub {
	site.mu.Lock()
	defer site.mu.Unlock()
	if site.changing || site.stub == nil {
		return nil
	}
	site.changing = true
	return site.stub
}

func (site *site) endChange() {
	site.mu.Lock()
	defer site.mu.Unlock()
	site.changing = false
}

// current returns the current endpoint, or nil.
func (site *site) current() *stub {
	site.mu.Lock()
	defer site.mu.Unlock()
	return site.stub
}

// crash ends the endpoint without notice; its entry stays until it expires. A
// new endpoint starts after addressReuseDelay.
func (site *site) crash() error {
	stub := site.beginChange()
	if stub == nil {
		return nil
	}
	defer site.endChange()
	site.journal.addDisturbance(stub.name, time.Now(), time.Now(), false)
	site.kill(stub)
	time.Sleep(entryExpiry)
	site.operator.Unregister(stub.name)
	time.Sleep(addressReuseDelay)
	return site.start()
}

// kill stops stub and resets all of its connections.
func (site *site) kill(stub *stub) {
	site.proxy.setTarget("")
	site.proxy.reset()
	stub.close()
	site.mu.Lock()
	defer site.mu.Unlock()
	site.stub = nil
}

// drain removes the endpoint in a planned drain or, if unannounced, by deleting
// its entry without a prior drain. A new endpoint takes over the address.
func (site *site) drain(unannounced bool) error {
	stub := site.beginChange()
	if stub == nil {
		return nil
	}
	defer site.endChange()
	if unannounced {
		site.operator.Unregister(stub.name)
	} else if err := site.operator.Register(stub.endpoint(site.proxy.address()).WithDrained(true)); err != nil {
		return err
	}
	site.journal.addDrain(stub.name)
	stub.startDraining()
	time.Sleep(drainBound + lingerTime)
	site.journal.addDisturbance(stub.name, time.Now(), time.Now(), false)
	site.kill(stub)
	site.operator.Unregister(stub.name)
	time.Sleep(addressReuseDelay)
	return site.start()
}

// close stops the proxy and the endpoint, and waits for their tasks.
func (site *site) close() {
	site.proxy.close()
	if stub := site.current(); stub != nil {
		stub.close()
	}
}
