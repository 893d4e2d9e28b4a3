package router

import (
	"context"
	"slices"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/keeper"
)

const (
	// homeDownTime is how long a home that was out of reach is left alone.
	homeDownTime = 200 * time.Millisecond
	// borrowDelay is how long a request waits before other homes are asked; it
	// spares the wants of requests that our own slots serve by then.
	borrowDelay = 2 * time.Millisecond
	// reachTime is how long the first request of a lane waits before homes in
	// other regions are asked: the region is exhausted then.
	reachTime = 30 * time.Millisecond
)

// borrowKey allows one outstanding want for each home and lane.
type borrowKey struct {
	home string
	lane definer.Lane
}

// borrowing keeps one want at one home while requests wait here. A want is not
// taken back when the need ends: its grant may be under way by then, and a
// grant that nobody reads is a slot lost. It comes back unused instead.
type borrowing struct {
	pool *pool
	home *otherHome
	lane definer.Lane
	// ctx ends when the router closes; cancel ends it.
	ctx    context.Context
	cancel context.CancelFunc
}

// borrow starts a borrowing for each lane in which requests wait and each home
// that may help.
func (pool *pool) borrow(now time.Time) {
	if pool.queue.len() == 0 || pool.closed || pool.baseline() || !pool.router.canBorrow() {
		return
	}
	for _, lane := range [lanes]definer.Lane{definer.Short, definer.Long} {
		head := pool.borrower(lane)
		if head == nil || now.Sub(head.since) < borrowDelay {
			continue
		}
		for _, home := range pool.homes {
			pool.borrowFrom(now, home, lane, head)
		}
	}
}

// borrower returns the first request of our own that waits in lane, or nil.
func (pool *pool) borrower(lane definer.Lane) *waiter {
	for _, waiter := range pool.queue.first(lane, lookahead) {
		if waiter.borrower == "" {
			return waiter
		}
	}
	return nil
}

func (pool *pool) borrowFrom(now time.Time, home *otherHome, lane definer.Lane, head *waiter) {
	key := borrowKey{home: home.name, lane: lane}
	if pool.borrowings[key] != nil || now.Before(home.downUntil) {
		return
	}
	if !home.near && (now.Sub(head.since) < reachTime || !pool.router.meter.allows(now, home.region)) {
		return
	}
	if pool.borrowings == nil {
		pool.borrowings = make(map[borrowKey]*borrowing)
	}
	borrowing := &borrowing{pool: pool, home: home, lane: lane}
	borrowing.ctx, borrowing.cancel = context.WithCancel(context.Background())
	pool.borrowings[key] = borrowing
	pool.router.tasks.Add(1)
	go borrowing.run()
}

// run borrows slots one after another while requests wait.
func (borrowing *borrowing) run() {
	pool := borrowing.pool
	defer pool.router.tasks.Done()
	defer borrowing.cancel()
	for {
		want, ok := borrowing.next()
		if !ok {
			return
		}
		pool.router.meter.count(borrowing.home.region, wantBytes)
		loan, err := pool.router.currentLender().Borrow(borrowing.ctx, borrowing.home.name, want)
		if err != nil {
			borrowing.fail(time.Now())
			return
		}
		if !borrowing.use(time.Now(), loan) {
			pool.router.giveBack(pool, borrowing.home.name, loan, NewResult(Unused, 0))
		}
	}
}

// next returns the next want, or false where the borrowing ends.
func (borrowing *borrowing) next() (Want, bool) {
	pool := borrowing.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	head := pool.borrower(borrowing.lane)
	if head == nil || pool.closed || !slices.Contains(pool.homes, borrowing.home) {
		delete(pool.borrowings, borrowing.key())
		return Want{}, false
	}
	request := head.request
	request.lane = borrowing.lane
	return NewWant(request, true), true
}

func (borrowing *borrowing) key() borrowKey {
	return borrowKey{home: borrowing.home.name, lane: borrowing.lane}
}

// fail ends the borrowing after an error of the home or on the way to it.
func (borrowing *borrowing) fail(now time.Time) {
	pool := borrowing.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	borrowing.home.down(now)
	delete(pool.borrowings, borrowing.key())
	pool.pump(now)
}

// use gives loan to the first request that can use it.
func (borrowing *borrowing) use(now time.Time, loan Loan) bool {
	pool := borrowing.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if _, ok := pool.endpoints[loan.endpoint]; !ok {
		return false
	}
	for _, waiter := range pool.queue.first(borrowing.lane, lookahead) {
		if waiter.borrower != "" || slices.Contains(waiter.request.avoid, loan.endpoint) {
			continue
		}
		pool.counters.borrowed++
		borrowing.home.asked++
		pool.deliver(now, waiter, grant{home: borrowing.home.name, loan: loan})
		pool.pump(now)
		return true
	}
	return false
}

// baseline reports whether a baseline policy is measured, which borrows nothing.
func (pool *pool) baseline() bool { return pool.policy != "" && pool.policy != keeper.Slots }
