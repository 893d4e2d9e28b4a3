package selector

import (
	"math"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

const (
	// maxClasses bounds the table of classes; the oldest is evicted first.
	maxClasses = 1024
	// longRatio and shortRatio are the multiples of the typical short run time
	// above which a class becomes long and below which it becomes short again.
	longRatio  = 8
	shortRatio = 4
	// minSamples is how many answers a class needs before it is classified and
	// its run times replace its lane's.
	minSamples = 4
	// classWindow and laneWindow are the numbers of answers over which a mean
	// is taken.
	classWindow = 16
	laneWindow  = 256
	// outlierRatio is the multiple of a lane's mean at which a run time is
	// capped.
	outlierRatio = 4
	// expiryFactor and minExpiry set how long after its last answer a run time
	// is used: a multiple of the mean, with a minimum.
	expiryFactor = 4
	minExpiry    = time.Second
	// halfLifeFactor and minHalfLife set the half-life of the samples of an
	// endpoint's speed: a multiple of the typical run time, with a minimum.
	halfLifeFactor = 5
	minHalfLife    = 20 * time.Millisecond
)

// observeCapped records a run time of a lane. It is capped, so that a class
// that runs long but has too few samples does not make long runs look typical.
func (runTimes *runTimes) observeCapped(now time.Time, runTime time.Duration) {
	if runTimes.count >= minSamples {
		runTime = min(runTime, time.Duration(outlierRatio*runTimes.mean))
	}
	runTimes.observe(now, runTime, laneWindow)
}

// Estimator estimates the run times of each class and of each lane. The zero
// value has no samples.
type Estimator struct {
	classes map[string]*runTimes
	// order holds the keys of classes, the oldest at next once it is full.
	order []string
	next  int
	lanes [2]runTimes
}

// runTimes is a running mean with the mean absolute deviation.
type runTimes struct {
	count     int
	mean      float64
	deviation float64
	// seenAt is the time of the last sample.
	seenAt time.Time
	// long is true for a class that was classified as long.
	long bool
}

func (runTimes *runTimes) observe(now time.Time, runTime time.Duration, window int) {
	runTimes.seenAt = now
	runTimes.count = min(runTimes.count+1, window)
	gain := 1 / float64(runTimes.count)
	difference := float64(runTime) - runTimes.mean
	runTimes.mean += gain * difference
	if runTimes.count > 1 {
		runTimes.deviation += gain * (math.Abs(difference) - runTimes.deviation)
	}
}

// Lane returns the lane for requests of class that a rule assigns to lane. It
// is Long, too, if the class has been observed to run long.
func (estimator *Estimator) Lane(class string, lane definer.Lane) definer.Lane {
	runTimes := estimator.classes[class]
	if runTimes != nil && runTimes.long {
		return definer.Long
	}
	return lane
}

// Expect returns the mean run time and one that few requests exceed. Both are 0
// if there are no samples or the last is too old: if requests were still
// refused because of an old run time, it could never be measured again.
func (estimator *Estimator) Expect(now time.Time, class string, lane definer.Lane) (mean, late time.Duration) {
	runTimes := estimator.lookup(class, lane)
	if now.Sub(runTimes.seenAt) > max(minExpiry, time.Duration(expiryFactor*runTimes.mean)) {
		return 0, 0
	}
	return time.Duration(runTimes.mean), time.Duration(runTimes.mean + 2*runTimes.deviation)
}

// lookup returns the run times of class if it has enough samples, or else those
// of its lane.
func (estimator *Estimator) lookup(class string, lane definer.Lane) *runTimes {
	runTimes := estimator.classes[class]
	if runTimes != nil && runTimes.count >= minSamples {
		return runTimes
	}
	return &estimator.lanes[lane]
}

// ratio returns runTime as a multiple of the expected run time of need, or 1 if
// that is unknown.
func (estimator *Estimator) ratio(need Need, runTime time.Duration) float64 {
	runTimes := estimator.lookup(need.class, need.lane)
	if runTimes.count < minSamples || runTimes.mean <= 0 {
		return 1
	}
	return float64(runTime) / runTimes.mean
}

// observe records the run time of one answer.
func (estimator *Estimator) observe(now time.Time, need Need, runTime time.Duration) {
	estimator.lanes[need.lane].observeCapped(now, runTime)
	if need.class == "" {
		return
	}
	runTimes := estimator.classes[need.class]
	if runTimes == nil {
		runTimes = estimator.insert(need.class)
	}
	runTimes.observe(now, runTime, classWindow)
	typical := estimator.lanes[definer.Short].mean
	if runTimes.count < minSamples || typical == 0 {
		return
	}
	switch {
	case runTimes.mean > longRatio*typical:
		runTimes.long = true
	case runTimes.mean < shortRatio*typical:
		runTimes.long = false
	}
}

// insert adds a class, and evicts the oldest if the table is full.
func (estimator *Estimator) insert(class string) *runTimes {
	if estimator.classes == nil {
		estimator.classes = make(map[string]*runTimes)
	}
	if len(estimator.order) < maxClasses {
		estimator.order = append(estimator.order, class)
	} else {
		delete(estimator.classes, estimator.order[estimator.next])
		estimator.order[estimator.next] = class
		estimator.next = (estimator.next + 1) % maxClasses
	}
	runTimes := &runTimes{}
	estimator.classes[class] = runTimes
	return runTimes
}

// halfLife returns the half-life of the samples of an endpoint's speed.
func (estimator *Estimator) halfLife() time.Duration {
	return max(minHalfLife, time.Duration(halfLifeFactor*estimator.lanes[definer.Short].mean))
}
