package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/refuser"
)

// Planner selects the plan of each request.
type Planner interface {
	// Plan fails with a *refuser.Refusal if the request has no plan.
	Plan(request *Request) (Plan, error)
	// Repeatable reports whether the request has a plan by which it may run more than
	// once.
	Repeatable(request *Request) bool
	// Timeout returns the timeout of the request's plan; 0 if there is none.
	Timeout(request *Request) time.Duration
}

// Plan describes how to process one request.
type Plan struct {
	// service is the service whose endpoints can answer; it keys budgets and the
	// timeline.
	service string
	pool    string
	// class groups requests with similar run times.
	class      string
	repeatable bool
	// maxAttempts limits how often the request is sent; 0 for the dispatcher's
	// default.
	maxAttempts int
	// freeAttempts is how many attempts that did not run do not count towards the
	// limit.
	freeAttempts int
	// timeout limits the request's time from arrival; 0 for the dispatcher's default.
	timeout time.Duration
	// targetLatency is 0 for none.
	targetLatency time.Duration
	lane          definer.Lane
	// priority is 0 (shed first) to 9 (shed last).
	priority int
}

// routeFreeAttempts is the freeAttempts of a routed request. An attempt did not run
// if, for example, the endpoint rejected it.
const routeFreeAttempts = 2

// NewRoutePlan returns the plan for a request that route sends to service.
func NewRoutePlan(route definer.Route, service string) Plan {
	return Plan{
		service: service, pool: service, class: route.Name() + " " + service,
		repeatable: route.Repeatable(), maxAttempts: route.Attempts(), freeAttempts: routeFreeAttempts,
		timeout: route.Timeout(), targetLatency: route.Target(),
		priority: max(0, definer.MaxPriority-route.Rank()),
	}
}

// Service returns the service whose endpoints can answer.
func (plan Plan) Service() string { return plan.service }

// rulePlanner applies the rules of the configuration that the committee accepted.
type rulePlanner struct {
	configurations Configurations
}

// Plan selects the service and the rule of a request.
func (rulePlanner *rulePlanner) Plan(request *Request) (Plan, error) {
	configuration := rulePlanner.configurations.Current()
	if configuration == nil || configuration.Revision() == 0 {
		return Plan{}, refuser.New(refuser.KindNoConfiguration, refuser.NotRun, "no configuration is in force here yet")
	}
	service, ok := configuration.Service(request.service)
	if !ok {
		return Plan{}, refuser.New(refuser.KindUnknownService, refuser.NotRun, fmt.Sprintf("no service %q", request.service))
	}
	rule := configuration.RuleFor(request.service, request.method, request.target)
	return Plan{
		service: request.service, pool: service.Pool(),
		class:      request.service + " " + request.method + " " + rule.Prefix(),
		repeatable: rule.Repeatable(), timeout: rule.Deadline(), lane: rule.Lane(), priority: rule.Priority(),
	}, nil
}

// Repeatable reports whether a rule allows the request to run more than once.
func (rulePlanner *rulePlanner) Repeatable(request *Request) bool {
	configuration := rulePlanner.configurations.Current()
	if configuration == nil {
		return false
	}
	_, ok := configuration.Service(request.service)
	return ok && configuration.RuleFor(request.service, request.method, request.target).Repeatable()
}

// Timeout returns the deadline of the request's rule.
func (rulePlanner *rulePlanner) Timeout(request *Request) time.Duration {
	configuration := rulePlanner.configurations.Current()
	if configuration == nil {
		return 0
	}
	return configuration.RuleFor(request.service, request.method, request.target).Deadline()
}

// RouteTables provides the routing table in force.
type RouteTables interface {
	// Table returns the newest known table, and whether it is known to be current.
	Table() (table *definer.RouteTable, current bool)
}

// RoutePlanner plans a request by its host name and path. Make one with
// NewRoutePlanner.
type RoutePlanner struct {
	tables RouteTables
	// counters counts the requests of each route by its name, as *atomic.Uint64.
	counters sync.Map
}

// NewRoutePlanner returns a planner that uses the routing table in force.
func NewRoutePlanner(tables RouteTables) *RoutePlanner { return &RoutePlanner{tables: tables} }

// staleRetryAfter is the retry delay if a route may be missing because the table
// is not current. The table is refreshed within about one read of the store.
const staleRetryAfter = 300 * time.Millisecond

// Plan selects the route of a request and one of the route's services.
func (routePlanner *RoutePlanner) Plan(request *Request) (Plan, error) {
	table, current := routePlanner.tables.Table()
	if table.Version() == 0 {
		return Plan{}, refuser.New(refuser.KindNoConfiguration, refuser.NotRun, "no routing is known here yet").
			WithRetryAfter(staleRetryAfter)
	}
	path, _, _ := strings.Cut(request.target, "?")
	route, ok := table.Find(request.authority, path)
	if !ok && !current {
		return Plan{}, refuser.New(refuser.KindNoConfiguration, refuser.NotRun, "the routing known here may be old").
			WithRetryAfter(staleRetryAfter)
	}
	if !ok {
		return Plan{}, refuser.New(refuser.KindNoRoute, refuser.NotRun, fmt.Sprintf("no route for %s", request.authority))
	}
	if limit := table.Limits().HeaderBytes(); limit > 0 && request.headerBytes() > limit {
		return Plan{}, refuser.New(refuser.KindHeaderTooLarge, refuser.NotRun, fmt.Sprintf("the header is over %d bytes", limit))
	}
	if limit := table.Limits().BodyBytes(); limit > 0 && request.length > limit {
		return Plan{}, refuser.New(refuser.KindTooLarge, refuser.NotRun, fmt.Sprintf("the body is over %d bytes", limit))
	}
	return NewRoutePlan(route, route.Pick(routePlanner.nextCount(route.Name()))), nil
}

// Repeatable reports whether the request's route allows it to run more than once.
func (routePlanner *RoutePlanner) Repeatable(request *Request) bool {
	route, ok := routePlanner.find(request)
	return ok && route.Repeatable()
}

// Timeout returns the timeout of the request's route.
func (routePlanner *RoutePlanner) Timeout(request *Request) time.Duration {
	if route, ok := routePlanner.find(request); ok {
		return route.Timeout()
	}
	return 0
}

func (routePlanner *RoutePlanner) find(request *Request) (definer.Route, bool) {
	table, _ := routePlanner.tables.Table()
	path, _, _ := strings.Cut(request.target, "?")
	return table.Find(request.authority, path)
}

// nextCount counts a request of a route and returns the count. Each process
// starts at a random count, so that hosts do not prefer the same service at the
// same time.
func (routePlanner *RoutePlanner) nextCount(route string) uint64 {
	counter, ok := routePlanner.counters.Load(route)
	if !ok {
		first := new(atomic.Uint64)
		first.Store(uint64(rand.Uint32()))
		counter, _ = routePlanner.counters.LoadOrStore(route, first)
	}
	return counter.(*atomic.Uint64).Add(1)
}
