package sharer

import "time"

const (
	// initialTail is the assumed multiple of the expected run time that 1 in 50 runs
	// exceed, before the first answers.
	initialTail = 4
	// tailShare is the share of runs that are longer than the tail.
	tailShare = 0.02
	// tailStep is the share by which one run that exceeds the tail raises it.
	tailStep = 0.1
	// minTail and maxTail bound the tail: the speed of an endpoint changes while it runs a
	// request.
	minTail = 2.5
	maxTail = 8
	// repeatShare is the part of the time left after which a repeat has as much time as the
	// first attempt had. A run that exceeds minTail and that time counts as silent.
	repeatShare = 0.5
	// minSilence is the shortest silence that counts: pauses of a busy machine are shorter.
	minSilence = 200 * time.Millisecond
)

// Tail is the multiple of the expected run time that few requests of a class exceed. The
// zero value has the initial estimate.
type Tail struct {
	// factor is 0 before the first run.
	factor float64
}

// value returns the multiple.
func (tail *Tail) value() float64 {
	if tail.factor == 0 {
		return initialTail
	}
	return tail.factor
}

// Record learns from a complete run and the time that was expected when the endpoint was
// chosen.
func (tail *Tail) Record(run, expected time.Duration) {
	tail.learn(float64(run) > tail.value()*float64(expected))
}

// RecordSilence learns from a run that was silent for longer than the limit. It may be given
// up, and if only complete runs counted, the tail would fall to those shorter than itself.
func (tail *Tail) RecordSilence() { tail.learn(true) }

// learn moves the tail by whether a run exceeded it.
func (tail *Tail) learn(exceeded bool) {
	factor := tail.value() * (1 - tailStep*tailShare)
	if exceeded {
		factor = tail.value() * (1 + tailStep*(1-tailShare))
	}
	tail.factor = min(max(factor, minTail), maxTail)
}

// SilenceLimit returns the time after which an endpoint's silence is not explained by the
// work of a request, early enough for a repeat within the time left. Expected is the run
// time by the class's learned run time, and the slowdown and queue in the endpoint's report.
func (tail *Tail) SilenceLimit(expected, left time.Duration) time.Duration {
	explained := tail.value() * float64(expected)
	return max(minSilence, time.Duration(min(explained, max(minTail*float64(expected), repeatShare*float64(left)))))
}
