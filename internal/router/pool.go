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
	// recheckInterval is how often a waiting request checks for changes that no
	// event announces: deadlines, and endpoints that turn slow.
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
	// requests. It serves the baseline policies, and the case that no home is
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

// grant is the result delivered to a waiter: a local slot, a loan or a refusal.
type grant struct {
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

// await waits for the grant of waiter; its error is the refusal.
func (pool *pool) await(ctx context.Context, waiter *waiter) (grant, error) {
	granted, done := pool.enter(time.Now(), waiter)
	if !done {
		granted = pool.wait(ctx, waiter)
	}
	if granted.refusal != nil {
		return grant{}, granted.refusal
	}
	return granted, nil
}

// wait waits for the grant of a queued waiter.
func (pool *pool) wait(ctx context.Context, waiter *waiter) grant {
	timer := time.NewTimer(borrowDelay)
	defer timer.Stop()
	for {
		select {
		case granted := <-waiter.ready:
			return granted
		case <-timer.C:
			pool.recheck(time.Now(), waiter)
			timer.Reset(recheckInterval)
		case <-ctx.Done():
			return pool.leave(time.Now(), waiter, ctx.Err())
		}
	}
}

// enter grants waiter a slot at once, refuses it or queues it. It reports
// whether the grant is final.
func (pool *pool) enter(now time.Time, waiter *waiter) (grant, bool) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	waiter.since = now
	waiter.lane = pool.own.Lane(waiter.request.class, waiter.request.lane)
	if pool.closed {
		return pool.refuse(refuser.KindLeaving, "the entry host stops", 0), true
	}
	if granted, done := pool.admit(now, waiter); done {
		return granted, true
	}
	waiter.ready = make(chan grant, 1)
	pool.grantAll(now)
	select {
	case granted := <-waiter.ready:
		return granted, true
	default:
		return grant{}, false
	}
}

// admit grants waiter a slot at once, refuses it or adds it to the queue or the
// spare waiters. It reports whether the grant is final.
func (pool *pool) admit(now time.Time, waiter *waiter) (grant, bool) {
	if waiter.spare {
		if len(pool.spareWaiters) >= maxSpareWaiters {
			return pool.refuse(refuser.KindOverloaded, "too many wants of other homes", 0), true
		}
		pool.spareWaiters = append(pool.spareWaiters, waiter)
		return grant{}, false
	}
	if refusal := pool.checkAdmission(now, waiter); refusal != nil {
		return grant{refusal: refusal}, true
	}
	if pool.queue.counts[waiter.lane] == 0 {
		if granted, ok := pool.take(now, waiter, 1); ok {
			return granted, true
		}
		pool.grantRates[waiter.lane].start(now)
	}
	pool.queue.push(waiter)
	return grant{}, false
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
func (pool *pool) leave(now time.Time, waiter *waiter, cause error) grant {
	granted, refused := pool.withdraw(now, waiter, cause)
	if granted.home != "" {
		pool.router.giveBack(pool, granted.home, granted.loan, NewResult(Unused, 0))
	}
	return refused
}

// withdraw removes waiter and releases any local slot granted at that moment.
// It returns that grant, if any, and the refusal that replaces it.
func (pool *pool) withdraw(now time.Time, waiter *waiter, cause error) (granted, refused grant) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.dequeue(waiter)
	select {
	case granted = <-waiter.ready:
	default:
	}
	if granted.refusal != nil {
		return granted, granted
	}
	if granted.ticket != nil {
		granted.selector.Release(now, granted.ticket, NewResult(Unused, 0))
	}
	pool.grantAll(now)
	return granted, pool.refuseEnded(cause)
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
