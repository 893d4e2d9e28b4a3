package placer

import "time"

// Verdict says what becomes of a request for which a choice was made.
type Verdict int

// The verdicts.
const (
	// Serve means that the request goes to the endpoint chosen.
	Serve Verdict = iota
	// Wait means that the endpoints are asked again after a pause.
	Wait
	// Refuse means that the request is refused at once, as not run.
	Refuse
)

// How a request waits for room.
const (
	// Pause is the time between two rounds of asking: short against a run, long
	// against a round.
	Pause = 40 * time.Millisecond
	// sureWait is how long every request may wait, whatever the luck of others:
	// an eighth of the time to answer.
	sureWait = 1.0 / 8
	// luckShare is the weight of the newest wait in the luck of all.
	luckShare = 0.1
	// reserve is the part of the work that is kept for the way and the processors.
	reserve = 0.15
)

// Judge says whether a request that has waited for a while is served by choice,
// waits on, or is refused.
//
// The load that it answers: a crest above what the service can run. Each
// request more than an endpoint's slots take slows all of them down, so that
// serving everybody late serves nobody. A request waits only as long as it can
// still be answered in time, and, once waiting mostly was in vain, hardly at
// all. One that can't be answered in time is refused while others could be.
func Judge(choice Choice, waited time.Duration) Verdict {
	if !choice.found {
		return Refuse
	}
	if !choice.saturated && choice.run <= choice.left {
		return Serve
	}
	spare := choice.inTime - time.Duration((1+reserve)*float64(choice.work))
	patience := max(time.Duration(choice.luck*float64(spare+waited)), time.Duration(sureWait*float64(choice.inTime+waited)))
	if spare > Pause && waited+Pause <= patience {
		return Wait
	}
	if choice.run <= choice.inTime {
		return Serve
	}
	return Refuse
}

// Waited learns whether a request that waited for room found some.
func (placer *Placer) Waited(want Want, found bool) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	learned := placer.class(want)
	share := 0.0
	if found {
		share = 1
	}
	learned.luck += luckShare * (share - learned.luck)
}
