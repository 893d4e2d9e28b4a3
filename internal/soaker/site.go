package soaker

import (
	"fmt"
	"sync"
	"time"

	"github.com/chivespool/chivespool/platform"
)

const (
	// siteCount is how many addresses there are for endpoints; one in onceEvery
	// begins with an endpoint of the route that runs once.
	siteCount = 8
	onceEvery = 3
	// lapseTime is how long the entry of a crashed endpoint stays: three of its
	// heartbeats.
	entryExpiry = 1500 * time.Millisecond
	// reuseTime is when an address may go to another service, and lingerTime how
	// long a leaving endpoint serves beyond the bound.
	addressReuseDelay = 2 * time.Second
	lingerTime        = 500 * time.Millisecond
)

// site is an address, behind a proxy, where endpoints live one after the other.
type site struct {
	index    int
	journal  *journal
	operator *platform.Operator
	proxy    *proxy

	// mu guards the fields below.
	mu sync.Mutex
	// lives counts the endpoints that lived here.
	endpointCount int
	// servant is the endpoint that lives; nil for none.
	stub *stub
	// busy is true while the site changes its endpoint.
	changing bool
}

// newSite returns a site where nothing lives yet.
func newSite(index int, journal *journal, operator *platform.Operator) (*site, error) {
	proxy, err := newProxy("")
	if err != nil {
		return nil, fmt.Errorf("make a proxy: %w", err)
	}
	return &site{index: index, journal: journal, operator: operator, proxy: proxy}, nil
}

// start begins a new life, of the next service in turn.
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

// begin takes the site's endpoint for a change, or returns nil where there is
// none or it changes already.
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

// live returns the endpoint that lives, or nil.
func (site *site) current() *stub {
	site.mu.Lock()
	defer site.mu.Unlock()
	return site.stub
}

// crash ends the endpoint without a word; its entry stays until it lapses. A
// new one begins once the address may be used again.
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

// kill ends the life of servant and breaks all of its connections.
func (site *site) kill(stub *stub) {
	site.proxy.setTarget("")
	site.proxy.reset()
	stub.close()
	site.mu.Lock()
	defer site.mu.Unlock()
	site.stub = nil
}

// drain has the endpoint leave as planned, or, if silent, without a word
// before its entry is gone. Another one takes the address over.
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

// close ends the endpoint and the proxy. It waits.
func (site *site) close() {
	site.proxy.close()
	if stub := site.current(); stub != nil {
		stub.close()
	}
}
