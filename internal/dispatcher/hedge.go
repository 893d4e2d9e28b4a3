package dispatcher

import (
	"math"
	"time"
)

// hedgeFraction is the fraction of the target latency after which a hedge is sent.
// Half leaves the hedge as much time as the first attempt had.
const hedgeFraction = 0.5

// hedgeDelay returns how long after its start a call is hedged. If the plan does
// not allow hedging, the delay never expires.
func hedgeDelay(plan Plan) time.Duration {
	if !plan.repeatable || plan.targetLatency <= 0 {
		return math.MaxInt64
	}
	return time.Duration(float64(plan.targetLatency) * hedgeFraction)
}
