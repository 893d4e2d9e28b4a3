package router

import (
	"time"

	"github.com/chivespool/chivespool/internal/selector"
)

// Outcome is how a request that held a slot ended.
type Outcome = selector.Outcome

// Result is the outcome of one request on an endpoint, with its measurements.
type Result = selector.Result

// The outcomes; package selector documents each.
const (
	Answered    = selector.Answered
	Failed      = selector.Failed
	Shed        = selector.Shed
	Draining    = selector.Draining
	Unreachable = selector.Unreachable
	Crashed     = selector.Crashed
	Cancelled   = selector.Cancelled
	Unused      = selector.Unused
)

// NewResult returns the result of a request that took runTime.
func NewResult(outcome Outcome, runTime time.Duration) Result {
	return selector.NewResult(outcome, runTime)
}
