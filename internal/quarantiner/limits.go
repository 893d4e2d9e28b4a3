package quarantiner

import (
	"time"

	"github.com/chivespool/chivespool/internal/detector"
)

// Limits are the settings of a [Quarantiner]. The zero value stands for
// [DefaultLimits].
type Limits struct {
	suspicionPeriod time.Duration
	maxSuspects     int
	pollInterval    time.Duration
	maxWait         time.Duration
	// retryInterval follows a failed read or write; 0 for pollInterval.
	retryInterval time.Duration
	withoutTrials bool
}

// DefaultLimits returns the limits used where none are set.
func DefaultLimits() Limits {
	return Limits{
		suspicionPeriod: 15 * time.Minute,
		maxSuspects:     1024,
		pollInterval:    2 * time.Second,
		maxWait:         4 * time.Second,
	}
}

// WithSuspicion sets how long a request remains a suspect after a crash.
func (limits Limits) WithSuspicion(suspicionPeriod time.Duration) Limits {
	limits.suspicionPeriod = suspicionPeriod
	return limits
}

// WithMaxSuspects sets the maximum number of suspects in the whole system;
// beyond it, the suspect whose suspicion ends first is evicted.
func (limits Limits) WithMaxSuspects(maxSuspects int) Limits {
	limits.maxSuspects = maxSuspects
	return limits
}

// WithPoll sets the interval at which a host reads the list from the store.
func (limits Limits) WithPoll(pollInterval time.Duration) Limits {
	limits.pollInterval = pollInterval
	return limits
}

// WithMaxWait sets the maximum wait of a suspect for its trial, and of the
// caller of a crashed request for the crash to be recorded.
func (limits Limits) WithMaxWait(maxWait time.Duration) Limits {
	limits.maxWait = maxWait
	return limits
}

// WithRetry sets the interval after which a host reads and writes the list again when the
// store did not answer.
func (limits Limits) WithRetry(retryInterval time.Duration) Limits {
	limits.retryInterval = retryInterval
	return limits
}

// WithoutTrials makes suspects run without a trial, so that a request that happened to
// run on a server that crashed is not held back.
func (limits Limits) WithoutTrials() Limits {
	limits.withoutTrials = true
	return limits
}

func (limits Limits) detectorLimits() detector.Limits {
	return detector.NewLimits(limits.suspicionPeriod, limits.maxSuspects)
}

// orDefault returns the limits, or DefaultLimits for the zero value.
func (limits Limits) orDefault() Limits {
	if limits.pollInterval == 0 {
		return DefaultLimits()
	}
	return limits
}
