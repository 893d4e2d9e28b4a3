// Package lender carries loans of slots between homes over the peer links. It
// encodes and decodes; package router decides at both ends.
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
	// wantWait is how long a spare want waits at a home before it is renewed.
	wantWait = 100 * time.Millisecond
	// replyTimeout bounds how late after its wait a home may answer.
	replyTimeout = 5 * time.Second
	// giveBackTimeout bounds how long a home may take to take back a loan. A
	// loan that can't be given back ends when the home sees the borrower's
	// link go down.
	giveBackTimeout = 5 * time.Second
)

// Caller calls other entry hosts, as package messenger does.
type Caller interface {
	Call(ctx context.Context, host string, request *encoder.Request) (*encoder.Reply, error)
}

// Lender borrows from other homes; it is what a router needs. Make one with New.
type Lender struct {
	caller Caller
	// returns holds the loans to give back, for run.
	returns chan giveBack
}

// Bounds on the loans that are given back.
const (
	returnsMost   = 1024
	returnsAtOnce = 64
)

// giveBack is one loan on its way back.
type giveBack struct {
	home    string
	request *encoder.GiveBackRequest
}

// New returns a lender that reaches other homes through caller.
func New(caller Caller) *Lender {
	return &Lender{caller: caller, returns: make(chan giveBack, returnsMost)}
}

// Borrow asks home for a slot, and waits there as long as ctx allows. A
// *refuser.Refusal is the home's own answer; any other error means that the
// home is out of reach.
//
// A question that is under way is never given up, since its answer may carry
// a slot that would be lost: after the end of ctx, Borrow may still return a
// loan, up to wantWait later for a spare want.
func (lender *Lender) Borrow(ctx context.Context, home string, want router.BorrowRequest) (router.Loan, error) {
	for {
		loan, err := lender.ask(ctx, home, want)
		if err == nil || !want.Spare() || !waitedInVain(err) {
			return loan, err
		}
		if ctx.Err() != nil {
			return router.Loan{}, ctx.Err()
		}
	}
}

// ask asks home once.
func (lender *Lender) ask(ctx context.Context, home string, want router.BorrowRequest) (router.Loan, error) {
	wait := wantWait
	if end, ok := ctx.Deadline(); ok && !want.Spare() {
		wait = max(time.Until(end), time.Millisecond)
	}
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), wait+replyTimeout)
	defer cancel()
	request := &encoder.Request{Body: &encoder.Request_Borrow{Borrow: encodeWant(want, wait)}}
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

// waitedInVain reports whether err says that no slot came free in time.
func waitedInVain(err error) bool {
	var refusal *refuser.Refusal
	return errors.As(err, &refusal) && refusal.Kind() == refuser.KindDeadline
}

// borrowError returns the refusal that a home answered, or err.
func borrowError(err error) error {
	var callError *messenger.CallError
	if errors.As(err, &callError) && callError.Kind() == messenger.Refused && callError.Reason() != "" {
		return refuser.New(refuser.Kind(callError.Reason()), refuser.NotRun, callError.Error())
	}
	return err
}

// GiveBack ends loan at home without waiting for it.
func (lender *Lender) GiveBack(home string, loan router.Loan, result router.Result) {
	select {
	case lender.returns <- giveBack{home: home, request: encodeGiveBack(loan, result)}:
	default: // The home takes the slot back when the loan's time is over.
	}
}

// Run gives loans back, several at a time, until ctx is done; it returns once
// all that it began have ended.
func (lender *Lender) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	places := make(chan struct{}, returnsAtOnce)
	for {
		select {
		case <-ctx.Done():
			return nil
		case back := <-lender.returns:
			places <- struct{}{}
			wait.Add(1)
			go back.run(ctx, lender.caller, func() {
				<-places
				wait.Done()
			})
		}
	}
}

// run gives one loan back, then calls done.
func (giveBack giveBack) run(ctx context.Context, caller Caller, done func()) {
	defer done()
	ctx, cancel := context.WithTimeout(ctx, giveBackTimeout)
	defer cancel()
	request := &encoder.Request{Body: &encoder.Request_GiveBack{GiveBack: giveBack.request}}
	_, _ = caller.Call(ctx, giveBack.home, request)
}
