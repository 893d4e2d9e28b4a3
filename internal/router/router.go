// Package router decides which endpoint, or which other home's slot, a request
// gets, and queues, refuses and orders the requests that wait.
package router

import (
	"context"
	"sync"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/refuser"
)

// Router places the requests of one entry host. The zero value knows no pool
// and refuses all requests; it is safe for concurrent use.
type Router struct {
	// mu guards lender and configuration.
	mu            sync.Mutex
	lender        Lender
	configuration *definer.Configuration
}

// SetLender gives the router a way to other homes.
func (router *Router) SetLender(lender Lender) {
	router.mu.Lock()
	defer router.mu.Unlock()
	router.lender = lender
}

// Update takes in the configuration in force and the entry hosts, with self
// among them.
func (router *Router) Update(configuration *definer.Configuration, _ definer.Host, _ []definer.Host) {
	router.mu.Lock()
	defer router.mu.Unlock()
	router.configuration = configuration
}

// SetDraining names the endpoints that get no new work, in place of those
// named before.
func (router *Router) SetDraining(_ []string) {}

// Acquire waits for a slot for request. Its error is always a
// *refuser.Refusal that says not run.
func (router *Router) Acquire(_ context.Context, request Request) (*Slot, error) {
	router.mu.Lock()
	defer router.mu.Unlock()
	if router.configuration != nil {
		for _, endpoint := range router.configuration.EndpointsOf(request.pool) {
			return &Slot{endpoint: endpoint, owner: router}, nil
		}
	}
	return nil, refuser.New(refuser.KindNoEndpoint, refuser.NotRun, "pool "+request.pool+" has no endpoint")
}

func (router *Router) takeBack(Result) {}

// Lend waits for a slot for borrower.
func (router *Router) Lend(ctx context.Context, _ string, want Want) (Loan, error) {
	slot, err := router.Acquire(ctx, want.Request())
	if err != nil {
		return Loan{}, err
	}
	return NewLoan(0, slot.endpoint.Name()), nil
}

// TakeBack ends a loan.
func (router *Router) TakeBack(_ string, _ uint64, _ Result) {}

// ForgetBorrower ends all loans to borrower, whose process is gone.
func (router *Router) ForgetBorrower(_ string) {}

// Close waits for the router's tasks to end.
func (router *Router) Close() error { return nil }
