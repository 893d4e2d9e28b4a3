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

// countingHome lends slots and counts those that are out.
type countingHome struct {
	mu   sync.Mutex
	next uint64
	out  map[uint64]bool
	// free is when the next slot can be lent.
	free time.Duration
}

func (countingHome *countingHome) Lend(ctx context.Context, _ string, _ router.BorrowRequest) (router.Loan, error) {
	timer := time.NewTimer(countingHome.free)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return router.Loan{}, refuser.New(refuser.KindDeadline, refuser.NotRun, "no slot came free")
	case <-timer.C:
	}
	countingHome.mu.Lock()
	defer countingHome.mu.Unlock()
	countingHome.next++
	countingHome.out[countingHome.next] = true
	return router.NewLoan(countingHome.next, "ledger-1"), nil
}

func (countingHome *countingHome) TakeBack(_ string, loanID uint64, _ router.Result) {
	countingHome.mu.Lock()
	defer countingHome.mu.Unlock()
	delete(countingHome.out, loanID)
}

// slowLink is a Caller that reaches a home over a link with a delay. Like a
// peer link, it gives up at once when the context of a call ends, whatever
// the home does then.
type slowLink struct {
	home  Home
	delay time.Duration
	wait  sync.WaitGroup
}

// served is the reply to one call.
type served struct {
	reply *encoder.Reply
	err   error
}

func (slowLink *slowLink) Call(ctx context.Context, _ string, request *encoder.Request) (*encoder.Reply, error) {
	result := make(chan served, 1)
	slowLink.wait.Add(1)
	go slowLink.run(ctx, request, result)
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case served := <-result:
		return served.reply, served.err
	}
}

func (slowLink *slowLink) run(ctx context.Context, request *encoder.Request, result chan<- served) {
	defer slowLink.wait.Done()
	time.Sleep(slowLink.delay)
	var served served
	switch body := request.GetBody().(type) {
	case *encoder.Request_Borrow:
		served.reply, served.err = ServeBorrow(ctx, slowLink.home, "entry-1", body.Borrow)
	case *encoder.Request_GiveBack:
		served.reply = ServeGiveBack(slowLink.home, "entry-1", body.GiveBack)
	}
	time.Sleep(slowLink.delay)
	result <- served
}

// TestNoSlotIsLostWhenABorrowerGivesUp has borrowers give up at any time. The
// slots that the home lent meanwhile must all come back.
func TestNoSlotIsLostWhenABorrowerGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		home := &countingHome{out: make(map[uint64]bool), free: 3 * time.Millisecond}
		link := &slowLink{home: home, delay: time.Millisecond}
		lender := New(link)
		running, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- lender.Run(running) }()
		random := rand.New(rand.NewPCG(1, 1))
		for range 200 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(random.IntN(10_000))*time.Microsecond)
			loan, err := lender.Borrow(ctx, "entry-2", router.NewBorrowRequest(router.NewRequest("ledger"), true))
			if err == nil {
				lender.GiveBack("entry-2", loan, router.NewResult(router.Unused, 0))
			}
			cancel()
		}
		time.Sleep(time.Minute)
		link.wait.Wait()
		if lost := len(home.out); lost > 0 {
			t.Errorf("%d of %d slots lent were lost", lost, home.next)
		}
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

func TestWantsAndResultsSurviveTheWire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deadline := time.Now().Add(time.Second)
		want := router.NewBorrowRequest(router.NewRequest("ledger", router.InLane(definer.Long), router.WithPriority(7),
			router.WithDeadline(deadline), router.Isolated(true), router.Avoiding("a", "b"), router.WithClass("sums")), true)
		got := decodeWant(encodeWant(want, time.Second))
		request := got.Request()
		if !got.Spare() || request.Lane() != definer.Long || request.Priority() != 7 ||
			!request.Deadline().Equal(deadline) || !request.Isolated() || len(request.Avoid()) != 2 || request.Class() != "sums" {
			t.Errorf("got %+v", got)
		}
		for name, outcome := range outcomes {
			result := router.NewResult(outcome, 3*time.Millisecond).WithReport(2, 4)
			message := encodeGiveBack(router.NewLoan(9, "ledger-1"), result)
			inFlight, slots, ok := decodeResult(message).Report()
			if decodeResult(message).Outcome() != outcome || inFlight != 2 || slots != 4 || !ok || message.GetLoanId() != 9 {
				t.Errorf("%s became %v", name, decodeResult(message))
			}
		}
	})
}
