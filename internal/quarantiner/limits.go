package quarantiner

import (
	"time"

	"github.com/chivespool/chivespool/internal/suspecter"
)

// Limits are the bounds of the quarantine. The zero value stands for
// [DefaultLimits].
type Limits struct {
	suspicion time.Duration
	most      int
	poll      time.Duration
	patience  time.Duration
}

// DefaultLimits returns the limits that hold where nothing else is set.
func DefaultLimits() Limits {
	return Limits{
		suspicion: 15 * time.Minute,
		most:      1024,
		poll:      2 * time.Second,
		patience:  4 * time.Second,
	}
}

// WithSuspicion sets how long a suspicion lasts after a crash.
func (limits Limits) WithSuspicion(suspicion time.Duration) Limits {
	limits.suspicion = suspicion
	return limits
}

// WithMost sets how many suspects the system holds; the one whose suspicion
// ends first makes room for a new one.
func (limits Limits) WithMost(most int) Limits {
	limits.most = most
	return limits
}

// WithPoll sets how often a host reads the list from the store.
func (limits Limits) WithPoll(poll time.Duration) Limits {
	limits.poll = poll
	return limits
}

// WithPatience sets how long a suspect waits for its trial, and the caller of
// a crashed request for the record of the crash.
func (limits Limits) WithPatience(patience time.Duration) Limits {
	limits.patience = patience
	return limits
}

func (limits Limits) terms() suspecter.Terms {
	return suspecter.NewTerms(limits.suspicion, limits.most)
}

// orDefault returns the limits, or DefaultLimits for the zero value.
func (limits Limits) orDefault() Limits {
	if limits.poll == 0 {
		return DefaultLimits()
	}
	return limits
}
