package lender

import (
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/chivespool/chivespool/internal/router"
)

// encodeBorrowRequest returns the message for a borrow request that the home may
// queue for wait.
func encodeBorrowRequest(borrowRequest router.BorrowRequest, wait time.Duration) *encoder.BorrowRequest {
	request := borrowRequest.Request()
	message := &encoder.BorrowRequest{
		Pool: request.Pool(), Class: request.Class(), Lane: encoder.Lane(request.Lane()), Priority: int32(request.Priority()),
		Isolated: request.Isolated(), Avoid: request.Avoid(), Spare: borrowRequest.Spare(),
		WaitMilliseconds: max(wait.Milliseconds(), 1),
	}
	if deadline := request.Deadline(); !deadline.IsZero() {
		message.DeadlineMilliseconds = max(time.Until(deadline).Milliseconds(), 1)
	}
	return message
}

func decodeBorrowRequest(message *encoder.BorrowRequest) router.BorrowRequest {
	var deadline time.Time
	if left := message.GetDeadlineMilliseconds(); left > 0 {
		deadline = time.Now().Add(time.Duration(left) * time.Millisecond)
	}
	request := router.NewRequest(
		message.GetPool(),
		router.WithClass(message.GetClass()),
		router.InLane(definer.Lane(message.GetLane())),
		router.WithPriority(int(message.GetPriority())),
		router.WithDeadline(deadline),
		router.Isolated(message.GetIsolated()),
		router.Avoiding(message.GetAvoid()...),
	)
	return router.NewBorrowRequest(request, message.GetSpare())
}

// outcomes maps the names of outcomes in messages to outcomes.
var outcomes = map[string]router.Outcome{
	"answered": router.Answered, "failed": router.Failed, "shed": router.Shed,
	"draining": router.Draining, "unreachable": router.Unreachable,
	"crashed": router.Crashed, "cancelled": router.Cancelled, "unused": router.Unused,
}

func encodeLoanReturn(loan router.Loan, result router.Result) *encoder.GiveBackRequest {
	message := &encoder.GiveBackRequest{LoanId: loan.ID(), RunTimeMicroseconds: result.RunTime().Microseconds()}
	for name, outcome := range outcomes {
		if outcome == result.Outcome() {
			message.Outcome = name
		}
	}
	if inFlight, slots, ok := result.Report(); ok {
		message.InFlight = int32(inFlight)
		message.Slots = int32(slots)
	}
	return message
}

// decodeResult decodes a result. An unknown outcome, from a newer release, counts
// as unused.
func decodeResult(message *encoder.GiveBackRequest) router.Result {
	outcome, ok := outcomes[message.GetOutcome()]
	if !ok {
		outcome = router.Unused
	}
	result := router.NewResult(outcome, time.Duration(message.GetRunTimeMicroseconds())*time.Microsecond)
	if message.GetSlots() > 0 {
		result = result.WithReport(int(message.GetInFlight()), int(message.GetSlots()))
	}
	return result
}
