package router

import (
	"context"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Lender asks other homes for slots.
type Lender interface {
	// Borrow asks home for a slot. It may wait at the home until ctx ends. An
	// error that is a *refuser.Refusal is the home's own answer; any other
	// means that the home was out of reach. After an error no loan stands: one
	// that is granted just then is given back by the Lender. Borrow may return
	// a loan after the end of ctx, which the borrower gives back.
	Borrow(ctx context.Context, home string, want Want) (Loan, error)
	// GiveBack ends loan and tells the home what was learned. It does not
	// wait for the home.
	GiveBack(home string, loan Loan, result Result)
}

// Want is what a borrower asks a home for.
type Want struct {
	pool     string
	lane     definer.Lane
	priority int
	// deadline is zero where the request has none.
	deadline time.Time
	isolated bool
	avoid    []string
	// class may be empty; it sharpens the home's judgement of run times.
	class string
	// spare is true where a slot is wanted only if the home has no use for it.
	spare bool
}

// NewWant returns what request asks for. A spare want is served only while no
// request waits at the home; any other queues like the home's own requests.
func NewWant(request Request, spare bool) Want {
	return Want{
		pool: request.pool, lane: request.lane, priority: request.priority, deadline: request.deadline,
		isolated: request.isolated, avoid: request.avoid, class: request.class, spare: spare,
	}
}

// Request returns the request that the want stands for, to build a message of.
func (want Want) Request() Request {
	return Request{
		pool: want.pool, lane: want.lane, priority: want.priority, deadline: want.deadline,
		isolated: want.isolated, avoid: want.avoid, class: want.class,
	}
}

// Spare reports whether only a slot that the home has no use for is wanted.
func (want Want) Spare() bool { return want.spare }

// Loan is a slot of another home, held for one request.
type Loan struct {
	// id is unique at the home that lent the slot.
	id       uint64
	endpoint string
}

// NewLoan returns the loan called id of a slot on the endpoint named.
func NewLoan(id uint64, endpoint string) Loan { return Loan{id: id, endpoint: endpoint} }

// ID returns the number of the loan at the home that lent the slot.
func (loan Loan) ID() uint64 { return loan.id }

// Endpoint returns the name of the endpoint that the slot is on.
func (loan Loan) Endpoint() string { return loan.endpoint }
