package router

import (
	"context"
	"slices"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/selector"
)

const (
	// retryDelay is how long an unreachable home is not asked again.
	retryDelay = 200 * time.Millisecond
	// borrowDelay is how long a request waits before other homes are asked. It
	// avoids borrow requests for work that gets a local slot within that time.
	borrowDelay = 2 * time.Millisecond
	// crossRegionDelay is how long the first request of a lane waits before
	// homes in other regions are asked: by then its own region has no free
	// slot.
	crossRegionDelay = 30 * time.Millisecond
)

// borrowKey limits a pool to one outstanding borrow request for each home and
// lane.
type borrowKey struct {
	home string
	lane definer.Lane
}

// borrowing keeps one borrow request outstanding at one home while requests
// wait here. The borrow request is not cancelled when no request waits any more:
// the loan may already be in transit, and a loan that nobody receives leaks a
// slot. The loan is returned unused instead.
type borrowing struct {
	pool *pool
	home *otherHome
	lane definer.Lane
	// ctx ends when the router closes; cancel ends it.
	ctx    context.Context
	cancel context.CancelFunc
}

// borrow starts a borrowing for each lane with waiting requests and each home
// that may lend, unless one is running.
func (pool *pool) borrow(now time.Time) {
	if pool.queue.len() == 0 || pool.closed || pool.baseline() || !pool.router.canBorrow() {
		return
	}
	for _, lane := range [lanes]definer.Lane{definer.Short, definer.Long} {
		head := pool.firstOwnWaiter(lane)
		if head == nil || now.Sub(head.since) < borrowDelay {
			continue
		}
		for _, otherHome := range pool.homes {
			pool.borrowFrom(now, otherHome, lane, head)
		}
	}
}

// firstOwnWaiter returns the first waiter of lane that is a request of this
// host, or nil.
func (pool *pool) firstOwnWaiter(lane definer.Lane) *waiter {
	for _, waiter := range pool.queue.first(lane, lookahead) {
		if waiter.borrower == "" {
			return waiter
		}
	}
	return nil
}

// borrowFrom starts the borrowing of lane from otherHome, unless one is running or
// the home must not be asked now. head is the first waiter of the lane.
func (pool *pool) borrowFrom(now time.Time, otherHome *otherHome, lane definer.Lane, head *waiter) {
	key := borrowKey{home: otherHome.name, lane: lane}
	if pool.borrowings[key] != nil || now.Before(otherHome.retryAt) {
		return
	}
	if !otherHome.sameRegion && (now.Sub(head.since) < crossRegionDelay || !pool.router.meter.allows(now, otherHome.region)) {
		return
	}
	if pool.borrowings == nil {
		pool.borrowings = make(map[borrowKey]*borrowing)
	}
	borrowing := &borrowing{pool: pool, home: otherHome, lane: lane}
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
		borrowRequest, ok := borrowing.nextRequest()
		if !ok {
			return
		}
		pool.router.meter.count(borrowing.home.region, borrowBytes)
		loan, err := pool.router.currentLender().Borrow(borrowing.ctx, borrowing.home.name, borrowRequest)
		if err != nil {
			borrowing.fail(time.Now())
			return
		}
		if !borrowing.assign(time.Now(), loan) {
			pool.router.returnLoan(pool, borrowing.home.name, loan, NewResult(Unused, 0))
		}
	}
}

// nextRequest returns the next borrow request, or false if there is none.
func (borrowing *borrowing) nextRequest() (BorrowRequest, bool) {
	pool := borrowing.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	head := pool.firstOwnWaiter(borrowing.lane)
	if head == nil || pool.closed || !slices.Contains(pool.homes, borrowing.home) {
		delete(pool.borrowings, borrowing.key())
		return BorrowRequest{}, false
	}
	request := head.request
	request.lane = borrowing.lane
	return NewBorrowRequest(request, true), true
}

func (borrowing *borrowing) key() borrowKey {
	return borrowKey{home: borrowing.home.name, lane: borrowing.lane}
}

// fail ends the borrowing after the home refused or could not be reached.
func (borrowing *borrowing) fail(now time.Time) {
	pool := borrowing.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	borrowing.home.markDown(now)
	delete(pool.borrowings, borrowing.key())
	pool.grantAll(now)
}

// assign grants loan to the first waiter that can use it and reports whether
// there was one.
func (borrowing *borrowing) assign(now time.Time, loan Loan) bool {
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
		borrowing.home.outstanding++
		pool.deliver(now, waiter, decision{home: borrowing.home.name, loan: loan})
		pool.grantAll(now)
		return true
	}
	return false
}

// baseline reports whether the pool runs a baseline policy, which never
// borrows.
func (pool *pool) baseline() bool { return pool.policy != "" && pool.policy != selector.Slots }
