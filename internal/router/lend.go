package router

import (
	"context"
	"time"

	"github.com/chivespool/chivespool/internal/refuser"
)

// lent is a slot that another entry host uses.
type lent struct {
	borrower string
	pool     *pool
	// since is when the slot was lent.
	since time.Time
	grant
}

const (
	// loanTime bounds a loan whose return got lost. A slot that comes back
	// too early is over-filled for a while, which costs time only.
	loanTime = time.Minute
	// sweepInterval is how often overdue loans are looked for.
	sweepInterval = 10 * time.Second
)

// Lend waits for a slot for borrower until ctx ends. Its error is always a
// *refuser.Refusal that says not run. A loan whose grant can't be delivered
// to borrower must be taken back by the caller.
func (router *Router) Lend(ctx context.Context, borrower string, want Want) (Loan, error) {
	pool := router.snapshot()[want.pool]
	if pool == nil || !pool.isHome() {
		// Unlike a home whose pool has no endpoint: the asking host goes on.
		detail := "this entry host is no home of pool " + want.pool
		return Loan{}, refuser.New(refuser.KindUnreachable, refuser.NotRun, detail)
	}
	router.sweep(time.Now())
	waiter := &waiter{request: want.Request(), borrower: borrower, spare: want.spare}
	granted, err := pool.await(ctx, waiter)
	if err != nil {
		return Loan{}, err
	}
	id := router.lastLoan.Add(1)
	router.loans.Store(id, &lent{borrower: borrower, pool: pool, since: time.Now(), grant: granted})
	pool.mu.Lock()
	pool.counters.lent++
	pool.mu.Unlock()
	return NewLoan(id, granted.ticket.Endpoint().Name()), nil
}

// TakeBack ends the loan of loanID to borrower with what was learned. A loan
// that is no more, or is another's, is left alone.
func (router *Router) TakeBack(borrower string, loanID uint64, result Result) {
	value, ok := router.loans.Load(loanID)
	if !ok {
		return
	}
	lent := value.(*lent)
	if lent.borrower != borrower {
		return
	}
	if _, ok := router.loans.LoadAndDelete(loanID); ok {
		lent.pool.release(time.Now(), lent.grant, result)
	}
}

// ForgetBorrower ends all loans to borrower, whose process is gone.
func (router *Router) ForgetBorrower(borrower string) {
	router.loans.Range(func(id, value any) bool {
		if value.(*lent).borrower == borrower {
			router.TakeBack(borrower, id.(uint64), NewResult(Unused, 0))
		}
		return true
	})
}

// sweep ends the loans that are overdue, once in a while.
func (router *Router) sweep(now time.Time) {
	last := router.sweptAt.Load()
	if now.UnixNano()-last < int64(sweepInterval) || !router.sweptAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	router.loans.Range(func(id, value any) bool {
		lent := value.(*lent)
		if now.Sub(lent.since) > loanTime {
			router.TakeBack(lent.borrower, id.(uint64), NewResult(Unused, 0))
		}
		return true
	})
}

// isHome reports whether this host hands out slots of the pool.
func (pool *pool) isHome() bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.own.Len() > 0
}

// giveBack ends a loan of home to us.
func (router *Router) giveBack(pool *pool, home string, loan Loan, result Result) {
	pool.asked(home, -1)
	router.meter.charge(pool.region(home), returnBytes, result.Bytes())
	router.currentLender().GiveBack(home, loan, result)
}

// region returns the region of the home called name, or empty.
func (pool *pool) region(name string) string {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, home := range pool.homes {
		if home.name == name {
			return home.region
		}
	}
	return ""
}
