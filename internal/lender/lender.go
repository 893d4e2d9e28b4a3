// Package lender transfers loans of slots between entry hosts over the peer
// links, for package router.
//
// A [Lender] is the borrower's side, and [ServeBorrow] and [ServeReturnLoan] are
// the home's. Package router decides on both sides; this package only encodes,
// decodes and sends. Borrow blocks its caller; Run starts a goroutine for each
// loan that it returns, at most parallelReturns at a time.
package lender

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/chivespool/chivespool/internal/messenger"
	"github.com/chivespool/chivespool/internal/refuser"
	"github.com/chivespool/chivespool/internal/router"
)

const (
	// spareWait is how long one request for a spare slot waits at a home; Borrow
	// then sends another.
	spareWait = 100 * time.Millisecond
	// replyTimeout bounds the time from the end of a request's wait to its reply.
	replyTimeout = 5 * time.Second
	// returnTimeout bounds one call that returns a loan. A loan that can't be
	// returned ends when the home detects that the borrower's link is down.
	returnTimeout = 5 * time.Second
)

// Caller sends requests to other entry hosts; package messenger implements it.
type Caller interface {
	Call(ctx context.Context, host string, request *encoder.Request) (*encoder.Reply, error)
}

// Lender borrows slots from other homes on behalf of a router. Make one with New.
type Lender struct {
	caller Caller
	// returns queues the loans that Run returns.
	returns chan loanReturn
}

// Bounds on the loans to return: in the queue, and in calls in flight.
const (
	maxQueuedReturns = 1024
	parallelReturns  = 64
)

// loanReturn is one loan to return.
type loanReturn struct {
	home    string
	request *encoder.GiveBackRequest
}

// New returns a lender that reaches other homes through caller.
func New(caller Caller) *Lender {
	return &Lender{caller: caller, returns: make(chan loanReturn, maxQueuedReturns)}
}

// Borrow requests a slot from home, and waits there as long as ctx allows. A
// *refuser.Refusal is the home's own answer; any other error means that the
// home is unreachable.
//
// A request in flight is never cancelled, since the slot in its reply would be
// lost: Borrow may still return a loan after the end of ctx, up to spareWait
// later for a spare slot.
func (lender *Lender) Borrow(ctx context.Context, home string, borrowRequest router.BorrowRequest) (router.Loan, error) {
	for {
		loan, err := lender.borrowOnce(ctx, home, borrowRequest)
		if err == nil || !borrowRequest.Spare() || !isTimeout(err) {
			return loan, err
		}
		if ctx.Err() != nil {
			return router.Loan{}, ctx.Err()
		}
	}
}

// borrowOnce sends one request to home.
func (lender *Lender) borrowOnce(ctx context.Context, home string, borrowRequest router.BorrowRequest) (router.Loan, error) {
	wait := spareWait
	if end, ok := ctx.Deadline(); ok && !borrowRequest.Spare() {
		wait = max(time.Until(end), time.Millisecond)
	}
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), wait+replyTimeout)
	defer cancel()
	request := &encoder.Request{Body: &encoder.Request_Borrow{Borrow: encodeBorrowRequest(borrowRequest, wait)}}
	reply, err := lender.caller.Call(bounded, home, request)
	if err != nil {
		return router.Loan{}, borrowError(err)
	}
	loan := reply.GetLoan()
	if loan.GetEndpoint() == "" {
		return router.Loan{}, refuser.New(refuser.KindOverloaded, refuser.NotRun, "no slot to lend at "+home)
	}
	return router.NewLoan(loan.GetId(), loan.GetEndpoint()), nil
}

// isTimeout reports whether err means that no slot became free in time.
func isTimeout(err error) bool {
	var refusal *refuser.Refusal
	return errors.As(err, &refusal) && refusal.Kind() == refuser.KindDeadline
}

// borrowError returns the refusal that err holds if the home refused, or else err.
func borrowError(err error) error {
	var callError *messenger.CallError
	if errors.As(err, &callError) && callError.Kind() == messenger.Refused && callError.Reason() != "" {
		return refuser.New(refuser.Kind(callError.Reason()), refuser.NotRun, callError.Error())
	}
	return err
}

// ReturnLoan queues the return of loan to home, without waiting.
func (lender *Lender) ReturnLoan(home string, loan router.Loan, result router.Result) {
	select {
	case lender.returns <- loanReturn{home: home, request: encodeLoanReturn(loan, result)}:
	default: // The queue is full; the home reclaims the slot when the loan expires.
	}
}

// Run sends the queued returns of loans, several in parallel, until ctx is done. It
// ends once all calls in flight have ended.
func (lender *Lender) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	semaphore := make(chan struct{}, parallelReturns)
	for {
		select {
		case <-ctx.Done():
			return nil
		case loanReturn := <-lender.returns:
			semaphore <- struct{}{}
			wait.Add(1)
			go loanReturn.run(ctx, lender.caller, func() {
				<-semaphore
				wait.Done()
			})
		}
	}
}

// run returns the loan to its home, then calls done.
func (loanReturn loanReturn) run(ctx context.Context, caller Caller, done func()) {
	defer done()
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	request := &encoder.Request{Body: &encoder.Request_GiveBack{GiveBack: loanReturn.request}}
	_, _ = caller.Call(ctx, loanReturn.home, request)
}
