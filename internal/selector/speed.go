package selector

import (
	"math"
	"time"
)

const (
	// failedRatio is the run time that a failure counts as, in expected run
	// times, so that an endpoint that fails fast does not look fast.
	failedRatio = 5
	// sampleRetention is the factor by which each new answer reduces the weight
	// of older ones.
	sampleRetention = 0.75
	// priorAnswers is the number of answers of exactly the expected time that
	// are assumed.
	priorAnswers = 1
)

// speed estimates how slow an endpoint is now: the run time per answer, in
// units of the expected run time, over the last few answers. The samples decay
// with time, so that an endpoint without requests is tried again.
type speed struct {
	// spent is the sum of the run times of the answers counted in answers; both
	// are decayed.
	spent   float64
	answers float64
	// decayedAt is when both were last decayed.
	decayedAt time.Time
}

// observe adds one answer that took ratio times its expected run time.
func (speed *speed) observe(now time.Time, ratio float64, halfLife time.Duration) {
	decay := speed.decay(now, halfLife) * sampleRetention
	speed.spent = speed.spent*decay + ratio
	speed.answers = speed.answers*decay + 1
	speed.decayedAt = now
}

// estimate returns the slowness now, where 1 is as expected. overdue is the
// total of the expected run times by which the requests in flight are overdue.
func (speed *speed) estimate(now time.Time, overdue float64, halfLife time.Duration) float64 {
	decay := speed.decay(now, halfLife)
	return (priorAnswers + speed.spent*decay + overdue) / (priorAnswers + speed.answers*decay)
}

func (speed *speed) decay(now time.Time, halfLife time.Duration) float64 {
	if speed.decayedAt.IsZero() {
		return 1
	}
	return math.Exp2(-float64(now.Sub(speed.decayedAt)) / float64(halfLife))
}
