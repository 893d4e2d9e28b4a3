package router

import (
	"time"

	"github.com/chivespool/chivespool/internal/keeper"
)

// Outcome is how a request that held a slot ended.
type Outcome = keeper.Outcome

// Result is the outcome of one request on an endpoint, with its measurements.
type Result = keeper.Result

// The outcomes; package keeper documents each.
const (
	Answered    = keeper.Answered
	Failed      = keeper.Failed
	Shed        = keeper.Shed
	Draining    = keeper.Draining
	Unreachable = keeper.Unreachable
	Crashed     = keeper.Crashed
	Cancelled   = keeper.Cancelled
	Unused      = keeper.Unused
)

// NewResult returns the result of a request that took runTime.
func NewResult(outcome Outcome, runTime time.Duration) Result {
	return keeper.NewResult(outcome, runTime)
}
