package router

import (
	"context"
	"time"

	"github.com/chivespool/chivespool/internal/refuser"
)

// lentSlot is a slot that another entry host has borrowed.
type lentSlot struct {
	borrower string
	pool     *pool
	// since is the time of the loan.
	since time.Time
	decision
}

const (
	// maxLoanTime bounds a loan whose return was lost. If the slot is still in
	// use when it is reclaimed, its endpoint is overcommitted for a while,
	// which costs only latency.
	maxLoanTime = time.Minute
	// sweepInterval is the least time between two searches for overdue loans.
	sweepInterval = 10 * time.Second
)

// Lend waits for a slot for borrower until ctx ends. Its error is always a
// *refuser.Refusal marked as not run. If the loan can't be delivered to
// borrower, the caller must call EndLoan.
func (router *Router) Lend(ctx context.Context, borrower string, borrowRequest BorrowRequest) (Loan, error) {
	pool := router.snapshot()[borrowRequest.pool]
	if pool == nil || !pool.isHome() {
		// KindUnreachable, unlike KindNoEndpoint, makes the borrower try the
		// next home.
		detail := "this entry host is no home of pool " + borrowRequest.pool
		return Loan{}, refuser.New(refuser.KindUnreachable, refuser.NotRun, detail)
	}
	router.sweep(time.Now())
	waiter := &waiter{request: borrowRequest.Request(), borrower: borrower, spare: borrowRequest.spare}
	granted, err := pool.await(ctx, waiter)
	if err != nil {
		return Loan{}, err
	}
	id := router.lastLoan.Add(1)
	router.loans.Store(id, &lentSlot{borrower: borrower, pool: pool, since: time.Now(), decision: granted})
	pool.mu.Lock()
	pool.counters.lent++
	pool.mu.Unlock()
	return NewLoan(id, granted.ticket.Endpoint().Name()), nil
}

// EndLoan ends the loan of loanID to borrower and records result. A loan that
// has ended or belongs to another borrower is left unchanged.
func (router *Router) EndLoan(borrower string, loanID uint64, result Result) {
	value, ok := router.loans.Load(loanID)
	if !ok {
		return
	}
	lentSlot := value.(*lentSlot)
	if lentSlot.borrower != borrower {
		return
	}
	if _, ok := router.loans.LoadAndDelete(loanID); ok {
		lentSlot.pool.release(time.Now(), lentSlot.decision, result)
	}
}

// ForgetBorrower ends all loans to borrower after its process has ended.
func (router *Router) ForgetBorrower(borrower string) {
	router.loans.Range(func(id, value any) bool {
		if value.(*lentSlot).borrower == borrower {
			router.EndLoan(borrower, id.(uint64), NewResult(Unused, 0))
		}
		return true
	})
}

// sweep ends overdue loans, at most once in sweepInterval.
func (router *Router) sweep(now time.Time) {
	last := router.sweptAt.Load()
	if now.UnixNano()-last < int64(sweepInterval) || !router.sweptAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	router.loans.Range(func(id, value any) bool {
		lentSlot := value.(*lentSlot)
		if now.Sub(lentSlot.since) > maxLoanTime {
			router.EndLoan(lentSlot.borrower, id.(uint64), NewResult(Unused, 0))
		}
		return true
	})
}

// isHome reports whether this host is a home of the pool.
func (pool *pool) isHome() bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.own.Len() > 0
}

// returnLoan returns loan to home.
func (router *Router) returnLoan(pool *pool, home string, loan Loan, result Result) {
	pool.addOutstanding(home, -1)
	router.meter.charge(pool.region(home), returnBytes, result.Bytes())
	router.currentLender().ReturnLoan(home, loan, result)
}

// region returns the region of the home called name, or empty.
func (pool *pool) region(name string) string {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, otherHome := range pool.homes {
		if otherHome.name == name {
			return otherHome.region
		}
	}
	return ""
}
