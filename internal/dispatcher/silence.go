package dispatcher

import (
	"errors"
	"time"

	"github.com/chivespool/chivespool/internal/recorder"
)

// Watcher is implemented by a [Slot] that knows how long its endpoint's silence can be
// explained.
type Watcher interface {
	// SilenceLimit returns the time after which the silence is not explained by the
	// request's work; 0 for never.
	SilenceLimit() time.Duration
	// RecordSilence records that the endpoint has been silent for longer, while the outcome
	// of the request is not known yet.
	RecordSilence()
}

// silenceGrace is the delay of a timer from which the host itself may have been paused, so
// that answers may have arrived unread. They get as much time again.
const silenceGrace = 50 * time.Millisecond

// errSilent is the error of an attempt that was given up because of its endpoint's silence.
var errSilent = errors.New("the endpoint was silent for longer than the request explains; check whether it hangs when it is full")

// watch sets when the silence of an attempt that starts now is no longer explained. An
// attempt that sends its body while the caller does is not watched, since the endpoint may
// wait for the caller.
func (race *race) watch(attempt *attempt) {
	watcher, ok := attempt.exchange.slot.(Watcher)
	if !ok || !race.call.Buffered() || watcher.SilenceLimit() <= 0 {
		return
	}
	attempt.silentAt = attempt.exchange.start.Add(watcher.SilenceLimit())
	race.setSilenceTimer()
}

// setSilenceTimer sets the timer to the time at which the next attempt may be silent.
func (race *race) setSilenceTimer() {
	var next time.Time
	for _, attempt := range race.attempts {
		if attempt.isWatched() && (next.IsZero() || attempt.silentAt.Before(next)) {
			next = attempt.silentAt
		}
	}
	if !next.IsZero() {
		race.silence.Reset(time.Until(next))
	}
}

// isWatched reports whether the attempt may become silent.
func (attempt *attempt) isWatched() bool {
	return !attempt.ended && !attempt.silentAt.IsZero() && attempt.progress.Load() == attemptWaits
}

// The progress of an attempt: it waits for the head of its answer until that has arrived, or
// until the attempt is given up because its endpoint is silent.
const (
	attemptWaits int32 = iota
	attemptAnswered
	attemptGivenUp
)

// setProgress ends the wait for the head of the answer, and reports whether nothing else
// has.
func (attempt *attempt) setProgress(progress int32) bool {
	return attempt.progress.CompareAndSwap(attemptWaits, progress)
}

// handleSilence gives up the attempts that are silent at now and repeats them elsewhere, if
// the call, its attempts and the budget allow that. Otherwise the attempt goes on until the
// deadline; its outcome is unknown then. Either way the endpoint's failure is recorded.
func (race *race) handleSilence(now time.Time) {
	for _, attempt := range race.attempts {
		if !attempt.isWatched() || attempt.silentAt.After(now) {
			continue
		}
		if now.Sub(attempt.silentAt) > silenceGrace {
			attempt.silentAt = now.Add(silenceGrace)
			continue
		}
		attempt.silentAt = time.Time{}
		race.recordSilence(attempt, now)
	}
	race.setSilenceTimer()
}

// recordSilence records that an attempt is silent, and gives it up if another runs or can
// be started. It is given up last, so that its answer can still be used until then.
func (race *race) recordSilence(silent *attempt, now time.Time) {
	dispatcher, call, exchange := race.dispatcher, race.call, &silent.exchange
	exchange.slot.(Watcher).RecordSilence()
	replaced := (race.hasOther(silent) || race.repeatSilent()) && silent.setProgress(attemptGivenUp)
	dispatcher.meters.silence(replaced)
	dispatcher.journal.Failure("endpoint silent", "request", call.id, "number", silent.number, "endpoint", exchange.slot.Endpoint().Name(),
		"for", now.Sub(exchange.start), "replaced", replaced, "repeatable", call.plan.repeatable)
	dispatcher.recorder.Record(recorder.KindRetry, call.service, call.id+" silent endpoint "+exchange.slot.Endpoint().Name())
	if replaced {
		silent.cancel()
	}
}

// hasOther reports whether another attempt runs that was not given up.
func (race *race) hasOther(silent *attempt) bool {
	for _, attempt := range race.attempts {
		if attempt != silent && !attempt.ended && attempt.progress.Load() != attemptGivenUp {
			return true
		}
	}
	return false
}

// repeatSilent starts another attempt in place of a silent one, if the call and the budget
// allow it.
func (race *race) repeatSilent() bool {
	call, dispatcher := race.call, race.dispatcher
	if !race.mayRepeat() || !dispatcher.budget.spend(call.service) {
		return false
	}
	if err := race.startAttempt(); err != nil {
		dispatcher.recorder.Record(recorder.KindRetry, call.service, call.id+" no repeat: "+err.Error())
		dispatcher.budget.refund(call.service)
		return false
	}
	dispatcher.meters.retry()
	return true
}

// asSilent returns the failure of an attempt: that of its endpoint if the attempt was
// given up.
func (attempt *attempt) asSilent(failure *Failure) *Failure {
	if attempt.progress.Load() == attemptGivenUp && failure.cause == Cancelled {
		return NewFailure(Silent, failure.sent, errSilent)
	}
	return failure
}
