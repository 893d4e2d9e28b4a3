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
	lapseTime = 1500 * time.Millisecond
	// reuseTime is when an address may go to another service, and lingerTime how
	// long a leaving endpoint serves beyond the bound.
	reuseTime  = 2 * time.Second
	lingerTime = 500 * time.Millisecond
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
	lives int
	// servant is the endpoint that lives; nil for none.
	servant *servant
	// busy is true while the site changes its endpoint.
	busy bool
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
	if (site.index+site.lives)%onceEvery == 0 {
		service = onceService
	}
	site.lives++
	servant, err := newServant(fmt.Sprintf("e%d-%d", site.index, site.lives), service, site.journal)
	if err != nil {
		return err
	}
	site.servant = servant
	site.proxy.aim(servant.address())
	return site.operator.Register(servant.endpoint(site.proxy.address()))
}

// begin takes the site's endpoint for a change, or returns nil where there is
// none or it changes already.
func (site *site) begin() *servant {
	site.mu.Lock()
	defer site.mu.Unlock()
	if site.busy || site.servant == nil {
		return nil
	}
	site.busy = true
	return site.servant
}

func (site *site) end() {
	site.mu.Lock()
	defer site.mu.Unlock()
	site.busy = false
}

// live returns the endpoint that lives, or nil.
func (site *site) live() *servant {
	site.mu.Lock()
	defer site.mu.Unlock()
	return site.servant
}

// crash ends the endpoint without a word; its entry stays until it lapses. A
// new one begins once the address may be used again.
func (site *site) crash() error {
	servant := site.begin()
	if servant == nil {
		return nil
	}
	defer site.end()
	site.journal.disturbed(servant.name, time.Now(), time.Now(), false)
	site.kill(servant)
	time.Sleep(lapseTime)
	site.operator.Unregister(servant.name)
	time.Sleep(reuseTime)
	return site.start()
}

// kill ends the life of servant and breaks all of its connections.
func (site *site) kill(servant *servant) {
	site.proxy.aim("")
	site.proxy.reset()
	servant.close()
	site.mu.Lock()
	defer site.mu.Unlock()
	site.servant = nil
}

// drain has the endpoint leave as planned, or, if silent, without a word
// before its entry is gone. Another one takes the address over.
func (site *site) drain(silent bool) error {
	servant := site.begin()
	if servant == nil {
		return nil
	}
	defer site.end()
	if silent {
		site.operator.Unregister(servant.name)
	} else if err := site.operator.Register(servant.endpoint(site.proxy.address()).WithDrained(true)); err != nil {
		return err
	}
	site.journal.drained(servant.name)
	servant.leave()
	time.Sleep(drainBound + lingerTime)
	site.journal.disturbed(servant.name, time.Now(), time.Now(), false)
	site.kill(servant)
	site.operator.Unregister(servant.name)
	time.Sleep(reuseTime)
	return site.start()
}

// close ends the endpoint and the proxy. It waits.
func (site *site) close() {
	site.proxy.close()
	if servant := site.live(); servant != nil {
		servant.close()
	}
}
