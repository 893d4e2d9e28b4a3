package router

import (
	"context"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Lender borrows slots from other homes.
type Lender interface {
	// Borrow asks home for a slot. It may wait at the home until ctx ends. An
	// error that is a *refuser.Refusal comes from the home; any other error
	// means that the home could not be reached. No loan remains after an error:
	// the Lender returns one that is granted at that moment. Borrow may return
	// a loan after ctx has ended; the caller must then return it.
	Borrow(ctx context.Context, home string, borrowRequest BorrowRequest) (Loan, error)
	// ReturnLoan ends loan and reports result to the home. It does not wait for
	// the home.
	ReturnLoan(home string, loan Loan, result Result)
}

// BorrowRequest asks a home for a slot.
type BorrowRequest struct {
	pool     string
	lane     definer.Lane
	priority int
	// deadline is zero for none.
	deadline time.Time
	isolated bool
	avoid    []string
	// class may be empty; it lets the home estimate run times more closely.
	class string
	// spare is true if the home should lend only a slot that its own requests
	// don't need.
	spare bool
}

// NewBorrowRequest returns the borrow request for request. A spare one is
// served only while no request waits at the home; any other queues like the
// home's own requests.
func NewBorrowRequest(request Request, spare bool) BorrowRequest {
	return BorrowRequest{
		pool: request.pool, lane: request.lane, priority: request.priority, deadline: request.deadline,
		isolated: request.isolated, avoid: request.avoid, class: request.class, spare: spare,
	}
}

// Request returns the request to be served by the slot, without its ID, target
// and hedge flag.
func (borrowRequest BorrowRequest) Request() Request {
	return Request{
		pool: borrowRequest.pool, lane: borrowRequest.lane, priority: borrowRequest.priority, deadline: borrowRequest.deadline,
		isolated: borrowRequest.isolated, avoid: borrowRequest.avoid, class: borrowRequest.class,
	}
}

// Spare reports whether the home should lend only a slot that its own requests
// don't need.
func (borrowRequest BorrowRequest) Spare() bool { return borrowRequest.spare }

// Loan is a slot borrowed from another home for one request.
type Loan struct {
	// id is unique at the home that lent the slot.
	id       uint64
	endpoint string
}

// NewLoan returns the loan numbered id of a slot on endpoint.
func NewLoan(id uint64, endpoint string) Loan { return Loan{id: id, endpoint: endpoint} }

// ID returns the number of the loan, which is unique at the home that lent the
// slot.
func (loan Loan) ID() uint64 { return loan.id }

// Endpoint returns the name of the slot's endpoint.
func (loan Loan) Endpoint() string { return loan.endpoint }
