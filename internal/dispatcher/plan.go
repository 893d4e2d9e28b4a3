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
	// priority is higher for requests that are shed later.
	priority int
	// account is the account that holds the request's key; nil if there is none.
	account *definer.Account
	// keysChecked is true if requests need API keys.
	keysChecked bool
	// regions are those whose endpoints may get the request; empty for all.
	regions []string
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
		priority: max(0, definer.MaxPriority-route.Rank()), regions: route.Regions(),
	}
}

// forAccount returns a copy for a request of account, which is nil if the request has no
// key. It fails if the account and the route allow no region in common.
func (plan Plan) forAccount(account *definer.Account) (Plan, error) {
	plan.keysChecked, plan.account = true, account
	if account == nil {
		return plan, nil
	}
	// The rank of the account goes before that of the route.
	plan.priority += (definer.MaxPriority + 1) * max(0, definer.MaxPriority-account.Rank())
	regions, ok := definer.CommonRegions(plan.regions, account.Regions())
	if !ok {
		return Plan{}, refuser.New(refuser.KindNoEndpoint, refuser.NotRun, "the route and the account allow no region in common")
	}
	plan.regions = regions
	return plan, nil
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
	account, err := authenticate(table, current, route, request)
	if err != nil {
		return Plan{}, err
	}
	plan := NewRoutePlan(route, route.Pick(routePlanner.nextCount(route.Name())))
	if !table.HasAccounts() {
		return plan, nil
	}
	return plan.forAccount(account)
}

// authenticate returns the account that holds the request's key; nil if there is none and
// the route needs none. A key that is unknown may be new if the table is not current.
func authenticate(table *definer.RouteTable, current bool, route definer.Route, request *Request) (*definer.Account, error) {
	if !table.HasAccounts() {
		return nil, nil
	}
	account, ok := table.Account(request.apiKey)
	switch {
	case ok:
		return account, nil
	case route.Public():
		return nil, nil
	case !current && request.apiKey != "":
		return nil, refuser.New(refuser.KindNoConfiguration, refuser.NotRun, "the API keys known here may be old").
			WithRetryAfter(staleRetryAfter)
	}
	return nil, refuser.New(refuser.KindUnknownKey, refuser.NotRun, "the request has no valid API key")
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
