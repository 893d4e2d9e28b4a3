package keeper

import (
	"math"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

const (
	// maxClasses bounds the table of classes; the oldest goes first.
	maxClasses = 1024
	// longRatio and shortRatio are the multiples of the typical short run time
	// over which a class becomes long and under which it becomes short again.
	longRatio  = 8
	shortRatio = 4
	// answersToJudge is how many answers a class needs before it is judged.
	answersToJudge = 4
	// classMemory and laneMemory are over how many answers a mean is taken.
	classMemory = 16
	laneMemory  = 256
	// outlierRatio is the multiple of a lane's mean at which a run time is cut.
	outlierRatio = 4
	// expectTimes and expectLeast give how long after its last answer a run
	// time is expected: a multiple of the mean, with a least value.
	expectTimes = 4
	expectLeast = time.Second
	// fadeTimes and fadeLeast give the half-life of what is known of an
	// endpoint's speed: a multiple of the typical run time, with a least value.
	fadeTimes = 5
	fadeLeast = 20 * time.Millisecond
)

// observeTypical takes in a run time of a lane, where a class that runs long
// but wasn't judged yet must not make long runs look typical.
func (runTimes *runTimes) observeTypical(now time.Time, runTime time.Duration) {
	if runTimes.count >= answersToJudge {
		runTime = min(runTime, time.Duration(outlierRatio*runTimes.mean))
	}
	runTimes.observe(now, runTime, laneMemory)
}

// Learner knows the run times of each class and of each lane. The zero value
// knows nothing.
type Learner struct {
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
	// seenAt is when the last run time came.
	seenAt time.Time
	// long is true for a class that was judged long.
	long bool
}

func (runTimes *runTimes) observe(now time.Time, runTime time.Duration, memory int) {
	runTimes.seenAt = now
	runTimes.count = min(runTimes.count+1, memory)
	gain := 1 / float64(runTimes.count)
	difference := float64(runTime) - runTimes.mean
	runTimes.mean += gain * difference
	if runTimes.count > 1 {
		runTimes.deviation += gain * (math.Abs(difference) - runTimes.deviation)
	}
}

// Lane returns the lane for requests of class that a rule puts in lane: Long
// also where the class was seen to run long.
func (learner *Learner) Lane(class string, lane definer.Lane) definer.Lane {
	known := learner.classes[class]
	if known != nil && known.long {
		return definer.Long
	}
	return lane
}

// Expect returns the mean run time and one that few requests exceed, or 0
// where nothing is known or no answer came for a while: requests that are
// refused for a run time seen once must not keep it from being seen again.
func (learner *Learner) Expect(now time.Time, class string, lane definer.Lane) (mean, late time.Duration) {
	known := learner.known(class, lane)
	if now.Sub(known.seenAt) > max(expectLeast, time.Duration(expectTimes*known.mean)) {
		return 0, 0
	}
	return time.Duration(known.mean), time.Duration(known.mean + 2*known.deviation)
}

// known returns the run times of class where it was judged, or of its lane.
func (learner *Learner) known(class string, lane definer.Lane) *runTimes {
	known := learner.classes[class]
	if known != nil && known.count >= answersToJudge {
		return known
	}
	return &learner.lanes[lane]
}

// ratio returns runTime in units of what need is expected to take, 1 where
// nothing is known.
func (learner *Learner) ratio(need Need, runTime time.Duration) float64 {
	known := learner.known(need.class, need.lane)
	if known.count < answersToJudge || known.mean <= 0 {
		return 1
	}
	return float64(runTime) / known.mean
}

// observe takes in the run time of one answer.
func (learner *Learner) observe(now time.Time, need Need, runTime time.Duration) {
	learner.lanes[need.lane].observeTypical(now, runTime)
	if need.class == "" {
		return
	}
	known := learner.classes[need.class]
	if known == nil {
		known = learner.insert(need.class)
	}
	known.observe(now, runTime, classMemory)
	typical := learner.lanes[definer.Short].mean
	if known.count < answersToJudge || typical == 0 {
		return
	}
	switch {
	case known.mean > longRatio*typical:
		known.long = true
	case known.mean < shortRatio*typical:
		known.long = false
	}
}

// insert adds a class, in place of the oldest where the table is full.
func (learner *Learner) insert(class string) *runTimes {
	if learner.classes == nil {
		learner.classes = make(map[string]*runTimes)
	}
	if len(learner.order) < maxClasses {
		learner.order = append(learner.order, class)
	} else {
		delete(learner.classes, learner.order[learner.next])
		learner.order[learner.next] = class
		learner.next = (learner.next + 1) % maxClasses
	}
	known := &runTimes{}
	learner.classes[class] = known
	return known
}

// halfLife returns the time in which evidence of an endpoint's speed halves.
func (learner *Learner) halfLife() time.Duration {
	return max(fadeLeast, time.Duration(fadeTimes*learner.lanes[definer.Short].mean))
}
