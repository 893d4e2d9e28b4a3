package lender

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/chivespool/chivespool/internal/refuser"
	"github.com/chivespool/chivespool/internal/router"
)

// countingHome lends slots and records those that have not been returned.
type countingHome struct {
	mu   sync.Mutex
	next uint64
	lent map[uint64]bool
	// lendDelay is the time until a slot is free to lend.
	lendDelay time.Duration
}

func (countingHome *countingHome) Lend(ctx context.Context, _ string, _ router.BorrowRequest) (router.Loan, error) {
	timer := time.NewTimer(countingHome.lendDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return router.Loan{}, refuser.New(refuser.KindDeadline, refuser.NotRun, "no slot came free")
	case <-timer.C:
	}
	countingHome.mu.Lock()
	defer countingHome.mu.Unlock()
	countingHome.next++
	countingHome.lent[countingHome.next] = true
	return router.NewLoan(countingHome.next, "ledger-1"), nil
}

func (countingHome *countingHome) EndLoan(_ string, loanID uint64, _ router.Result) {
	countingHome.mu.Lock()
	defer countingHome.mu.Unlock()
	delete(countingHome.lent, loanID)
}

// slowLink is a Caller that calls a home over a link with a delay. Like a peer
// link, it returns at once when the context of a call ends, even if the home
// still serves the call.
type slowLink struct {
	home  Home
	delay time.Duration
	wait  sync.WaitGroup
}

// callResult is the result of one call.
type callResult struct {
	reply *encoder.Reply
	err   error
}

func (slowLink *slowLink) Call(ctx context.Context, _ string, request *encoder.Request) (*encoder.Reply, error) {
	result := make(chan callResult, 1)
	slowLink.wait.Add(1)
	go slowLink.run(ctx, request, result)
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case callResult := <-result:
		return callResult.reply, callResult.err
	}
}

func (slowLink *slowLink) run(ctx context.Context, request *encoder.Request, result chan<- callResult) {
	defer slowLink.wait.Done()
	time.Sleep(slowLink.delay)
	var callResult callResult
	switch body := request.GetBody().(type) {
	case *encoder.Request_Borrow:
		callResult.reply, callResult.err = ServeBorrow(ctx, slowLink.home, "entry-1", body.Borrow)
	case *encoder.Request_GiveBack:
		callResult.reply = ServeReturnLoan(slowLink.home, "entry-1", body.GiveBack)
	}
	time.Sleep(slowLink.delay)
	result <- callResult
}

// TestBorrowTimeoutLosesNoSlot guards against a slot that the home lends while the
// borrower's context ends and that is never returned. Borrowers time out at random
// points of the call.
func TestBorrowTimeoutLosesNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		home := &countingHome{lent: make(map[uint64]bool), lendDelay: 3 * time.Millisecond}
		link := &slowLink{home: home, delay: time.Millisecond}
		lender := New(link)
		running, stop := context.WithCancel(t.Context())
		runErr := make(chan error, 1)
		go func() { runErr <- lender.Run(running) }()
		random := rand.New(rand.NewPCG(1, 1))
		for range 200 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(random.IntN(10_000))*time.Microsecond)
			loan, err := lender.Borrow(ctx, "entry-2", router.NewBorrowRequest(router.NewRequest("ledger"), true))
			if err == nil {
				lender.ReturnLoan("entry-2", loan, router.NewResult(router.Unused, 0))
			}
			cancel()
		}
		time.Sleep(time.Minute)
		link.wait.Wait()
		if lost := len(home.lent); lost > 0 {
			t.Errorf("%d of %d slots lent were lost", lost, home.next)
		}
		stop()
		if err := <-runErr; err != nil {
			t.Error(err)
		}
	})
}

func TestWireRoundTrip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deadline := time.Now().Add(time.Second)
		sent := router.NewBorrowRequest(router.NewRequest("ledger", router.InLane(definer.Long), router.WithPriority(7),
			router.WithDeadline(deadline), router.Isolated(true), router.Avoiding("a", "b"), router.WithClass("sums")), true)
		received := decodeBorrowRequest(encodeBorrowRequest(sent, time.Second))
		request := received.Request()
		if !received.Spare() || request.Lane() != definer.Long || request.Priority() != 7 ||
			!request.Deadline().Equal(deadline) || !request.Isolated() || len(request.Avoid()) != 2 || request.Class() != "sums" {
			t.Errorf("got %+v", received)
		}
		for name, outcome := range outcomes {
			result := router.NewResult(outcome, 3*time.Millisecond).WithReport(2, 4)
			message := encodeLoanReturn(router.NewLoan(9, "ledger-1"), result)
			inFlight, slots, ok := decodeResult(message).Report()
			if decodeResult(message).Outcome() != outcome || inFlight != 2 || slots != 4 || !ok || message.GetLoanId() != 9 {
				t.Errorf("%s became %v", name, decodeResult(message))
			}
		}
	})
}
