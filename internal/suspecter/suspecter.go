// Package suspecter decides which requests are suspected of crashing the
// backend servers that run them. A [List] names the suspects of the whole
// system; package quarantiner keeps it in the platform's store and changes it
// by compare-and-swap, whose version is the fence.
//
// A request that ran on a backend server while that server crashed becomes a
// suspect. A suspect gets one trial: one run in the whole system, beside no
// other suspect. If the server crashes again, the request is deadly and runs no
// more; if the request completes, it is cleared. A trial whose end nobody
// recorded stays taken, since its server may have crashed.
//
// The package does no I/O, starts no goroutine and imports no codec; time is an
// argument.
package suspecter

import (
	"slices"
	"time"
)

// MaxCrashes is how many backend servers a request may crash.
const MaxCrashes = 2

// Fingerprint identifies equal requests.
type Fingerprint [16]byte

// ID identifies a crash or a trial, unique over all hosts and time.
type ID [16]byte

// Suspect is a request that ran on a backend server while that crashed.
type Suspect struct {
	fingerprint Fingerprint
	// crashes holds the ids of its crashes, at least one and at most
	// MaxCrashes; a crash that is recorded twice counts once.
	crashes []ID
	// trial is the id of the one trial, or zero while it isn't taken.
	trial ID
	// until is when the suspicion ends.
	until time.Time
}

// NewSuspect returns a suspect, as read from the store.
func NewSuspect(fingerprint Fingerprint, crashes []ID, trial ID, until time.Time) Suspect {
	return Suspect{fingerprint: fingerprint, crashes: crashes, trial: trial, until: until}
}

// Fingerprint returns the fingerprint of the request.
func (suspect Suspect) Fingerprint() Fingerprint { return suspect.fingerprint }

// Crashes returns the ids of the crashes; callers must not change the slice.
func (suspect Suspect) Crashes() []ID { return suspect.crashes }

// Trial returns the id of the trial, or zero while it isn't taken.
func (suspect Suspect) Trial() ID { return suspect.trial }

// Until returns when the suspicion ends.
func (suspect Suspect) Until() time.Time { return suspect.until }

// Deadly reports whether the request has crashed all servers that it may.
func (suspect Suspect) Deadly() bool { return len(suspect.crashes) >= MaxCrashes }

// Terms bound the suspicions.
type Terms struct {
	suspicion time.Duration
	// most is how many suspects a list holds; the one whose suspicion ends
	// first makes room for a new one.
	most int
}

// NewTerms returns terms under which a suspicion ends after suspicion without
// a crash, and a list holds at most most suspects.
func NewTerms(suspicion time.Duration, most int) Terms {
	return Terms{suspicion: suspicion, most: most}
}

// List holds the suspects of the whole system. The zero value is empty. A
// change that can't be written must be dropped with its list.
type List struct {
	suspects map[Fingerprint]Suspect
}

// NewList returns a list, as read from the store.
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

// Find returns the suspect with fingerprint, if the suspicion lasts at now.
func (list *List) Find(fingerprint Fingerprint, now time.Time) (Suspect, bool) {
	suspect, ok := list.suspects[fingerprint]
	return suspect, ok && now.Before(suspect.until)
}

// Holds reports whether the crash is recorded.
func (list *List) Holds(fingerprint Fingerprint, crash ID) bool {
	return slices.Contains(list.suspects[fingerprint].crashes, crash)
}

// Crash records that a backend server crashed while it ran the request. It
// reports whether the list changed.
func (list *List) Crash(fingerprint Fingerprint, crash ID, now time.Time, terms Terms) bool {
	list.Expire(now)
	suspect := list.suspects[fingerprint]
	if suspect.Deadly() || slices.Contains(suspect.crashes, crash) {
		return false
	}
	suspect.fingerprint = fingerprint
	suspect.crashes = append(slices.Clip(suspect.crashes), crash)
	suspect.until = now.Add(terms.suspicion).Truncate(time.Second).Add(time.Second)
	list.put(suspect)
	if len(list.suspects) > terms.most {
		list.dropFirst()
	}
	return true
}

// Verdict is what a list says to a request that wants to run.
type Verdict int

// The verdicts.
const (
	// Free means that the request is no suspect.
	Free Verdict = iota
	// Trial means that the attempt has the suspect's one trial.
	Trial
	// Busy means that the trial is taken and its end not recorded.
	Busy
	// Deadly means that the request must not run.
	Deadly
)

// Try asks for the trial of the request under the id trial. It reports whether
// the list changed; the trial is had only once the list is written.
func (list *List) Try(fingerprint Fingerprint, trial ID, now time.Time) (Verdict, bool) {
	suspect, ok := list.Find(fingerprint, now)
	switch {
	case !ok:
		return Free, false
	case suspect.Deadly():
		return Deadly, false
	case suspect.trial == trial:
		return Trial, false
	case suspect.trial != ID{}:
		return Busy, false
	}
	suspect.trial = trial
	list.put(suspect)
	return Trial, true
}

// GiveBack ends a trial whose request was not sent to a backend server. It
// reports whether the list changed.
func (list *List) GiveBack(fingerprint Fingerprint, trial ID) bool {
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

// Expire drops the suspects whose suspicion has ended.
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

// dropFirst drops the suspect whose suspicion ends first.
func (list *List) dropFirst() {
	first := slices.MinFunc(list.Suspects(), func(left, right Suspect) int {
		return left.until.Compare(right.until)
	})
	delete(list.suspects, first.fingerprint)
}
