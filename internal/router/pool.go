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
	if pool.hopeless(now, waiter) {
		pool.drop(waiter)
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

// pump gives free slots to those who wait, until no more can be given.
func (pool *pool) pump(now time.Time) {
	for pool.grantOne(now) {
		continue
	}
	kept := pool.wants[:0]
	for _, want := range pool.wants {
		if granted, ok := pool.take(now, want, 0); ok {
			want.ready <- granted
		} else {
			kept = append(kept, want)
		}
	}
	pool.wants = kept
	pool.borrow(now)
}

// grantOne places one waiter and reports whether it could.
func (pool *pool) grantOne(now time.Time) bool {
	for _, lane := range pool.lanesInTurn(now) {
		for _, waiter := range pool.queue.first(lane, lookahead) {
			if pool.hopeless(now, waiter) {
				pool.drop(waiter)
				return true
			}
			granted, ok := pool.take(now, waiter, pool.queue.counts[lane])
			if !ok {
				continue
			}
			pool.deliver(now, waiter, granted)
			return true
		}
	}
	return false
}

// deliver takes waiter out of the queue and gives it granted.
func (pool *pool) deliver(now time.Time, waiter *waiter, granted grant) {
	pool.queue.remove(waiter)
	pool.paces[waiter.lane].grant(now)
	waiter.ready <- granted
}

// lanesInTurn returns short before long, but for long work that waited long
// and holds no slot.
func (pool *pool) lanesInTurn(now time.Time) [lanes]definer.Lane {
	first := pool.queue.first(definer.Long, 1)
	if len(first) == 1 && pool.own.LongRunning() == 0 && now.Sub(first[0].since) > longPatience {
		return [lanes]definer.Lane{definer.Long, definer.Short}
	}
	return [lanes]definer.Lane{definer.Short, definer.Long}
}

// take takes a slot for waiter while count requests wait in its lane.
func (pool *pool) take(now time.Time, waiter *waiter, count int) (grant, bool) {
	patient := pool.patient(now, waiter)
	need := waiter.need(count, patient)
	source := &pool.own
	switch {
	case pool.baseline():
		source = &pool.everywhere
	case waiter.borrower != "" || pool.own.Usable(now):
	case patient:
		return grant{}, false
	default:
		source = &pool.everywhere
		need = need.Near(pool.place)
	}
	ticket := source.Take(now, need)
	if ticket == nil {
		return grant{}, false
	}
	pool.counters.granted++
	return grant{keeper: source, ticket: ticket}, true
}

// patient reports whether waiter may still hope for another home's slot.
func (pool *pool) patient(now time.Time, waiter *waiter) bool {
	if waiter.borrower != "" || now.Sub(waiter.since) >= patience || !pool.router.canBorrow() {
		return false
	}
	for _, home := range pool.homes {
		if home.near && !now.Before(home.downUntil) {
			return true
		}
	}
	return false
}

// slot makes a slot of a grant.
func (pool *pool) slot(waiter *waiter, granted grant) *Slot {
	if granted.ticket != nil {
		return &Slot{endpoint: granted.ticket.Endpoint(), owner: &ownHold{pool: pool, grant: granted}}
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	endpoint := pool.endpoints[granted.loan.endpoint]
	return &Slot{endpoint: endpoint, owner: &loanHold{pool: pool, grant: granted, waiter: waiter}}
}

// ownHold is a slot of one of our keepers while a request uses it.
type ownHold struct {
	pool *pool
	grant
}

func (ownHold *ownHold) takeBack(result Result) {
	pool := ownHold.pool
	now := time.Now()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	ownHold.keeper.Release(now, ownHold.ticket, result)
	if ownHold.keeper == &pool.everywhere && result.Outcome() == Answered {
		pool.own.Observe(ownHold.ticket.Need(), result.RunTime())
	}
	pool.pump(now)
}

// loanHold is a slot of another home while a request of ours uses it.
type loanHold struct {
	pool *pool
	grant
	waiter *waiter
}

func (loanHold *loanHold) takeBack(result Result) {
	pool := loanHold.pool
	if result.Outcome() == Answered {
		pool.mu.Lock()
		pool.own.Observe(loanHold.waiter.need(0, false), result.RunTime())
		pool.mu.Unlock()
	}
	pool.router.giveBack(pool, loanHold.home, loanHold.loan, result)
}
