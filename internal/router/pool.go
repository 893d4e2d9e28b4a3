package router

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/refuser"
	"github.com/chivespool/chivespool/internal/selector"
)

const (
	// recheckInterval is how often a waiting request checks for changes that
	// wake no waiter: deadlines that pass, and endpoints that turn slow.
	recheckInterval = 20 * time.Millisecond
	// maxLoanWait is how long a request waits for another home's slot before it
	// takes a local endpoint that is slow or to be avoided.
	maxLoanWait = 20 * time.Millisecond
	// maxLongWait is how long long work waits behind short work while it holds
	// no slot.
	maxLongWait = 100 * time.Millisecond
	// lookahead is how many waiters of a lane are tried for a free slot if
	// those before them can't use it.
	lookahead = 4
	// maxSpareWaiters bounds the spare borrow requests that wait.
	maxSpareWaiters = 256
)

// pool places the requests of one pool at this entry host.
type pool struct {
	name   string
	router *Router
	// mu guards all fields below.
	mu sync.Mutex
	// own has the endpoints that this host is the home of.
	own selector.Selector
	// allEndpoints has all endpoints of the pool but counts only this host's
	// requests. It is used by the baseline policies, and while no home is
	// reachable.
	allEndpoints selector.Selector
	endpoints    map[string]definer.Endpoint
	// homes are the other homes, those in this host's region first.
	homes  []*otherHome
	place  definer.Place
	policy selector.Policy
	// queueLength bounds queue; long work may fill half of it.
	queueLength int
	queue       queue
	grantRates  [lanes]grantRate
	// spareWaiters are the spare borrow requests in order of arrival.
	spareWaiters []*waiter
	borrowings   map[borrowKey]*borrowing
	closed       bool
	counters     counters
}

// counters are totals of a pool since its creation.
type counters struct {
	granted, borrowed, lent, unused, refused uint64
}

// decision is the answer to a waiter: a local slot, which this host counts, a loan
// or a refusal.
type decision struct {
	// selector and ticket are set for a local slot, home and loan for a loan, and
	// refusal for a refusal.
	selector *selector.Selector
	ticket   *selector.Ticket
	home     string
	loan     Loan
	refusal  *refuser.Refusal
}

// acquire gets a slot for request.
func (pool *pool) acquire(ctx context.Context, request Request) (*Slot, error) {
	if homes := pool.directHomes(time.Now()); len(homes) > 0 {
		slot, err := pool.borrowDirect(ctx, request, homes)
		var refusal *refuser.Refusal
		if err == nil {
			return slot, nil
		}
		if errors.As(err, &refusal) {
			return nil, refusal
		}
	}
	waiter := &waiter{request: request}
	granted, err := pool.await(ctx, waiter)
	if err != nil {
		return nil, err
	}
	return pool.slot(waiter, granted), nil
}

// await waits for the decision on waiter; its error is the refusal.
func (pool *pool) await(ctx context.Context, waiter *waiter) (decision, error) {
	decided, done := pool.enter(time.Now(), waiter)
	if !done {
		decided = pool.wait(ctx, waiter)
	}
	if decided.refusal != nil {
		return decision{}, decided.refusal
	}
	return decided, nil
}

// wait waits for the decision on a queued waiter.
func (pool *pool) wait(ctx context.Context, waiter *waiter) decision {
	timer := time.NewTimer(borrowDelay)
	defer timer.Stop()
	for {
		select {
		case decision := <-waiter.ready:
			return decision
		case <-timer.C:
			pool.recheck(time.Now(), waiter)
			timer.Reset(recheckInterval)
		case <-ctx.Done():
			return pool.leave(time.Now(), waiter, ctx.Err())
		}
	}
}

// enter grants waiter a slot at once, refuses it or queues it. It reports
// whether the decision is made, which it is unless waiter is queued.
func (pool *pool) enter(now time.Time, waiter *waiter) (decision, bool) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	waiter.since = now
	waiter.lane = pool.own.Lane(waiter.request.class, waiter.request.lane)
	if pool.closed {
		return pool.refuse(refuser.KindLeaving, "the entry host stops", 0), true
	}
	if decision, done := pool.admit(now, waiter); done {
		return decision, true
	}
	waiter.ready = make(chan decision, 1)
	pool.grantAll(now)
	select {
	case decision := <-waiter.ready:
		return decision, true
	default:
		return decision{}, false
	}
}

// admit grants waiter a slot at once, refuses it or adds it to the queue or the
// spare waiters. It reports whether the decision is made.
func (pool *pool) admit(now time.Time, waiter *waiter) (decision, bool) {
	if waiter.spare {
		if len(pool.spareWaiters) >= maxSpareWaiters {
			return pool.refuse(refuser.KindOverloaded, "too many wants of other homes", 0), true
		}
		pool.spareWaiters = append(pool.spareWaiters, waiter)
		return decision{}, false
	}
	if refusal := pool.checkAdmission(now, waiter); refusal != nil {
		return decision{refusal: refusal}, true
	}
	if pool.queue.counts[waiter.lane] == 0 {
		if granted, ok := pool.take(now, waiter, 1); ok {
			return granted, true
		}
		pool.grantRates[waiter.lane].start(now)
	}
	pool.queue.push(waiter)
	return decision{}, false
}

// recheck tries again to grant waiter a slot, or refuses it.
func (pool *pool) recheck(now time.Time, waiter *waiter) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if waiter.spare {
		pool.grantAll(now)
		return
	}
	if waiter.element == nil {
		return
	}
	if !pool.usable(now) {
		pool.drop(waiter, pool.refuseNoEndpoint())
		return
	}
	if pool.missesDeadline(now, waiter) {
		pool.drop(waiter, pool.refuseLate(waiter))
		return
	}
	first := pool.queue.first(waiter.lane, 1)
	if len(first) == 0 || first[0] == waiter {
		pool.grantAll(now)
	}
}

// leave removes waiter after its context ended and returns any loan granted at
// that moment.
func (pool *pool) leave(now time.Time, waiter *waiter, cause error) decision {
	decision, refused := pool.withdraw(now, waiter, cause)
	if decision.home != "" {
		pool.router.returnLoan(pool, decision.home, decision.loan, NewResult(Unused, 0))
	}
	return refused
}

// withdraw removes waiter and releases any local slot granted at that moment.
// It returns the decision made at that moment, if any, and the refusal that
// replaces it.
func (pool *pool) withdraw(now time.Time, waiter *waiter, cause error) (decision, refused decision) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.dequeue(waiter)
	select {
	case decision = <-waiter.ready:
	default:
	}
	if decision.refusal != nil {
		return decision, decision
	}
	if decision.ticket != nil {
		decision.selector.Release(now, decision.ticket, NewResult(Unused, 0))
	}
	pool.grantAll(now)
	return decision, pool.refuseEnded(cause)
}

// dequeue removes waiter from the queue or the spare waiters.
func (pool *pool) dequeue(waiter *waiter) {
	if pool.queue.remove(waiter) {
		return
	}
	for index, other := range pool.spareWaiters {
		if other == waiter {
			pool.spareWaiters = append(pool.spareWaiters[:index], pool.spareWaiters[index+1:]...)
			return
		}
	}
}
