package keeper

import (
	"math"
	"time"
)

const (
	// failedRatio is what a failure counts as, in expected run times, so that
	// an endpoint which fails fast does not look fast.
	failedRatio = 5
	// speedMemory is the share of older evidence that one more answer keeps.
	speedMemory = 0.75
	// speedPrior is how many answers of just the expected time are assumed.
	speedPrior = 1
)

// speed estimates how slow an endpoint is now: the time spent per answer, in
// units of the expected run time, over the last few answers. The evidence
// fades with time, so that an endpoint without requests is tried again.
type speed struct {
	// spent is the run time of the answers counted in answers, both faded.
	spent   float64
	answers float64
	// fadedAt is when both were last faded.
	fadedAt time.Time
}

// observe adds one answer that took ratio times its expected run time.
func (speed *speed) observe(now time.Time, ratio float64, halfLife time.Duration) {
	fade := speed.fade(now, halfLife) * speedMemory
	speed.spent = speed.spent*fade + ratio
	speed.answers = speed.answers*fade + 1
	speed.fadedAt = now
}

// estimate returns the slowness now, 1 for as expected, where the requests in
// flight are overdue by overdue expected run times in all.
func (speed *speed) estimate(now time.Time, overdue float64, halfLife time.Duration) float64 {
	fade := speed.fade(now, halfLife)
	return (speedPrior + speed.spent*fade + overdue) / (speedPrior + speed.answers*fade)
}

func (speed *speed) fade(now time.Time, halfLife time.Duration) float64 {
	if speed.fadedAt.IsZero() {
		return 1
	}
	return math.Exp2(-float64(now.Sub(speed.fadedAt)) / float64(halfLife))
}
