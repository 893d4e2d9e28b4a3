package launcher

import (
	"bytes"
	"context"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/locator"
	"github.com/chivespool/chivespool/internal/reporter"
	"github.com/chivespool/chivespool/platform"
)

// Table returns the routing in force, and whether it is known to be current.
func (gateway *Gateway) Table() (*definer.RouteTable, bool) {
	return gateway.tracker.View().Table(), gateway.tracker.Current(time.Now())
}

// Endpoints returns the endpoints of service that take new work.
func (gateway *Gateway) Endpoints(service string) []definer.Endpoint {
	return gateway.tracker.View().Endpoints(service)
}

// Belief returns the age and the revision of what is known of endpoints.
func (gateway *Gateway) Belief() (age time.Duration, revision uint64) {
	return gateway.tracker.Age(time.Now()), gateway.tracker.View().Revision()
}

// Beliefs reports what the host believes, and how old that is.
func (gateway *Gateway) Beliefs() reporter.Beliefs {
	view := gateway.tracker.View()
	return reporter.Beliefs{
		Host: gateway.self.Name(), RoutingVersion: view.Table().Version(), Revision: view.Revision(),
		AgeMs: gateway.tracker.Age(time.Now()).Milliseconds(), Hosts: len(view.Hosts()), Endpoints: len(view.Names()),
	}
}

// Missing reports whether the host is surely not registered at a revision of
// the store after this one.
func (gateway *Gateway) Missing(revision uint64) bool {
	view := gateway.tracker.View()
	return view.Revision() > revision && !view.Has(gateway.self.Name())
}

// Known returns a channel that is closed once the host's copy of the store is
// known to be whole.
func (gateway *Gateway) Known() <-chan struct{} { return gateway.tracker.Known() }

// Registered returns the lease and the revision of a key where it holds value.
func (gateway *Gateway) Registered(key string, value []byte) (lease, revision uint64, ok bool) {
	item, ok := gateway.tracker.Item(key)
	if !ok || !bytes.Equal(item.Value(), value) {
		return 0, 0, false
	}
	return item.Lease(), item.Revision(), true
}

// Hindrances returns what keeps the host from its work, with the remedy.
func (gateway *Gateway) Hindrances() []string {
	if gateway.leaving.Load() {
		return []string{"the host is leaving; send callers to another"}
	}
	if gateway.tracker.View().Table().Version() == 0 {
		return []string{"no routing is known here; check that the platform's store or a peer can be reached"}
	}
	return nil
}

// holdTime is how long callers may keep the answer of where to go. They ask
// again soon after a host leaves, at the cost of a small call.
const holdTime = time.Second

// directory tells callers where to go.
type directory struct {
	gateway *Gateway
}

// Near returns the entry hosts for callers at place.
func (directory *directory) Near(place definer.Place) ([]definer.Host, time.Duration) {
	gateway := directory.gateway
	var hosts []definer.Host
	for _, host := range gateway.tracker.View().Hosts() {
		if host.Name() != gateway.self.Name() {
			hosts = append(hosts, host)
		}
	}
	if !gateway.leaving.Load() || len(hosts) == 0 {
		hosts = append(hosts, gateway.self)
	}
	return locator.Near(hosts, place), holdTime
}

// meet tells the links which hosts there are now.
func (gateway *Gateway) meet() {
	view := gateway.tracker.View()
	if gateway.met.Swap(view.Revision()) != view.Revision() {
		gateway.messenger.SetPeers(view.Hosts())
	}
}

// updater hands each new view to those that keep something of it.
type updater struct {
	gateway *Gateway
}

// updateInterval is how often the view is looked at: what rests on it here is
// the links to peers, the share of a retry budget, and memory.
const updateInterval = 250 * time.Millisecond

// Run updates until ctx is done.
func (updater *updater) Run(ctx context.Context) error {
	gateway := updater.gateway
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	// A host that is gone may have spent its share in this window, so that the
	// share of each goes by the most hosts that there ever were.
	most := 1
	for {
		gateway.meet()
		view := gateway.tracker.View()
		gateway.placer.Forget(view.Names())
		most = max(most, len(view.Hosts()))
		settings := gateway.current.Load()
		gateway.dispatcher.SetRetries(budgetShare*settings.RetryShare(), budgetShare*float64(settings.RetrySlack())/float64(most))
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// budgetShare is the part of the fleet's retry budget that is shared out; the
// rest is for hosts that are not known yet.
const budgetShare = 0.8

// reports serves health and metrics on an address of their own.
type reports struct {
	platform.Front
	gateway *Gateway
}

// Mount adds the reports; nothing else is served.
func (reports *reports) Mount(router *echo.Echo, _ echo.HandlerFunc) {
	gateway := reports.gateway
	reporter.New(gateway.self, gateway.registry, gateway).Register(router.Group(""))
	reporter.RegisterBeliefs(router.Group(""), gateway)
}
