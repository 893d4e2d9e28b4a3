package placer

import (
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/sharer"
)

// WithAccount returns a copy with the account of the caller; nil for none.
func (request Request) WithAccount(account *definer.Account) Request {
	request.account = account
	return request
}

// WithWaited returns a copy with the time for which the request has waited on this host.
func (request Request) WithWaited(waited time.Duration) Request {
	request.waited = waited
	return request
}

// Account returns the account of the caller, or nil.
func (request Request) Account() *definer.Account { return request.account }

// Standing returns the request's place among others under pressure.
func (choice Choice) Standing() sharer.Standing { return choice.standing }

// RetryAfter returns the delay after which the caller should return if the request is
// rejected; share is a random number from 0 to 1.
func (choice Choice) RetryAfter(share float64) time.Duration {
	if !choice.found || choice.pressure < calmPressure {
		return RetryAfter(share)
	}
	return sharer.RetryAfter(share, choice.timeBudget, choice.callerLeft, choice.normalRun)
}

// timeBudget returns the time left in which an answer to a request is of full use; below 0
// where it is too late for that.
func (class *class) timeBudget(request Request) time.Duration {
	if request.target > 0 && class.normalRun <= float64(request.target) {
		return request.target - class.retrying(request)
	}
	return request.remaining
}

// retrying returns the time since the caller of a request sent its first attempt, as
// estimated by the longest deadline of the class.
func (class *class) retrying(request Request) time.Duration {
	return class.longestDeadline - max(request.callerTime, request.remaining)
}

// claim returns a request as package sharer sees it.
func (class *class) claim(request Request) sharer.Claim {
	returned := sharer.HasReturned(class.retrying(request)-request.waited, class.longestDeadline)
	return sharer.NewClaim(request.account, request.priority, returned, class.timeBudget(request), time.Duration(class.normalRun))
}

// RecordArrival records that a request for pool arrived, before its first choice. Further
// attempts are left out.
func (placer *Placer) RecordArrival(now time.Time, pool string, request Request) {
	if request.account == nil || len(request.avoid) > 0 {
		return
	}
	placer.mu.Lock()
	defer placer.mu.Unlock()
	placer.sharer.RecordArrival(now, pool, placer.class(request).claim(request))
}

// RecordVerdict records whether a request for pool gets a slot.
func (placer *Placer) RecordVerdict(now time.Time, pool string, request Request, served bool) {
	if request.account == nil {
		return
	}
	placer.mu.Lock()
	defer placer.mu.Unlock()
	claim := placer.class(request).claim(request)
	if served {
		placer.sharer.RecordUse(now, pool, claim)
	}
	switch first := len(request.avoid) == 0; {
	case first && served:
		placer.sharer.RecordServed(now, pool, claim)
	case first:
		placer.sharer.RecordRejected(now, pool, claim)
	}
}

// RecordSilence records that the endpoint called name is silent beyond the limit for a
// request; weight is as for RecordFailure.
func (placer *Placer) RecordSilence(now time.Time, name string, request Request, weight float64) {
	placer.RecordFailure(now, name, weight)
	placer.mu.Lock()
	defer placer.mu.Unlock()
	placer.class(request).tail.RecordSilence()
}

// SilenceLimit returns the time after which the silence of an endpoint is not explained by
// the work of a request; forecast is that with which the endpoint was chosen.
func (placer *Placer) SilenceLimit(request Request, forecast Forecast) time.Duration {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	return placer.class(request).tail.SilenceLimit(time.Duration(forecast.run), request.remaining)
}
