package dispatcher

import (
	"math"
	"time"
)

// hedgeShare is the part of the time to answer after which a second attempt is
// sent. Half leaves the second attempt as much time as the first one had.
const hedgeShare = 0.5

// hedgeDelay returns how long after its start a call is hedged. A plan that
// does not allow it has a delay that never ends.
func hedgeDelay(plan Plan) time.Duration {
	if !plan.repeatable || plan.target <= 0 {
		return math.MaxInt64
	}
	return time.Duration(float64(plan.target) * hedgeShare)
}
