package lender

import (
	"context"
	"errors"
	"time"

	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/chivespool/chivespool/internal/messenger"
	"github.com/chivespool/chivespool/internal/refuser"
	"github.com/chivespool/chivespool/internal/router"
)

// Home lends slots; package router implements it.
type Home interface {
	// Lend waits for a slot for borrower until ctx ends.
	Lend(ctx context.Context, borrower string, borrowRequest router.BorrowRequest) (router.Loan, error)
	// EndLoan ends a loan and records the result of the request that used it.
	EndLoan(borrower string, loanID uint64, result router.Result)
}

// ServeBorrow answers a borrower's request with a loan from home.
func ServeBorrow(ctx context.Context, home Home, borrower string, request *encoder.BorrowRequest) (*encoder.Reply, error) {
	if wait := request.GetWaitMilliseconds(); wait > 0 {
		waiting, cancel := context.WithTimeout(ctx, time.Duration(wait)*time.Millisecond)
		defer cancel()
		ctx = waiting
	}
	loan, err := home.Lend(ctx, borrower, decodeBorrowRequest(request))
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) {
		return nil, messenger.NewError(messenger.Refused, string(refusal.Kind()), refusal)
	}
	if err != nil {
		return nil, messenger.NewError(messenger.Refused, string(refuser.KindOverloaded), err)
	}
	message := &encoder.Loan{Id: loan.ID(), Endpoint: loan.Endpoint()}
	return &encoder.Reply{Body: &encoder.Reply_Loan{Loan: message}}, nil
}

// ServeReturnLoan ends a loan that borrower returns to home.
func ServeReturnLoan(home Home, borrower string, request *encoder.GiveBackRequest) *encoder.Reply {
	home.EndLoan(borrower, request.GetLoanId(), decodeResult(request))
	return &encoder.Reply{Body: &encoder.Reply_GiveBack{GiveBack: &encoder.GiveBackReply{}}}
}
