package emulator

import (
	"math/rand/v2"
	"time"
)

// slowPeriods are the periods in which an endpoint is slow. They start after
// exponentially distributed gaps and have a fixed length. The same seed gives
// the same periods.
type slowPeriods struct {
	random *rand.Rand
	// every is the mean gap from the end of one period to the start of the
	// next; 0 disables the periods.
	every  time.Duration
	length time.Duration
	// start is when the current or next period starts.
	start time.Time
}

func newSlowPeriods(seed uint64, every, length time.Duration, now time.Time) *slowPeriods {
	slowPeriods := &slowPeriods{random: rand.New(rand.NewPCG(seed, seed)), every: every, length: length}
	if every > 0 {
		slowPeriods.start = now.Add(slowPeriods.gap())
	}
	return slowPeriods
}

// slow reports whether now is in a slow period; now must not decrease between
// calls.
func (slowPeriods *slowPeriods) slow(now time.Time) bool {
	if slowPeriods.every <= 0 {
		return false
	}
	for !now.Before(slowPeriods.start.Add(slowPeriods.length)) {
		slowPeriods.start = slowPeriods.start.Add(slowPeriods.length + slowPeriods.gap())
	}
	return !now.Before(slowPeriods.start)
}

func (slowPeriods *slowPeriods) gap() time.Duration {
	return time.Duration(slowPeriods.random.ExpFloat64() * float64(slowPeriods.every))
}
