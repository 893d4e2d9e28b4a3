package runner

import (
	"fmt"
	"time"

	"github.com/chivespool/chivespool/internal/administrator"
	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/locator"
	"github.com/chivespool/chivespool/internal/selector"
)

// view shows this host's state to operators. It implements
// administrator.Reporter and administrator.Locator.
type view struct {
	daemon *Daemon
}

// Hosts returns the entry hosts that are not gone.
func (view *view) Hosts() []definer.Host { return view.daemon.monitor.Hosts() }

// Status returns a summary of the state of this host.
func (view *view) Status() []administrator.StatusField {
	daemon := view.daemon
	statusFields := []administrator.StatusField{
		administrator.NewStatusField("host", daemon.self.Name()),
		administrator.NewStatusField("place", daemon.self.Place().String()),
		administrator.NewStatusField("revision", fmt.Sprint(daemon.follower.Current().Revision())),
		administrator.NewStatusField("watches-store", fmt.Sprint(daemon.isWatcher())),
		administrator.NewStatusField("store-calls", daemon.storeCalls()),
	}
	for _, alarm := range daemon.alarms(time.Now()) {
		statusFields = append(statusFields, administrator.NewStatusField("alarm", alarm))
	}
	for _, host := range daemon.monitor.Members() {
		statusFields = append(statusFields, administrator.NewStatusField("host-"+host.Name(), host.Place().String()+" "+host.State().String()))
	}
	status := daemon.router.Status()
	for _, pool := range status.Pools() {
		statusFields = append(statusFields, administrator.NewStatusField("pool-"+pool.Name(), poolText(pool)))
	}
	for _, region := range status.Regions() {
		text := fmt.Sprintf("%d calls, %d bytes", region.Calls(), region.Bytes())
		statusFields = append(statusFields, administrator.NewStatusField("between-"+region.From()+"-and-"+region.To(), text))
	}
	return statusFields
}

func (daemon *Daemon) storeCalls() string {
	calls := daemon.store.Calls()
	return fmt.Sprintf("%d reads, %d writes, %d watches, %d errors",
		calls.Reads(), calls.Writes(), calls.Watches(), calls.Errors())
}

// poolCounts provides the counts of one pool for the status.
type poolCounts interface {
	Endpoints() []selector.EndpointStatus
	Homes() []string
	Queued(lane definer.Lane) int
	Granted() uint64
	Borrowed() uint64
	Lent() uint64
	Refused() uint64
}

func poolText(pool poolCounts) string {
	return fmt.Sprintf("%d endpoints here, %d other homes, queue %d short %d long, %d granted, %d borrowed, %d lent, %d refused",
		len(pool.Endpoints()), len(pool.Homes()), pool.Queued(definer.Short), pool.Queued(definer.Long),
		pool.Granted(), pool.Borrowed(), pool.Lent(), pool.Refused())
}

// Where returns the endpoints of a service in region, or in all regions if it
// is empty, with their homes. Only an endpoint's home knows its state; for the
// others the configured slots are returned.
func (view *view) Where(service, region string) ([]administrator.Destination, error) {
	configuration := view.daemon.follower.Current()
	found, ok := configuration.Service(service)
	if !ok {
		return nil, fmt.Errorf("no service %q; ask: show services", service)
	}
	statuses := view.homeStatuses(found.Pool())
	var destinations []administrator.Destination
	for _, home := range locator.Homes(configuration, view.daemon.monitor.Hosts(), found.Pool()) {
		for _, endpoint := range home.Endpoints() {
			if region != "" && endpoint.Place().Region() != region {
				continue
			}
			state, inFlight, slots := "ask-its-home", 0, endpoint.Slots()
			if status, ok := statuses[endpoint.Name()]; ok {
				state, inFlight, slots = status.State(), status.InFlight(), status.Limit()
			}
			destinations = append(destinations,
				administrator.NewDestination(endpoint.Name(), home.Host().Name(), state, inFlight, slots))
		}
	}
	return destinations, nil
}

// homeStatuses returns the status of the endpoints of pool whose home is this
// host, by endpoint name.
func (view *view) homeStatuses(pool string) map[string]selector.EndpointStatus {
	statuses := make(map[string]selector.EndpointStatus)
	for _, status := range view.daemon.router.Status().Pools() {
		if status.Name() != pool {
			continue
		}
		for _, endpoint := range status.Endpoints() {
			statuses[endpoint.Endpoint().Name()] = endpoint
		}
	}
	return statuses
}

// Why returns the reasons why an endpoint does or does not receive requests.
func (view *view) Why(name string) ([]string, error) {
	configuration := view.daemon.follower.Current()
	endpoint, ok := configuration.Endpoint(name)
	if !ok {
		return nil, fmt.Errorf("no endpoint %q; ask: show endpoints", name)
	}
	var reasons []string
	for _, draining := range view.daemon.monitor.Draining() {
		if draining == name {
			reasons = append(reasons, "the host list says that it leaves")
		}
	}
	for _, home := range locator.Homes(configuration, view.daemon.monitor.Hosts(), endpoint.Pool()) {
		for _, candidate := range home.Endpoints() {
			if candidate.Name() == name {
				reasons = append(reasons, fmt.Sprintf("its home is %s at %s", home.Host().Name(), home.Host().Address()))
			}
		}
	}
	if status, ok := view.homeStatuses(endpoint.Pool())[name]; ok {
		reasons = append(reasons, fmt.Sprintf("it is %s, with %d of %d slots taken, and %.1f times as slow as expected",
			status.State(), status.InFlight(), status.Limit(), status.Slowness()))
	}
	return reasons, nil
}
