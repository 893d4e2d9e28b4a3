package dispatcher

import (
	"context"
	"crypto/sha256"

	"github.com/chivespool/chivespool/internal/quarantiner"
	"github.com/chivespool/chivespool/internal/recorder"
)

// Quarantiner tracks requests that crash the backend servers running them, as
// package quarantiner does. Each request that Admit accepts is ended by exactly
// one of the other methods.
type Quarantiner interface {
	Admit(ctx context.Context, fingerprint [sha256.Size]byte) (quarantiner.Admission, error)
	Completed(fingerprint [sha256.Size]byte)
	Crashed(ctx context.Context, fingerprint [sha256.Size]byte) error
	Unsent(fingerprint [sha256.Size]byte)
	OutcomeUnknown(fingerprint [sha256.Size]byte)
}

// admit asks before each attempt whether the call may run, and whether it must be
// isolated.
func (dispatcher *Dispatcher) admit(ctx context.Context, call *call) error {
	if dispatcher.quarantiner == nil {
		return nil
	}
	admission, err := dispatcher.quarantiner.Admit(ctx, call.fingerprint)
	if err != nil {
		return call.attempts.adjust(asRefusal(err))
	}
	call.isolated = admission.Isolated()
	return nil
}

// endAdmission ends an admission; failure is nil if the answer was complete.
func (dispatcher *Dispatcher) endAdmission(call *call, failure *Failure) {
	quarantiner := dispatcher.quarantiner
	switch {
	case quarantiner == nil:
	case failure == nil:
		quarantiner.Completed(call.fingerprint)
	case !failure.sent || failure.refused():
		quarantiner.Unsent(call.fingerprint)
	case failure.cause == ConnectionLost || failure.cause == Malformed:
		dispatcher.reportCrash(call)
	default:
		quarantiner.OutcomeUnknown(call.fingerprint)
	}
}

// reportCrash waits until the crash of the call's backend server is recorded in
// the fleet, so that a repeated request is already suspect.
func (dispatcher *Dispatcher) reportCrash(call *call) {
	ctx, cancel := context.WithTimeout(context.Background(), crashRecordTimeout)
	defer cancel()
	if err := dispatcher.quarantiner.Crashed(ctx, call.fingerprint); err != nil {
		dispatcher.recorder.Record(recorder.KindSuspect, call.service, call.id+" "+err.Error())
	}
}
