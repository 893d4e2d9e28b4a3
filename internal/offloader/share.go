package offloader

import (
	"math"
	"time"
)

// The steps of a share. Some 20 hosts see the same free slots and step alike, so that
// steps are per time and not per request: all hosts together move at the speed of one.
// Reports tell the effect of a step after about one second (smoothing).
const (
	// raiseGain is the gain, as a share of the normal run time, above which a share rises,
	// and lowerGain the one below which it falls. In between it stays.
	raiseGain = 0.1
	lowerGain = 0.04
	// confirmTime is the time for which a gain must last before the share rises: longer
	// than a disturbance of 150 ms and the requests that it delays.
	confirmTime = 500 * time.Millisecond
	// raisePerSecond and lowerPerSecond are the speeds of a share at a gain of 1 and -1.
	raisePerSecond = 1
	lowerPerSecond = 0.5
	// minLowerPerSecond is the least speed at which a share falls, so that it is 0 within
	// some seconds after the own data centre has capacity again.
	minLowerPerSecond = 0.5
	// maxRaiseTime bounds the time of one step upwards after a pause between requests.
	maxRaiseTime = time.Second
	// leastShare is the share below which none leave.
	leastShare = 0.01
)

// share is the share of requests that may leave. The zero value is none.
type share struct {
	value float64
	// steppedAt is the time of the latest step.
	steppedAt time.Time
	// gainSince is the time since which the gain is above raiseGain; zero if it is not.
	gainSince time.Time
}

// at returns the share at now: 0 once it has not been stepped for staleTime.
func (share *share) at(now time.Time) float64 {
	if now.Sub(share.steppedAt) > staleTime {
		return 0
	}
	return share.value
}

// step moves the share by the time since the latest step.
func (share *share) step(now time.Time, gain float64) {
	share.value = share.at(now)
	if now.Sub(share.steppedAt) > staleTime {
		share.steppedAt, share.gainSince = now, time.Time{}
	}
	elapsed := now.Sub(share.steppedAt)
	share.steppedAt = now
	if gain <= raiseGain {
		share.gainSince = time.Time{}
	} else if share.gainSince.IsZero() {
		share.gainSince = now
	}
	switch {
	case gain > raiseGain && now.Sub(share.gainSince) >= confirmTime:
		share.value += raisePerSecond * min(gain, 1) * min(elapsed, maxRaiseTime).Seconds()
	case gain < lowerGain:
		share.value -= max(lowerPerSecond*min(lowerGain-gain, 1), minLowerPerSecond) * elapsed.Seconds()
	}
	if share.value = math.Min(share.value, 1); share.value < leastShare && gain < lowerGain {
		share.value = 0
	}
}
