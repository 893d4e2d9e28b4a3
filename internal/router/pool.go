package router

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/keeper"
	"github.com/chivespool/chivespool/internal/refuser"
)

const (
	// recheckInterval is how often a request that waits looks again, for what
	// no event announces: deadlines, and endpoints that turn slow.
	recheckInterval = 20 * time.Millisecond
	// patience is how long a request waits for another home's slot before it
	// takes an endpoint that it should rather avoid.
	patience = 20 * time.Millisecond
	// longPatience is how long long work waits behind short work while it
	// holds no slot at all.
	longPatience = 100 * time.Millisecond
	// lookahead is how many waiters of a lane are tried for a free slot, where
	// those before them can't use it.
	lookahead = 4
	// maxWants bounds the spare wants of borrowers that wait.
	maxWants = 256
)

// pool places the requests of one pool at this entry host.
type pool struct {
	name   string
	router *Router
	// mu guards all fields below.
	mu sync.Mutex
	// own hands out the slots of the endpoints that this host is the home of.
	own keeper.Keeper
	// everywhere has all endpoints of the pool and knows only our own
	// requests; it serves the baselines, and where no home is in reach.
	everywhere keeper.Keeper
	endpoints  map[string]definer.Endpoint
	// homes are the other homes, those of our region first.
	homes  []*otherHome
	place  definer.Place
	policy keeper.Policy
	// queueLength bounds queue; long work may fill half of it.
	queueLength int
	queue       queue
	paces       [lanes]pace
	// wants are the spare wants of borrowers in order of arrival.
	wants      []*waiter
	borrowings map[borrowKey]*borrowing
	closed     bool
	counters   counters
}

// counters count what happened in a pool since its start.
type counters struct {
	granted, borrowed, lent, unused, refused uint64
}

// grant is what a waiter gets: a slot of our own, or a loan, or a refusal.
type grant struct {
	keeper  *keeper.Keeper
	ticket  *keeper.Ticket
	home    string
	loan    Loan
	refusal *refuser.Refusal
}

// acquire finds a slot for request.
func (pool *pool) acquire(ctx context.Context, request Request) (*Slot, error) {
	if homes := pool.direct(time.Now()); len(homes) > 0 {
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

// await waits for a grant, which is no refusal where err is nil.
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

// wait waits for the grant of a waiter that queues.
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

// enter places waiter at once, or refuses it, or queues it.
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
	pool.pump(now)
	select {
	case granted := <-waiter.ready:
		return granted, true
	default:
		return grant{}, false
	}
}

// admit places waiter at once, or refuses it, or puts it where it waits.
func (pool *pool) admit(now time.Time, waiter *waiter) (grant, bool) {
	if waiter.spare {
		if len(pool.wants) >= maxWants {
			return pool.refuse(refuser.KindOverloaded, "too many wants of other homes", 0), true
		}
		pool.wants = append(pool.wants, waiter)
		return grant{}, false
	}
	if refusal := pool.judge(now, waiter); refusal != nil {
		return grant{refusal: refusal}, true
	}
	if pool.queue.counts[waiter.lane] == 0 {
		if granted, ok := pool.take(now, waiter, 1); ok {
			return granted, true
		}
		pool.paces[waiter.lane].start(now)
	}
	pool.queue.push(waiter)
	return grant{}, false
}

// recheck looks again whether waiter can be placed or must be refused.
func (pool *pool) recheck(now time.Time, waiter *waiter) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if waiter.spare {
		pool.pump(now)
		return
	}
	if waiter.element == nil {
		return
	}
	if !pool.usable(now) {
		pool.drop(waiter, pool.refuseEmpty())
		return
	}
	if pool.hopeless(now, waiter) {
		pool.drop(waiter, pool.refuseHopeless(waiter))
		return
	}
	first := pool.queue.first(waiter.lane, 1)
	if len(first) == 0 || first[0] == waiter {
		pool.pump(now)
	}
}

// leave takes waiter out of the queue, and gives back what it just got.
func (pool *pool) leave(now time.Time, waiter *waiter, cause error) grant {
	granted, refused := pool.withdraw(now, waiter, cause)
	if granted.home != "" {
		pool.router.giveBack(pool, granted.home, granted.loan, NewResult(Unused, 0))
	}
	return refused
}

// withdraw takes waiter out of the queue. It returns the grant that waiter got
// just then, if any, and the refusal that it gets in its place.
func (pool *pool) withdraw(now time.Time, waiter *waiter, cause error) (granted, refused grant) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.unqueue(waiter)
	select {
	case granted = <-waiter.ready:
	default:
	}
	if granted.refusal != nil {
		return granted, granted
	}
	if granted.ticket != nil {
		granted.keeper.Release(now, granted.ticket, NewResult(Unused, 0))
	}
	pool.pump(now)
	return granted, pool.refuseEnded(cause)
}

// unqueue takes waiter out of the queue or the wants.
func (pool *pool) unqueue(waiter *waiter) {
	if pool.queue.remove(waiter) {
		return
	}
	for index, want := range pool.wants {
		if want == waiter {
			pool.wants = append(pool.wants[:index], pool.wants[index+1:]...)
			return
		}
	}
}
