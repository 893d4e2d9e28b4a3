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

// Planner says how a request is treated.
type Planner interface {
	// Plan fails with a *refuser.Refusal where the request can't be carried.
	Plan(request *Request) (Plan, error)
}

// Plan says how one request is treated.
type Plan struct {
	// service is whose endpoints can answer, for budgets and the time line.
	service string
	pool    string
	// class groups requests with like run times.
	class      string
	repeatable bool
	// attempts bounds how often the request is sent; 0 for the dispatcher's own.
	attempts int
	// spare is how many refused attempts do not count.
	spare int
	// timeout bounds the request from its arrival; 0 for the dispatcher's own.
	timeout time.Duration
	// target is the time within which an answer is of full use; 0 for none.
	target time.Duration
	lane   definer.Lane
	// priority is 0 (shed first) to 9 (shed last).
	priority int
}

// spareAttempts is how many endpoints may refuse a request of a route, beside
// those that its attempts bound: a refused request has not run.
const spareAttempts = 2

// NewRoutePlan returns the plan for a request that route sends to service.
func NewRoutePlan(route definer.Route, service string) Plan {
	return Plan{
		service: service, pool: service, class: route.Name() + " " + service,
		repeatable: route.Repeatable(), attempts: route.Attempts(), spare: spareAttempts,
		timeout: route.Timeout(), target: route.Target(),
		priority: max(0, definer.MaxPriority-route.Rank()),
	}
}

// Service returns whose endpoints can answer.
func (plan Plan) Service() string { return plan.service }

// rules plans by the rules of the configuration that the committee accepted.
type rules struct {
	configurations Configurations
}

// Plan finds the service and the rule of a request.
func (rules *rules) Plan(request *Request) (Plan, error) {
	configuration := rules.configurations.Current()
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

// Tables tells which routing is in force.
type Tables interface {
	// Table returns the newest table known, and whether it is known to be
	// current.
	Table() (table *definer.RouteTable, current bool)
}

// Routes plans by the host name and the path of a request. Make one with
// NewRoutes.
type Routes struct {
	tables Tables
	// tickets counts the requests of each route by its name, as *atomic.Uint64.
	tickets sync.Map
}

// NewRoutes returns a planner over the routing in force.
func NewRoutes(tables Tables) *Routes { return &Routes{tables: tables} }

// staleRetryAfter is what a caller waits who asks for what this host may not
// know yet: a table that is not current is so for about a round of reading.
const staleRetryAfter = 300 * time.Millisecond

// Plan finds the route of a request and one of its services.
func (routes *Routes) Plan(request *Request) (Plan, error) {
	table, current := routes.tables.Table()
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
	if most := table.Limits().HeaderBytes(); most > 0 && request.headerBytes() > most {
		return Plan{}, refuser.New(refuser.KindHeaderTooLarge, refuser.NotRun, fmt.Sprintf("the header is over %d bytes", most))
	}
	if most := table.Limits().BodyBytes(); most > 0 && request.length > most {
		return Plan{}, refuser.New(refuser.KindTooLarge, refuser.NotRun, fmt.Sprintf("the body is over %d bytes", most))
	}
	return NewRoutePlan(route, route.Pick(routes.ticket(route.Name()))), nil
}

// ticket counts the requests of a route; each process begins elsewhere, so that
// hosts do not favour the same service at the same time.
func (routes *Routes) ticket(route string) uint64 {
	counter, ok := routes.tickets.Load(route)
	if !ok {
		first := new(atomic.Uint64)
		first.Store(uint64(rand.Uint32()))
		counter, _ = routes.tickets.LoadOrStore(route, first)
	}
	return counter.(*atomic.Uint64).Add(1)
}
