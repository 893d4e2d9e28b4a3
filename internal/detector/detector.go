// Package detector decides which requests are suspected of crashing the backend
// servers that run them, for package quarantiner.
//
// A [List] holds the suspects of the whole system. Package quarantiner keeps it
// in the platform's store and changes it by compare-and-swap, so that no host
// overwrites the change of another.
//
// A request that ran on a backend server while that server crashed becomes a
// suspect. A suspect gets one trial: a single run in the whole system, on an
// endpoint that runs no other suspect. If the server crashes again, the request
// is deadly and is not run again; if the request completes, it is cleared. A
// trial without a recorded outcome stays taken, since its server may have
// crashed.
//
// The package does no I/O, starts no goroutine and imports no codec; the current
// time is an argument.
package detector

import (
	"slices"
	"time"
)

// MaxCrashes is the number of crashes from which a request is deadly.
const MaxCrashes = 2

// Fingerprint identifies equal requests.
type Fingerprint [16]byte

// ID identifies a crash or a trial. It is unique across hosts and never reused.
type ID [16]byte

// Suspect is a request that ran on a backend server while the server crashed.
type Suspect struct {
	fingerprint Fingerprint
	// crashes holds 1 to MaxCrashes ids; a crash recorded twice counts once.
	crashes []ID
	// trial is the id of the granted trial, or zero.
	trial ID
	// until is the time at which the suspicion ends.
	until time.Time
}

// NewSuspect returns a suspect read from the store.
func NewSuspect(fingerprint Fingerprint, crashes []ID, trial ID, until time.Time) Suspect {
	return Suspect{fingerprint: fingerprint, crashes: crashes, trial: trial, until: until}
}

// Fingerprint returns the fingerprint of the request.
func (suspect Suspect) Fingerprint() Fingerprint { return suspect.fingerprint }

// Crashes returns the ids of the crashes; callers must not change the slice.
func (suspect Suspect) Crashes() []ID { return suspect.crashes }

// Newest returns the id of the crash that was recorded last.
func (suspect Suspect) Newest() ID { return suspect.crashes[len(suspect.crashes)-1] }

// Trial returns the id of the granted trial, or zero.
func (suspect Suspect) Trial() ID { return suspect.trial }

// Until returns the time at which the suspicion ends.
func (suspect Suspect) Until() time.Time { return suspect.until }

// Deadly reports whether the request has reached MaxCrashes.
func (suspect Suspect) Deadly() bool { return len(suspect.crashes) >= MaxCrashes }

// Limits bound the duration of a suspicion and the size of a list.
type Limits struct {
	suspicionPeriod time.Duration
	// maxSuspects bounds the list; beyond it, the suspect whose suspicion ends
	// first is evicted.
	maxSuspects int
}

// NewLimits returns limits under which a suspicion ends after suspicionPeriod
// without another crash, and a list holds at most maxSuspects suspects.
func NewLimits(suspicionPeriod time.Duration, maxSuspects int) Limits {
	return Limits{suspicionPeriod: suspicionPeriod, maxSuspects: maxSuspects}
}

// List holds the suspects of the whole system. The zero value is empty. If a
// change can't be written to the store, the caller must discard the list.
type List struct {
	suspects map[Fingerprint]Suspect
}

// NewList returns a list read from the store.
func NewList(suspects []Suspect) *List {
	list := &List{}
	for _, suspect := range suspects {
		list.put(suspect)
	}
	return list
}

// Suspects returns the suspects in the order of their fingerprints.
func (list *List) Suspects() []Suspect {
	suspects := make([]Suspect, 0, len(list.suspects))
	for _, suspect := range list.suspects {
		suspects = append(suspects, suspect)
	}
	slices.SortFunc(suspects, func(left, right Suspect) int {
		return slices.Compare(left.fingerprint[:], right.fingerprint[:])
	})
	return suspects
}

// Find returns the suspect with fingerprint, unless its suspicion has ended by
// now.
func (list *List) Find(fingerprint Fingerprint, now time.Time) (Suspect, bool) {
	suspect, ok := list.suspects[fingerprint]
	return suspect, ok && now.Before(suspect.until)
}

// HasCrash reports whether the list contains the crash of the request.
func (list *List) HasCrash(fingerprint Fingerprint, crash ID) bool {
	return slices.Contains(list.suspects[fingerprint].crashes, crash)
}

// RecordCrash records that a backend server crashed while it ran the request. It
// reports whether the list changed.
func (list *List) RecordCrash(fingerprint Fingerprint, crash ID, now time.Time, limits Limits) bool {
	list.Expire(now)
	suspect := list.suspects[fingerprint]
	if suspect.Deadly() || slices.Contains(suspect.crashes, crash) {
		return false
	}
	suspect.fingerprint = fingerprint
	suspect.crashes = append(slices.Clip(suspect.crashes), crash)
	suspect.until = now.Add(limits.suspicionPeriod).Truncate(time.Second).Add(time.Second)
	list.put(suspect)
	if len(list.suspects) > limits.maxSuspects {
		list.evictEarliest()
	}
	return true
}

// Verdict is the decision on whether a request may run.
type Verdict int

// The verdicts.
const (
	// NotSuspect means that the request is not a suspect.
	NotSuspect Verdict = iota
	// Trial means that the trial of the suspect is granted.
	Trial
	// TrialTaken means that the trial is taken and has no recorded outcome.
	TrialTaken
	// Deadly means that the request must not run.
	Deadly
)

// AcquireTrial requests the trial of a suspect under the id trial, and reports
// whether the list changed. The trial is granted only once the list is written.
func (list *List) AcquireTrial(fingerprint Fingerprint, trial ID, now time.Time) (Verdict, bool) {
	suspect, ok := list.Find(fingerprint, now)
	switch {
	case !ok:
		return NotSuspect, false
	case suspect.Deadly():
		return Deadly, false
	case suspect.trial == trial:
		return Trial, false
	case suspect.trial != ID{}:
		return TrialTaken, false
	}
	suspect.trial = trial
	list.put(suspect)
	return Trial, true
}

// ReleaseTrial releases a trial whose request was not sent to a backend server.
// It reports whether the list changed.
func (list *List) ReleaseTrial(fingerprint Fingerprint, trial ID) bool {
	suspect, ok := list.suspects[fingerprint]
	if !ok || suspect.trial != trial {
		return false
	}
	suspect.trial = ID{}
	list.put(suspect)
	return true
}

// Clear ends the suspicion of a request that completed, unless it is deadly.
// It reports whether the list changed.
func (list *List) Clear(fingerprint Fingerprint) bool {
	suspect, ok := list.suspects[fingerprint]
	if !ok || suspect.Deadly() {
		return false
	}
	delete(list.suspects, fingerprint)
	return true
}

// Expire removes the suspects whose suspicion has ended.
func (list *List) Expire(now time.Time) {
	for fingerprint, suspect := range list.suspects {
		if !now.Before(suspect.until) {
			delete(list.suspects, fingerprint)
		}
	}
}

func (list *List) put(suspect Suspect) {
	if list.suspects == nil {
		list.suspects = make(map[Fingerprint]Suspect)
	}
	list.suspects[suspect.fingerprint] = suspect
}

// evictEarliest removes the suspect whose suspicion ends first.
func (list *List) evictEarliest() {
	earliest := slices.MinFunc(list.Suspects(), func(left, right Suspect) int {
		return left.until.Compare(right.until)
	})
	delete(list.suspects, earliest.fingerprint)
}
