package launcher

import (
	"context"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chivespool/chivespool/internal/acceptor"
	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/locator"
	"github.com/chivespool/chivespool/internal/reporter"
	"github.com/chivespool/chivespool/internal/sender"
	"github.com/chivespool/chivespool/internal/throttler"
	"github.com/chivespool/chivespool/internal/tracker"
	"github.com/chivespool/chivespool/platform"
)

// Table returns the route table in force, and whether it is known to be current.
func (gateway *Gateway) Table() (*definer.RouteTable, bool) {
	return gateway.tracker.View().Table(), gateway.tracker.Current(gateway.clock.Now())
}

// Endpoints returns the endpoints of service that accept new requests.
func (gateway *Gateway) Endpoints(service string) []definer.Endpoint {
	return gateway.tracker.View().Endpoints(service)
}

// AccountNamed returns the client account called name in the routing in force.
func (gateway *Gateway) AccountNamed(name string) (*definer.Account, bool) {
	return gateway.tracker.View().Table().AccountNamed(name)
}

// ColdRate returns the number of requests per second that one cold endpoint of service
// takes from all hosts together, or 0 for any number.
func (gateway *Gateway) ColdRate(service string) float64 {
	return gateway.tracker.View().Table().ColdRate(service)
}

// Freshness returns the age and the revision of the host's local view. The revision
// decreases where the era rises.
func (gateway *Gateway) Freshness() (age time.Duration, revision uint64) {
	return gateway.tracker.Age(gateway.clock.Now()), gateway.tracker.View().Point().Revision()
}

// LocalView returns a report of the host's local view and its age.
func (gateway *Gateway) LocalView() reporter.View {
	view := gateway.tracker.View()
	return reporter.View{
		Host: gateway.self.Name(), RoutingVersion: view.Table().Version(),
		Era: view.Point().Era(), Revision: view.Point().Revision(),
		AgeMs: gateway.tracker.Age(gateway.clock.Now()).Milliseconds(), Hosts: len(view.Hosts()), Endpoints: len(view.Names()),
	}
}

// Missing reports whether the host's copy of the store is at a later point of the era
// than written and does not hold key.
func (gateway *Gateway) Missing(key string, written definer.Point) bool {
	_, copied, ok := gateway.tracker.Item(key)
	return !ok && copied.Era() == written.Era() && copied.After(written)
}

// Era returns the era of the host's copy of the store.
func (gateway *Gateway) Era() uint64 { return gateway.tracker.View().Point().Era() }

// Copied returns a channel that is closed once the host has a copy of the store.
func (gateway *Gateway) Copied() <-chan struct{} { return gateway.tracker.Copied() }

// Registered returns the value and the lease of key and the point at which it was written,
// if it exists.
func (gateway *Gateway) Registered(key string) (value []byte, lease definer.Lease, written definer.Point, ok bool) {
	item, copied, ok := gateway.tracker.Item(key)
	return item.Value(), definer.NewLease(item.Lease(), copied.Era(), 0), definer.NewPoint(copied.Era(), item.Revision()), ok
}

// ReadinessProblems returns the reasons why the host is not ready, with the remedies.
func (gateway *Gateway) ReadinessProblems() []string {
	if gateway.stopper.Stopping() {
		return []string{"the host is leaving; send callers to another"}
	}
	if gateway.tracker.View().Table().Version() == 0 {
		return []string{"no routing is known here; check that the platform's store or a peer can be reached"}
	}
	return nil
}

// callerLimiter provides the limits on callers: those of the routing in force, and
// those of the settings where the routing names none.
type callerLimiter struct {
	gateway *Gateway
	base    acceptor.Limits
}

// Limits returns the limits in force.
func (callerLimiter *callerLimiter) Limits() acceptor.Limits {
	limits := callerLimiter.gateway.tracker.View().Table().Limits()
	return callerLimiter.base.Override(limits.HeaderBytes(), limits.BodyBytes(), limits.HeaderTimeout(), limits.IdleTimeout())
}

// holdTime is the time for which callers may cache the list of entry hosts: short,
// so that callers soon notice a host that leaves, since a lookup costs little.
const holdTime = time.Second

// directory resolves the entry hosts for callers.
type directory struct {
	gateway *Gateway
}

// Near returns the entry hosts for callers at place that address the host called name,
// and the time for which callers may cache them. A leaving host lists itself only where
// it knows no other.
func (directory *directory) Near(name string, place definer.Place) ([]definer.Host, time.Duration) {
	gateway := directory.gateway
	var hosts []definer.Host
	for _, host := range gateway.tracker.View().Hosts() {
		if host.Name() != gateway.self.Name() {
			hosts = append(hosts, host)
		}
	}
	if !gateway.stopper.Stopping() || len(hosts) == 0 {
		hosts = append(hosts, gateway.self)
	}
	return locator.Near(hosts, place, gateway.tracker.View().Table().HostRegions(name)), holdTime
}

// updatePeers sets the messenger's peers to the hosts of the view, if the view has
// changed.
func (gateway *Gateway) updatePeers() {
	view := gateway.tracker.View()
	if gateway.peersView.Swap(view) != view {
		gateway.messenger.SetPeers(view.Members()) // Hosts that leave still answer.
	}
}

// updater passes each new view to the parts that keep state derived from it.
type updater struct {
	gateway *Gateway
	// members are the hosts of view, for the throttler.
	view    *tracker.View
	members []throttler.Member
}

// updateInterval is the time between updates of the parts that depend on the
// view: the links to peers, the records of the placer and the permitter, and the
// retry budget.
const updateInterval = 250 * time.Millisecond

// Run updates the parts until ctx is done.
func (updater *updater) Run(ctx context.Context) error {
	gateway := updater.gateway
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	// A host that has left may have spent its share of the retry budget in the
	// current window, so the shares are based on the highest host count seen.
	maxHosts, ready := 1, gateway.tracker.Ready()
	for {
		gateway.updatePeers()
		view := gateway.tracker.View()
		names := view.Names()
		gateway.placer.Forget(names)
		gateway.permitter.Forget(names)
		gateway.pacer.Forget(names)
		gateway.placer.SetHosts(gateway.self.Name(), view.Hosts())
		gateway.offloader.Sweep(time.Now())
		gateway.permitter.SetHosts(time.Now(), view.Hosts())
		updater.updateThrottler()
		maxHosts = max(maxHosts, len(view.Hosts()))
		settings := gateway.current.Load()
		gateway.pacer.SetRate(time.Now(), settings.ProbeRate(), len(names), max(len(view.Hosts()), 1))
		gateway.dispatcher.SetRetryBudget(budgetShare*settings.RetryShare(), budgetShare*float64(settings.RetrySlack())/float64(maxHosts))
		select {
		case <-ticker.C:
		case <-ready:
			ready = nil // The hosts that grant permits are known from now on.
		case <-ctx.Done():
			return nil
		}
	}
}

// updateThrottler passes the registered hosts to the throttler, with a time at which they
// were known to be complete: that of a freshness check before the view was read.
func (updater *updater) updateThrottler() {
	gateway := updater.gateway
	now := gateway.clock.Now()
	var checkedAt time.Time
	select {
	case <-gateway.tracker.Ready():
		checkedAt = now.Add(-gateway.tracker.Age(now))
	default:
	}
	if view := gateway.tracker.View(); view != updater.view {
		updater.view, updater.members = view, nil
		for _, host := range view.Members() {
			// The lease stays the same if the host starts again before it expires.
			item, _, _ := gateway.tracker.Item(hostPrefix + host.Name())
			updater.members = append(updater.members, throttler.NewMember(host.WithState(definer.Live), item.Lease()))
		}
	}
	gateway.throttler.Adopt(gateway.enroller.Adopted())
	gateway.throttler.Update(now, checkedAt, updater.members)
}

// observers pass what endpoints state about themselves to several parts.
type observers []sender.Observer

// Record records a report with each part.
func (observers observers) Record(now time.Time, endpoint definer.Endpoint, report definer.Report) {
	for _, observer := range observers {
		observer.Record(now, endpoint, report)
	}
}

// budgetShare is the part of the fleet's retry budget that is divided among the
// hosts; the rest is for hosts that are not known yet.
const budgetShare = 0.8

// metricsFront serves health and metrics on an address of their own.
type metricsFront struct {
	platform.ClientProtocol
	gateway *Gateway
}

// Mount adds only the routes of health, metrics and the local view.
func (metricsFront *metricsFront) Mount(router *echo.Echo, _ echo.HandlerFunc) {
	gateway := metricsFront.gateway
	reporter.New(gateway.self, gateway.registry, gateway).Register(router.Group(""))
	reporter.RegisterView(router.Group(""), gateway)
}
